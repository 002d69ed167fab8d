package filter

import (
	"context"
	"fmt"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/pkg/routing"
)

// notedPool is a fakePool that sends each notice, and each head that goes to the caller, on events.
type notedPool struct {
	fakePool
	events chan string
}

func (*notedPool) Began(context.Context, pool.Begin) error { return nil }

func (p *notedPool) Note(_ context.Context, n pool.Notice) error {
	p.events <- fmt.Sprintf("%s leaving=%t", n.Endpoint, n.Leaving)
	return nil
}

// notedSink is a textSink that sends on events that a head came.
type notedSink struct {
	textSink
	events chan string
}

func (w *notedSink) Begin(ctx context.Context, h Head) error {
	w.events <- "head"
	return w.textSink.Begin(ctx, h)
}

// TestNoticeReachesThePoolBeforeTheCaller guards against requests that come after an answer and go to the endpoint that said with it
// that it leaves, whatever the answer was.
func TestNoticeReachesThePoolBeforeTheCaller(t *testing.T) {
	leaving := endpoint.Notice{Leaving: true}
	said := func(err error) scriptedSend { return scriptedSend{err: endpoint.WithNotice(err, leaving)} }
	told := func(s scriptedSend) scriptedSend {
		s.head.Notice = leaving
		return s
	}
	whole := scriptedSend{head: endpoint.Head{Status: 200}, chunks: []endpoint.Chunk{{Text: "yes", Last: true}}}
	failed := scriptedSend{head: endpoint.Head{Status: 500}, chunks: []endpoint.Chunk{{Last: true}}}
	broken := scriptedSend{head: endpoint.Head{Status: 200}, broken: endpoint.ErrBroken}
	tests := []struct {
		name   string
		script []scriptedSend
		want   []string
	}{
		{"answer without a notice", []scriptedSend{whole}, []string{"head"}},
		{"answer", []scriptedSend{told(whole)}, []string{"e1 leaving=true", "head"}},
		{"failure", []scriptedSend{told(failed), whole}, []string{"e1 leaving=true", "head"}},
		{"answer that breaks off", []scriptedSend{told(broken), whole}, []string{"e1 leaving=true", "head", "head"}},
		{"refusal", []scriptedSend{said(&endpoint.RefusedError{Status: 503}), whole}, []string{"e1 leaving=true", "head"}},
		{"421", []scriptedSend{said(endpoint.ErrReplaced), whole}, []string{"e1 leaving=true", "head"}},
		{"answer that can't be used", []scriptedSend{said(endpoint.ErrBroken), whole}, []string{"e1 leaving=true", "head"}},
		{"two of them", []scriptedSend{said(&endpoint.RefusedError{Status: 503}), told(whole)}, []string{"e1 leaving=true", "e2 leaving=true", "head"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			events := make(chan string, 16)
			p, sink := &notedPool{events: events}, &notedSink{events: events}
			x, _ := routedExchange(routing.KindIdempotent)
			x.Sink = sink
			err := Forward{Pool: p, Shifts: noShift{}, Sender: &scriptedSender{script: test.script}, Quarantines: noQuarantine{}}.Handle(t.Context(), x, nil)
			qt.Check(t, err, qt.IsNil)
			close(events)
			var got []string
			for e := range events {
				got = append(got, e)
			}
			qt.Check(t, got, qt.DeepEquals, test.want)
		})
	}
}
