package task

import (
	"reflect"
	"strings"
	"time"

	"github.com/go-logr/logr"
)

const (
	// slowMessageTime is the time from which a message that takes its owner so long is logged.
	slowMessageTime = 50 * time.Millisecond
	// slowMessageInterval is the shortest time between two such lines of one owner.
	slowMessageInterval = time.Second
)

// Meter records how long owners work on their messages.
type Meter interface {
	// MessageRecorder returns the function that records one message of a kind, which must not block.
	MessageRecorder(owner, kind string) func(took time.Duration)
}

// Sized is a message whose handling takes longer the more there is in it. Size is the number of its items, or of its bytes.
type Sized interface{ Size() int }

// Stopwatch times the messages of one owner. Only the owner's goroutine uses it.
type Stopwatch struct {
	owner     string
	meter     Meter
	log       logr.Logger
	recorders map[string]func(time.Duration)
	// loggedAt is when the last slow message was logged; unlogged counts those since then that weren't.
	loggedAt time.Time
	unlogged int
}

// NewStopwatch returns the Stopwatch of an owner; a nil meter records nothing.
func NewStopwatch(owner string, meter Meter, log logr.Logger) *Stopwatch {
	return &Stopwatch{owner: owner, meter: meter, log: log, recorders: map[string]func(time.Duration){}}
}

// Handled notes that a message was handled whose handling began at started. The owner calls it after each message.
func (s *Stopwatch) Handled(started time.Time, message any) {
	size := 0
	if m, ok := message.(Sized); ok {
		size = m.Size()
	}
	s.HandledKind(started, messageKind(message), size)
}

// Ticked notes that the owner's regular work was done that began at started.
func (s *Stopwatch) Ticked(started time.Time) { s.HandledKind(started, "tick", 0) }

// HandledKind is Handled for a message that has no type of its own.
func (s *Stopwatch) HandledKind(started time.Time, kind string, size int) {
	took := time.Since(started)
	s.record(kind, took)
	if took >= slowMessageTime {
		s.logSlow(kind, size, took)
	}
}

// messageKind returns the name of the message's type without "Message".
func messageKind(message any) string {
	return strings.TrimSuffix(reflect.TypeOf(message).Name(), "Message")
}

// record passes the time on to the meter.
func (s *Stopwatch) record(kind string, took time.Duration) {
	if s.meter == nil {
		return
	}
	r, ok := s.recorders[kind]
	if !ok {
		r = s.meter.MessageRecorder(s.owner, kind)
		s.recorders[kind] = r
	}
	r(took)
}

// logSlow logs a message that took long, and counts it if the last such line is too recent.
func (s *Stopwatch) logSlow(kind string, size int, took time.Duration) {
	now := time.Now()
	if !s.loggedAt.IsZero() && now.Sub(s.loggedAt) < slowMessageInterval {
		s.unlogged++
		return
	}
	s.log.Info("message took long", "owner", s.owner, "kind", kind, "size", size, "milliseconds", took.Milliseconds(), "unlogged", s.unlogged)
	s.loggedAt, s.unlogged = now, 0
}
