package standin

import (
	"context"
	"encoding/json"
	"io"
	"maps"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cornelmux/internal/cascade"
	"cornelmux/internal/endpoint"
	"cornelmux/internal/task"
)

const (
	// serviceMailboxSize is the maximum number of messages that wait for a Service; a call fails beyond it.
	serviceMailboxSize = 1024
	// faultSlowDelay is what FaultSlow adds to a call.
	faultSlowDelay = 300 * time.Millisecond
)

// Service is a stand-in of a plain service. It counts the calls by run ID (header X-Request-Id), so that tests notice a
// run that was sent twice. Run owns the counts; ServeHTTP reaches them through the mailbox.
type Service struct {
	mailbox chan serviceMessage
	// incarnation is the start time in Unix nanoseconds.
	incarnation uint64
	name        string
	// delay is how long each call takes.
	delay time.Duration
	// counts counts the calls by run ID.
	counts map[string]int
}

// serviceMessage is a message to the goroutine that owns a service's counts.
type serviceMessage interface{ handle(*Service) }

type (
	// callMessage counts a call; the reply is how often its run ID was called, this call included.
	callMessage struct {
		id    string
		reply chan<- int
	}
	callCountsMessage struct{ reply chan<- map[string]int }
)

// NewService returns a service whose calls take delay.
func NewService(name string, delay time.Duration) *Service {
	return &Service{
		mailbox: make(chan serviceMessage, serviceMailboxSize), incarnation: uint64(time.Now().UnixNano()),
		name: name, delay: delay, counts: map[string]int{},
	}
}

// Run owns the counts and handles messages until ctx ends.
func (s *Service) Run(ctx context.Context) error { return handleAll(ctx, s.mailbox, s) }

func (m callMessage) handle(s *Service) {
	s.counts[m.id]++
	m.reply <- s.counts[m.id]
}

func (m callCountsMessage) handle(s *Service) {
	m.reply <- maps.Clone(s.counts)
}

// callAnswer is the body of the answer to a call.
type callAnswer struct {
	Service string `json:"service"`
	// RequestID is the run ID, from the header X-Request-Id.
	RequestID string `json:"request_id"`
	Path      string `json:"path"`
	// Call counts the calls with this run ID, from 1 on.
	Call int    `json:"call"`
	Body string `json:"body"`
}

// ServeHTTP serves the load report, the call counts and, on every other path, a call.
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

// serveCall counts a call, waits and answers, for ServeHTTP. Fault words in the body are carried out after the wait.
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
		delay += faultSlowDelay
	}
	if !task.Sleep(r.Context(), delay) {
		return
	}
	switch {
	case strings.Contains(string(body), FaultFail):
		http.Error(w, "fault requested by the body", http.StatusInternalServerError)
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
	writeJSON(w, callAnswer{Service: s.name, RequestID: id, Path: r.URL.Path, Call: n, Body: string(body)}, nil)
}

// RatingService is a stand-in of the rating service: answers that contain Bad rate low.
type RatingService struct {
	// Bad is the text whose answers get badRating; if it is empty, none does.
	Bad string
}

const (
	// goodRating and badRating are ratings, 0 to 1, of answers without and with the text Bad.
	goodRating = 0.95
	badRating  = 0.2
)

// ServeHTTP rates the answer in the body.
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
