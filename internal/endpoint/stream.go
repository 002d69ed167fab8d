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
	maxEventBytes     = 1 << 20
	serviceChunkBytes = 32 << 10
	// eventBufferBytes holds most events; a longer line is put together from several reads.
	eventBufferBytes = 2 << 10
	maxDrainBytes    = 4 << 10
	// drainTimeout bounds the wait for the end of an answer whose last piece has come.
	drainTimeout = 20 * time.Millisecond
)

type httpStream struct {
	resp   *http.Response
	call   Call
	cancel context.CancelFunc
	reader *bufio.Reader
	events bool
	offset int
	ended  bool
	// usage says that the event with the run's usage was read.
	usage bool
}

func newStream(resp *http.Response, call Call, cancel context.CancelFunc) *httpStream {
	size := serviceChunkBytes
	if call.Chat {
		size = eventBufferBytes
	}
	return &httpStream{resp: resp, call: call, cancel: cancel, reader: bufio.NewReaderSize(resp.Body, size)}
}

// check settles what the head of the answer means.
func (s *httpStream) check(e Endpoint) error {
	if id := s.resp.Header.Get(headerRunID); id != "" && id != s.call.RunID {
		return fmt.Errorf("%w: the answer of endpoint %s names another run", ErrBroken, e.ID)
	}
	h := s.Head()
	switch Judge(s.call, h.Status, h.ContentType) {
	case VerdictEvents:
		s.events = true
		return nil
	case VerdictWhole:
		return nil
	case VerdictRefused:
		seconds, _ := strconv.Atoi(s.resp.Header.Get(headerRetryAfter))
		return &RefusedError{Status: h.Status, RetryAfter: time.Duration(max(seconds, 0)) * time.Second}
	case VerdictUnknownRun:
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

// answerFields are the fields of a service's answer that callers get, besides its type.
var answerFields = []string{
	"Accept-Ranges", "Allow", "Cache-Control", "Content-Disposition", "Content-Language", "Content-Range", "Etag", "Expires",
	"Last-Modified", "Location", "Retry-After", "Vary",
}

// PickFields returns the named fields that a header holds.
func PickFields(h http.Header, names []string) []Field {
	var fields []Field
	for _, name := range names {
		if v := h.Get(name); v != "" {
			fields = append(fields, Field{name, v})
		}
	}
	return fields
}

// Close implements Stream; it cancels the run if it has not ended. The connection of one that has can be used again.
func (s *httpStream) Close() {
	if s.usage {
		drain := time.AfterFunc(drainTimeout, s.cancel)
		_, _ = io.CopyN(io.Discard, s.reader, maxDrainBytes) // what is left is dropped with the connection
		drain.Stop()
	}
	s.cancel()
	s.resp.Body.Close()
}

// Next implements Stream.
func (s *httpStream) Next() (Fragment, error) {
	if s.ended {
		return Fragment{}, io.EOF
	}
	if s.events {
		return s.nextEvent()
	}
	return s.nextChunk()
}

// nextChunk fills a chunk, so that only the last one is short.
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
	f := Fragment{RunID: s.call.RunID, Offset: s.offset, Chunk: Chunk{Data: buf[:n], Last: s.ended}}
	s.offset++
	return f, nil
}

// nextEvent reads one server-sent event; comments and fields that the router doesn't use are passed over.
func (s *httpStream) nextEvent() (Fragment, error) {
	var id string
	var data []byte
	left := maxEventBytes
	for {
		line, err := s.readLine(left)
		if err != nil {
			return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
		}
		left -= len(line)
		name, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch {
		case len(line) == 0 && data != nil:
			f, err := newFragment(id, data)
			s.usage = s.usage || f.Chunk.Last
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

// readLine returns the next line, which may be no longer than limit.
func (s *httpStream) readLine(limit int) ([]byte, error) {
	var line []byte
	for {
		part, err := s.reader.ReadSlice('\n')
		if len(line)+len(part) > limit {
			return nil, fmt.Errorf("event over %d bytes", maxEventBytes)
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

// usageField stands in every event that holds a usage; text can't hold it, since its quotes are escaped.
var usageField = []byte(`"usage"`)

// chunk is the part of a chat completion chunk that the router reads.
type chunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens int `json:"total_tokens"`
	} `json:"usage"`
}

func newFragment(id string, data []byte) (Fragment, error) {
	if string(data) == "[DONE]" {
		return Fragment{}, fmt.Errorf("%w: no usage before the end", ErrBroken)
	}
	runID, offset, err := parseEventID(id)
	if err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	p := Chunk{Data: data}
	if !bytes.Contains(data, usageField) {
		if !json.Valid(data) {
			return Fragment{}, fmt.Errorf("%w: an event is no JSON", ErrBroken)
		}
		return Fragment{RunID: runID, Offset: offset, Chunk: p}, nil
	}
	var c chunk
	if err := json.Unmarshal(data, &c); err != nil {
		return Fragment{}, fmt.Errorf("%w: %w", ErrBroken, err)
	}
	if c.Usage != nil {
		p.Tokens, p.Last = c.Usage.TotalTokens, true
	}
	return Fragment{RunID: runID, Offset: offset, Chunk: p}, nil
}

// Content returns the text of a piece of a chat answer. Few requests need it, so it is read from the data when asked for.
func (p Chunk) Content() string {
	if p.Text != "" {
		return p.Text
	}
	var c chunk
	if json.Unmarshal(p.Data, &c) != nil || len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content
}
