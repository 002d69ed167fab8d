package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
)

const (
	serviceMailbox = 1024
	slowDelay      = 300 * time.Millisecond
)

// Service is a stand-in of a plain service. It counts the calls of each request ID, so that tests see a doubled one.
type Service struct {
	mailbox     chan serviceMessage
	incarnation uint64
	name        string
	delay       time.Duration
	counts      map[string]int
}

type serviceMessage interface{ handle(*Service) }

type (
	callMessage struct {
		id    string
		reply chan<- int
	}
	callCountsMessage struct{ reply chan<- map[string]int }
)

// NewService makes a service that takes delay for each call.
func NewService(name string, delay time.Duration) *Service {
	return &Service{
		mailbox: make(chan serviceMessage, serviceMailbox), incarnation: uint64(time.Now().UnixNano()),
		name: name, delay: delay, counts: map[string]int{},
	}
}

// Run owns the counts until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	for {
		select {
		case m := <-s.mailbox:
			m.handle(s)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (m callMessage) handle(s *Service) {
	s.counts[m.id]++
	m.reply <- s.counts[m.id]
}

func (m callCountsMessage) handle(s *Service) {
	counts := make(map[string]int, len(s.counts))
	for k, n := range s.counts {
		counts[k] = n
	}
	m.reply <- counts
}

// receipt is the service's answer to a call.
type receipt struct {
	Service   string `json:"service"`
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	Call      int    `json:"call"`
	Body      string `json:"body"`
}

// ServeHTTP serves any call, its load and its counts.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/load":
		writeJSON(w, endpoint.Report{Incarnation: s.incarnation, Services: []string{s.name}}, nil)
	case "/counts":
		counts, err := task.Ask(r.Context(), s.mailbox, func(reply chan<- map[string]int) serviceMessage { return callCountsMessage{reply} })
		writeJSON(w, counts, err)
	default:
		s.serveCall(w, r)
	}
}

func (s *Service) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		return
	}
	id := r.Header.Get("X-Request-Id")
	n, err := task.Ask(r.Context(), s.mailbox, func(reply chan<- int) serviceMessage { return callMessage{id, reply} })
	if err != nil {
		return
	}
	delay := s.delay
	if strings.Contains(string(body), FaultSlow) {
		delay += slowDelay
	}
	if !task.Sleep(r.Context(), delay) {
		return
	}
	switch {
	case strings.Contains(string(body), FaultFail):
		http.Error(w, "asked for by the body", http.StatusInternalServerError)
		return
	case strings.Contains(string(body), FaultBreak):
		panic(http.ErrAbortHandler)
	case strings.Contains(string(body), FaultSilent):
		<-r.Context().Done()
		return
	case strings.Contains(string(body), FaultForeign):
		w.Header().Set("X-Request-Id", "another/"+id)
	case strings.Contains(string(body), FaultEarly):
		w.Header().Set("Content-Length", strconv.Itoa(maxBodyBytes))
	}
	writeJSON(w, receipt{Service: s.name, RequestID: id, Path: r.URL.Path, Call: n, Body: string(body)}, nil)
}

// RatingService is a stand-in of the rating service: answers that contain Bad rate low.
type RatingService struct {
	Bad string
}

const (
	goodRating = 0.95
	badRating  = 0.2
)

// ServeHTTP rates an answer.
func (s *RatingService) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var q cascade.Rating
	if err := json.NewDecoder(io.LimitReader(r.Body, maxBodyBytes)).Decode(&q); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rating := cascade.Rating{RequestID: q.RequestID, Rating: goodRating}
	if s.Bad != "" && strings.Contains(q.Answer, s.Bad) {
		rating.Rating = badRating
	}
	writeJSON(w, rating, nil)
}
