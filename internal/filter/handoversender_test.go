package filter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"cornelmux/internal/endpoint"
)

// handoverSend is a send of a handoverSender: what comes after the time head, and before which event the stream pauses and breaks
// off, if it does.
type handoverSend struct {
	head time.Duration
	// err is the failure before the head, status that of the answer; 0 stands for 200.
	err    error
	status int
	// pauseAt and breakAt are numbers of events, from 1; the last chunk counts as one more.
	pauseAt int
	pause   time.Duration
	breakAt int
	// silentAt is the event that never comes; 0 means none.
	silentAt int
	// confidence is the model's in its answer; 0 means none.
	confidence int
}

// openSend is what a handoverSender saw of a send. accepted is zero for one without a head that says success.
type openSend struct {
	id, after, model         string
	opened, accepted, closed time.Time
}

// handoverSender is a Sender of streams with as many events as the field says, which go on after Last-Event-Id. The sends go as
// scripted, in order, and the last one of the script stands for all further ones.
type handoverSender struct {
	script []handoverSend
	events int
	// mu guards sends, since two may be open at the same time.
	mu    sync.Mutex
	sends []openSend
}

func (s *handoverSender) Open(ctx context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	s.mu.Lock()
	n := len(s.sends)
	s.sends = append(s.sends, openSend{id: e.ID, after: c.LastEventID, model: c.Model, opened: time.Now()})
	s.mu.Unlock()
	send := s.script[min(n, len(s.script)-1)]
	err := send.err
	if !pauseFor(ctx, send.head) {
		err = endpoint.ErrBroken
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil {
		s.sends[n].closed = time.Now()
		return nil, err
	}
	if send.status == 0 {
		s.sends[n].accepted = time.Now()
	}
	after := 0
	if c.LastEventID != "" {
		_, _ = fmt.Sscan(c.LastEventID, &after) // the sink checks the order
	}
	return &handoverStream{ctx: ctx, sender: s, n: n, send: send, event: after}, nil
}

type handoverStream struct {
	ctx    context.Context
	sender *handoverSender
	n      int
	send   handoverSend
	event  int
}

func (s *handoverStream) Head() endpoint.Head {
	h := head(max(s.send.status, 200), fmt.Sprint(s.n))
	h.Confidence, h.HasConfidence = s.send.confidence, s.send.confidence > 0
	return h
}

func (s *handoverStream) Next() (endpoint.Fragment, error) {
	if s.send.status != 0 {
		return endpoint.Fragment{Chunk: last("no")}, nil
	}
	s.event++
	pause := short
	if s.event == s.send.pauseAt {
		pause = s.send.pause
	}
	if s.event == s.send.silentAt {
		pause = time.Hour
	}
	if !pauseFor(s.ctx, pause) || s.event == s.send.breakAt {
		return endpoint.Fragment{}, endpoint.ErrBroken
	}
	if s.event > s.sender.events {
		return endpoint.Fragment{Chunk: end}, nil
	}
	return endpoint.Fragment{Chunk: event(fmt.Sprint(s.event), fmt.Sprintf("data: %d\n", s.event))}, nil
}

func (s *handoverStream) Close() {
	s.sender.mu.Lock()
	defer s.sender.mu.Unlock()
	s.sender.sends[s.n].closed = time.Now()
}

// maxOpen returns the greatest number of sends that were open at the same time, moments excluded.
func (s *handoverSender) maxOpen() int {
	most := 0
	for _, a := range s.sends {
		n := 0
		for _, b := range s.sends {
			if !b.opened.After(a.opened) && b.closed.After(a.opened) {
				n++
			}
		}
		most = max(most, n)
	}
	return most
}
