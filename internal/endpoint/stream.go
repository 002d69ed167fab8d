package endpoint

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"
)

const (
	// maxEventBytes bounds one server-sent event, serviceChunkBytes is the size of the chunks of other answers.
	maxEventBytes     = 1 << 20
	serviceChunkBytes = 32 << 10
	// eventBufferBytes is the size of the read buffer for events, large enough for most; a longer line takes several
	// reads.
	eventBufferBytes = 2 << 10
	// maxDrainBytes and drainTimeout bound the read of the rest of an answer after its last chunk.
	maxDrainBytes = 4 << 10
	drainTimeout  = 20 * time.Millisecond
)

// httpStream implements Stream for the answer to one HTTP request.
type httpStream struct {
	resp *http.Response
	call Call
	// written is how the writing of the request ended.
	written RequestWrite
	cancel  context.CancelFunc
	reader  *bufio.Reader
	// events says that the answer is read as server-sent events.
	events bool
	// offset is that of the next chunk of an answer without events; ended says that there is none.
	offset int
	ended  bool
	// usageRead says that the event with the token usage was read, which is the last one of interest.
	usageRead bool
}

// newStream makes the stream of an answer whose head has arrived.
func newStream(resp *http.Response, call Call, written RequestWrite, cancel context.CancelFunc) *httpStream {
	size := serviceChunkBytes
	if call.Chat {
		size = eventBufferBytes
	}
	return &httpStream{resp: resp, call: call, written: written, cancel: cancel, reader: bufio.NewReaderSize(resp.Body, size)}
}

// checkHead returns an error unless the head of the answer starts a usable answer. Client.Open calls it before it
// returns the stream.
func (s *httpStream) checkHead(e Endpoint) error {
	if err := CheckFieldNames(s.resp.Header); err != nil {
		return fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if id := s.resp.Header.Get(headerRunID); id != "" && id != s.call.RunID {
		return fmt.Errorf("%w: endpoint %s answered with the ID of another run", ErrBroken, e.ID)
	}
	h := s.Head()
	switch ClassifyAnswer(s.call, h.Status, h.ContentType) {
	case ClassEvents:
		s.events = true
		return nil
	case ClassPassThrough:
		return nil
	case ClassRefused:
		seconds, _ := strconv.Atoi(s.resp.Header.Get(headerRetryAfter))
		return &RefusedError{Status: h.Status, RetryAfter: time.Duration(max(seconds, 0)) * time.Second}
	case ClassUnknownRun:
		return fmt.Errorf("%w: status %d", ErrUnknownRun, h.Status)
	default:
		return fmt.Errorf("%w: status %d", ErrBroken, h.Status)
	}
}

// Head implements Stream.
func (s *httpStream) Head() Head {
	h := Head{Status: s.resp.StatusCode, ContentType: s.resp.Header.Get("Content-Type")}
	if !s.call.Chat {
		h.Fields = PickFields(s.resp.Header, answerFields)
	}
	return h
}

// answerFields are the header fields of a service's answer that are passed on to the caller, besides its content type.
var answerFields = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Encoding", "Content-Language", "Content-Range", "Etag",
	"Expires", "Last-Modified", "Location", "Retry-After", "Vary",
}

// PickFields returns the named fields that are present in the header.
func PickFields(h http.Header, names []string) []Field {
	var fields []Field
	for _, name := range names {
		if v := h.Get(name); v != "" {
			fields = append(fields, Field{name, v})
		}
	}
	return fields
}

// Close implements Stream. It cancels a run that has not ended. The rest of the answer to a run that has ended is read,
// so that the connection can be reused.
func (s *httpStream) Close() {
	if s.usageRead {
		drain := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.reader, maxDrainBytes) // anything left is dropped with the connection
		drain.Stop()
	}
	s.cancel()
	s.resp.Body.Close()
}

// Next implements Stream. Filter Send calls it until the last chunk.
func (s *httpStream) Next() (Fragment, error) {
	if s.ended {
		return Fragment{}, io.EOF
	}
	if s.events {
		return s.nextEvent()
	}
	return s.nextChunk()
}

// nextChunk reads until a chunk is full, so that only the last one is shorter. Next calls it for an answer without
// events.
func (s *httpStream) nextChunk() (Fragment, error) {
	buf := make([]byte, serviceChunkBytes)
	n := 0
	for n < len(buf) && !s.ended {
		m, err := s.reader.Read(buf[n:])
		n += m
		if err != nil && !errors.Is(err, io.EOF) {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		s.ended = err != nil
	}
	if s.ended {
		if err := s.written.CheckEnd(s.resp); err != nil {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
	}
	f := Fragment{RunID: s.call.RunID, Offset: s.offset, Chunk: Chunk{Data: buf[:n], Last: s.ended}}
	s.offset++
	return f, nil
}

// nextEvent reads one server-sent event. It ignores comments and all fields other than id and data. Next calls it for
// an answer of events.
func (s *httpStream) nextEvent() (Fragment, error) {
	var id string
	var data []byte
	remaining := maxEventBytes
	for {
		line, err := s.readLine(remaining)
		if err != nil {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		remaining -= len(line) + 1
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && data != nil:
			f, err := newFragment(id, data)
			s.usageRead = s.usageRead || f.Chunk.Last
			return f, err
		case string(name) == "id":
			id = string(value)
		case string(name) == "data" && data != nil:
			data = append(append(data, '\n'), value...)
		case string(name) == "data":
			data = bytes.Clone(value)
		}
	}
}

// readLine returns the next line without its line break, or an error if it is longer than limit bytes. nextEvent calls
// it.
func (s *httpStream) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("event is longer than %d bytes", maxEventBytes)
		}
		if err == nil && line == nil {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		line = append(line, part...)
		if err == nil {
			return bytes.TrimRight(line, "\r\n"), nil
		}
		if !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
}

// usageField is in every event that reports the token usage. Quotes in generated text are escaped, so text never
// contains it.
var usageField = []byte(`"usage"`)

// completionChunk holds the fields of a chat completion chunk that the router reads.
type completionChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

// newFragment decodes an event. Only an event with usageField is unmarshaled; the others are just checked to be valid
// JSON. nextEvent calls it.
func newFragment(id string, data []byte) (Fragment, error) {
	if string(data) == "[DONE]" {
		return Fragment{}, fmt.Errorf("%w: stream ended without token usage", ErrBroken)
	}
	runID, offset, err := parseEventID(id)
	if err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	chunk := Chunk{Data: data}
	if !bytes.Contains(data, usageField) {
		if !json.Valid(data) {
			return Fragment{}, fmt.Errorf("%w: event is not valid JSON", ErrBroken)
		}
		return Fragment{RunID: runID, Offset: offset, Chunk: chunk}, nil
	}
	var completion completionChunk
	if err := json.Unmarshal(data, &completion); err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if completion.Usage != nil {
		chunk.Tokens, chunk.Last = completion.Usage.TotalTokens, true
	}
	return Fragment{RunID: runID, Offset: offset, Chunk: chunk}, nil
}

// Content returns the text in a chunk of a chat answer. It is decoded on demand, because few requests need it: those
// whose answer is rated. Filter Cascade calls it.
func (c Chunk) Content() string {
	if c.Text != "" {
		return c.Text
	}
	var completion completionChunk
	if json.Unmarshal(c.Data, &completion) != nil || len(completion.Choices) == 0 {
		return ""
	}
	return completion.Choices[0].Delta.Content
}
