package endpoint

// Bounds of the fragments that came ahead of their turn.
const (
	maxAhead        = 1024
	maxWaitingBytes = 4 << 20
)

// Assembler puts the fragments of one run in order and drops those that came before or belong to another run.
type Assembler struct {
	runID        string
	next         int
	waiting      map[int]Chunk
	waitingBytes int
}

// NewAssembler makes an Assembler for the run.
func NewAssembler(runID string) *Assembler {
	return &Assembler{runID: runID, waiting: map[int]Chunk{}}
}

// NextOffset returns the offset of the first piece that has not arrived.
func (a *Assembler) NextOffset() int { return a.next }

// Add returns the pieces that follow in order once f has arrived.
// A fragment too far ahead is dropped; resuming the run brings it again.
func (a *Assembler) Add(f Fragment) []Chunk {
	if f.RunID != a.runID || f.Offset < a.next || f.Offset >= a.next+maxAhead {
		return nil
	}
	if f.Offset > a.next {
		a.keep(f)
		return nil
	}
	ready := []Chunk{f.Chunk}
	for a.next++; ; a.next++ {
		p, ok := a.waiting[a.next]
		if !ok {
			return ready
		}
		delete(a.waiting, a.next)
		a.waitingBytes -= len(p.Data)
		ready = append(ready, p)
	}
}

func (a *Assembler) keep(f Fragment) {
	_, known := a.waiting[f.Offset]
	if known || a.waitingBytes+len(f.Chunk.Data) > maxWaitingBytes {
		return
	}
	a.waiting[f.Offset] = f.Chunk
	a.waitingBytes += len(f.Chunk.Data)
}
