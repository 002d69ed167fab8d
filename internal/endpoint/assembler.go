package endpoint

// Limits on the chunks of one run that arrived out of order.
const (
	// maxOffsetAhead is counted in chunks from the next one in order.
	maxOffsetAhead = 1024
	// maxBufferedBytes bounds the data of the buffered chunks.
	maxBufferedBytes = 4 << 20
)

// Assembler puts the chunks of one run in order. It drops duplicates and the fragments of other runs.
type Assembler struct {
	runID string
	// next is the offset of the first chunk that has not arrived.
	next int
	// buffered holds the chunks that arrived out of order, by offset; bufferedBytes is the size of their data.
	buffered      map[int]Chunk
	bufferedBytes int
}

// NewAssembler makes an Assembler that expects the run from offset 0.
func NewAssembler(runID string) *Assembler {
	return &Assembler{runID: runID, buffered: map[int]Chunk{}}
}

// NextOffset returns the offset of the first chunk that has not arrived. A resumed call starts there.
func (a *Assembler) NextOffset() int { return a.next }

// Add returns the chunks that are in order once f has arrived. Filter Send calls it for each fragment. A fragment too
// far ahead is dropped, because resuming the run delivers it again.
func (a *Assembler) Add(f Fragment) []Chunk {
	if f.RunID != a.runID || f.Offset < a.next || f.Offset >= a.next+maxOffsetAhead {
		return nil
	}
	if f.Offset > a.next {
		a.buffer(f)
		return nil
	}
	ready := []Chunk{f.Chunk}
	for a.next++; ; a.next++ {
		chunk, ok := a.buffered[a.next]
		if !ok {
			return ready
		}
		delete(a.buffered, a.next)
		a.bufferedBytes -= len(chunk.Data)
		ready = append(ready, chunk)
	}
}

// buffer keeps a chunk that arrived out of order, unless it is a duplicate or the buffer is full.
func (a *Assembler) buffer(f Fragment) {
	_, duplicate := a.buffered[f.Offset]
	if duplicate || a.bufferedBytes+len(f.Chunk.Data) > maxBufferedBytes {
		return
	}
	a.buffered[f.Offset] = f.Chunk
	a.bufferedBytes += len(f.Chunk.Data)
}
