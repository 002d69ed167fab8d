package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/pkg/result"
)

// sink implements filter.Sink for HTTP answers: server-sent events, one JSON object, or a service's own bytes.
type sink struct {
	w       http.ResponseWriter
	decoder *decoder
	head    filter.Head
	began   bool
	chat    bool
	joiner  *joiner
	// broken says why the answer could not be joined; filters go on with a request whose sink fails.
	broken *result.Error
	// buf is reused for each event.
	buf   []byte
	flush *http.ResponseController
}

// Begin implements filter.Sink.
func (s *sink) Begin(_ context.Context, h filter.Head) error {
	s.head = h
	s.flush = http.NewResponseController(s.w)
	s.chat = h.Version != "" && h.Status == http.StatusOK
	header := s.w.Header()
	header.Set(headerRequestID, h.RequestID)
	header.Set(headerSession, s.decoder.session)
	if h.Version != "" {
		header.Set(headerVersion, h.Model+"/"+h.Version)
	}
	if s.chat && !s.decoder.stream {
		s.joiner = newJoiner()
		return nil
	}
	s.began = true
	for _, f := range h.Fields {
		header.Set(f.Name, f.Value)
	}
	if h.ContentType != "" {
		header.Set("Content-Type", h.ContentType)
	}
	s.w.WriteHeader(h.Status)
	return nil
}

// Chunk implements filter.Sink.
func (s *sink) Chunk(_ context.Context, p endpoint.Chunk) error {
	switch {
	case !s.chat:
		return s.bytes(p)
	case s.decoder.stream:
		return s.event(p)
	default:
		return s.join(p)
	}
}

// bytes passes on a part of an answer as it is.
func (s *sink) bytes(p endpoint.Chunk) error {
	if _, err := s.w.Write(p.Data); err != nil || p.Last {
		return err
	}
	return s.flush.Flush()
}

// event passes on one event. The usage that the router asked the engine for goes only to callers that asked for it too.
func (s *sink) event(p endpoint.Chunk) error {
	s.buf = s.buf[:0]
	if !p.Last || s.decoder.usage || !onlyUsage(p.Data) {
		s.buf = append(s.buf, "data: "...)
		s.buf = append(s.buf, p.Data...)
		s.buf = append(s.buf, "\n\n"...)
	}
	if p.Last {
		s.buf = append(s.buf, "data: [DONE]\n\n"...)
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.flush.Flush()
}

func onlyUsage(data []byte) bool {
	var c struct {
		Choices []json.RawMessage `json:"choices"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0
}

func (s *sink) join(p endpoint.Chunk) error {
	if err := s.joiner.add(p.Data); err != nil {
		s.broken = result.Errorf(result.AnswerBroken, "event: %v", err)
		return s.broken
	}
	if !p.Last {
		return nil
	}
	whole, err := s.joiner.whole(s.head)
	if err != nil {
		s.broken = result.Errorf(result.AnswerBroken, "event: %v", err)
		return s.broken
	}
	s.began = true
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(whole)
}

// fail tells the caller of an error: as a status if nothing was written, as an event in a stream,
// and otherwise by cutting the connection, so that a part is never taken for the whole.
func (s *sink) fail(e *result.Error) {
	if !s.began {
		if s.decoder.id != "" {
			s.w.Header().Set(headerRequestID, s.decoder.id)
		}
		writeError(s.w, e)
		return
	}
	if s.chat && s.decoder.stream {
		data, err := json.Marshal(newFailure(e))
		if err == nil {
			_, _ = s.w.Write([]byte("data: " + string(data) + "\n\n")) // the caller is gone if this fails
			_ = s.flush.Flush()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
