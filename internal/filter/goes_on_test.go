package filter

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/task"
	"cornelmux/pkg/routing"
)

// readySend returns a send with a message that waits for its owner, and whose task ends at once.
func readySend(id string, m message) *sendTask {
	s := &sendTask{
		place: pool.Placement{Entry: pool.Entry{ID: id}}, messages: make(chan message, 1), ends: make(chan task.End, 1),
		cancel: func() {}, head: endpoint.Head{Status: 200}, sent: true,
	}
	s.messages <- m
	s.ends <- task.End{Err: endpoint.ErrBroken}
	return s
}

// TestSendThatGoesOnGoesBeforeItsReplacement has an event of the silent send and the acceptance of its replacement wait, as they do after
// the process was held up: the send that goes on is kept.
func TestSendThatGoesOnGoesBeforeItsReplacement(t *testing.T) {
	for range 50 {
		x, sink := routedExchange(routing.KindStream)
		p := &fakePool{}
		f := &forwardRun{placer: placer{Pool: p, Shifts: noShift{}}, quarantines: noQuarantine{}, x: x, timer: time.NewTimer(time.Hour)}
		f.current = readySend("e1", message{chunk: event("1", "a")})
		f.replacement = readySend("e2", message{accepted: true})
		done, err := f.handleNext(context.Background())
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, done, qt.IsFalse)
		qt.Assert(t, sink.text, qt.Equals, "a")
		qt.Assert(t, f.current.place.ID, qt.Equals, "e1")
		qt.Assert(t, p.ends, qt.DeepEquals, []pool.End{pool.EndAbandoned})
	}
}
