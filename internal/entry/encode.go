package entry

import (
	"context"
	"encoding/json"
	"net/http"
	"strings"

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
	text    strings.Builder
}

type completion struct {
	ID      string             `json:"id"`
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   completionUsage    `json:"usage"`
}

type completionChoice struct {
	Index        int               `json:"index"`
	Message      completionMessage `json:"message"`
	FinishReason string            `json:"finish_reason"`
}

type completionMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type completionUsage struct {
	TotalTokens int `json:"total_tokens"`
}

// Begin implements filter.Sink.
func (s *sink) Begin(_ context.Context, h filter.Head) error {
	s.head = h
	s.chat = h.Version != "" && h.Status == http.StatusOK
	s.w.Header().Set(headerRequestID, h.RequestID)
	s.w.Header().Set(headerSession, s.decoder.session)
	if h.Version != "" {
		s.w.Header().Set(headerVersion, h.Model+"/"+h.Version)
	}
	if s.chat && !s.decoder.stream {
		return nil
	}
	s.began = true
	s.w.Header().Set("Content-Type", h.ContentType)
	s.w.WriteHeader(h.Status)
	return nil
}

// Piece implements filter.Sink.
func (s *sink) Piece(_ context.Context, p endpoint.Piece) error {
	switch {
	case !s.chat:
		_, err := s.w.Write(p.Data)
		return err
	case s.decoder.stream:
		return s.event(p)
	default:
		s.text.WriteString(p.Text)
		if !p.Last {
			return nil
		}
		return s.whole(p)
	}
}

func (s *sink) event(p endpoint.Piece) error {
	data := "data: " + string(p.Data) + "\n\n"
	if p.Last {
		data += "data: [DONE]\n\n"
	}
	if _, err := s.w.Write([]byte(data)); err != nil {
		return err
	}
	return http.NewResponseController(s.w).Flush()
}

func (s *sink) whole(p endpoint.Piece) error {
	s.began = true
	s.w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(s.w).Encode(completion{
		ID: s.head.RequestID, Object: "chat.completion", Model: s.head.Model + "/" + s.head.Version,
		Choices: []completionChoice{{Message: completionMessage{"assistant", s.text.String()}, FinishReason: "stop"}},
		Usage:   completionUsage{p.Tokens},
	})
}

// fail tells the caller of an error: as a status if nothing was written, as an event in a stream,
// and otherwise by cutting the connection, so that a part is never taken for the whole.
func (s *sink) fail(e *result.Error) {
	if !s.began {
		writeError(s.w, e)
		return
	}
	if s.chat && s.decoder.stream {
		data, err := json.Marshal(newFailure(e))
		if err == nil {
			_, _ = s.w.Write([]byte("data: " + string(data) + "\n\n")) // the caller is gone if this fails
			_ = http.NewResponseController(s.w).Flush()
			return
		}
	}
	panic(http.ErrAbortHandler)
}
