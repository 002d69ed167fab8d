package entry

import (
	"context"
	"encoding/json"
	"net/http"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/filter"
	"cornelmux/pkg/result"
)

// sink writes one HTTP answer: server-sent events, one JSON object, or the bytes of a service's answer. It implements filter.Sink.
type sink struct {
	w       http.ResponseWriter
	decoder *decoder
	head    filter.Head
	// started is set once something was written.
	started bool
	// chat says that the answer is a successful chat completion.
	chat bool
	// joiner is set for callers that didn't ask for a stream.
	joiner *joiner
	// joinErr is why the answer couldn't be joined. It is kept because filters take errors of a sink for a caller that has
	// disconnected: they ignore them and finish the request.
	joinErr *result.Error
	// buf is reused for each event.
	buf   []byte
	flush *http.ResponseController
}

// Begin implements filter.Sink. It writes the head, unless the answer will be joined.
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
	s.started = true
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
func (s *sink) Chunk(_ context.Context, c endpoint.Chunk) error {
	switch {
	case !s.chat:
		return s.writeBytes(c)
	case s.decoder.stream:
		return s.writeEvent(c)
	default:
		return s.joinChunk(c)
	}
}

// writeBytes writes a chunk unchanged.
func (s *sink) writeBytes(c endpoint.Chunk) error {
	if _, err := s.w.Write(c.Data); err != nil || c.Last {
		return err
	}
	return s.flush.Flush()
}

// writeEvent writes a chunk as one server-sent event. The router asks the engine for the usage event; only callers that asked for
// it too get it. Chunk calls it for streamed chat requests.
func (s *sink) writeEvent(c endpoint.Chunk) error {
	s.buf = s.buf[:0]
	if !c.Last || s.decoder.includeUsage || !isUsageOnly(c.Data) {
		s.buf = append(s.buf, "data: "...)
		s.buf = append(s.buf, c.Data...)
		s.buf = append(s.buf, "\n\n"...)
	}
	if c.Last {
		s.buf = append(s.buf, "data: [DONE]\n\n"...)
	}
	if _, err := s.w.Write(s.buf); err != nil {
		return err
	}
	return s.flush.Flush()
}

// isUsageOnly reports whether an event has no choices, as the usage event.
func isUsageOnly(data []byte) bool {
	var c struct {
		Choices []json.RawMessage `json:"choices"`
	}
	return json.Unmarshal(data, &c) == nil && len(c.Choices) == 0
}

// joinChunk adds a chunk to the joiner, and writes the completion after the last one. Chunk calls it.
func (s *sink) joinChunk(c endpoint.Chunk) error {
	if err := s.joiner.addChunk(c.Data); err != nil {
		s.joinErr = result.Errorf(result.AnswerBroken, "decode event: %v", err)
		return s.joinErr
	}
	if !c.Last {
		return nil
	}
	joined, err := s.joiner.completion(s.head)
	if err != nil {
		s.joinErr = result.Errorf(result.AnswerBroken, "encode completion: %v", err)
		return s.joinErr
	}
	s.started = true
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(joined)
}

// fail reports an error of the request to the caller: as an error response if nothing was written, as an event in a stream,
// and otherwise by closing the connection, so that the caller doesn't take a partial answer for a complete one. ServeHTTP
// calls it if the filter chain or the encoding of the answer failed.
func (s *sink) fail(e *result.Error) {
	if !s.started {
		if s.decoder.id != "" {
			s.w.Header().Set(headerRequestID, s.decoder.id)
		}
		writeError(s.w, e)
		return
	}
	if s.chat && s.decoder.stream {
		data, err := json.Marshal(newFailure(e))
		if err == nil {
			_, _ = s.w.Write([]byte("data: " + string(data) + "\n\n")) // fails only if the caller has disconnected
			_ = s.flush.Flush()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
