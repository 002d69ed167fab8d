package filter

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/pool"
	"cornelmux/internal/shift"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// scripted is a Sender whose sends end as its script says, one after the other.
type scripted struct {
	script []scriptedSend
	calls  []endpoint.Call
	to     []string
}

type scriptedSend struct {
	err    error
	head   endpoint.Head
	pieces []endpoint.Chunk
	// broken ends the answer behind its pieces.
	broken error
}

func (s *scripted) Open(_ context.Context, e endpoint.Endpoint, c endpoint.Call, gate endpoint.SendCheck) (endpoint.Stream, error) {
	if err := gate(); err != nil {
		return nil, err
	}
	n := len(s.calls)
	s.calls, s.to = append(s.calls, c), append(s.to, e.ID)
	if n >= len(s.script) {
		return nil, fmt.Errorf("%w: the script is over", endpoint.ErrBroken)
	}
	if s.script[n].err != nil {
		return nil, s.script[n].err
	}
	return &scriptedStream{send: s.script[n]}, nil
}

type scriptedStream struct {
	send scriptedSend
	next int
}

func (s *scriptedStream) Head() endpoint.Head { return s.send.head }

func (s *scriptedStream) Next() (endpoint.Fragment, error) {
	if s.next < len(s.send.pieces) {
		s.next++
		return endpoint.Fragment{Chunk: s.send.pieces[s.next-1]}, nil
	}
	if s.send.broken != nil {
		return endpoint.Fragment{}, s.send.broken
	}
	return endpoint.Fragment{}, io.EOF
}

func (s *scriptedStream) Close() {}

// numbered is a Pool that gives out endpoints e1, e2, ... and notes how the runs ended.
type numbered struct {
	given int
	ends  []pool.End
	none  bool
}

func (p *numbered) Choose(_ context.Context, q pool.Query) (pool.Placement, error) {
	if p.none {
		return pool.Placement{}, result.Errorf(result.NoEndpoint, "service %s", q.Service)
	}
	p.given++
	return pool.Placement{Entry: pool.Entry{ID: fmt.Sprint("e", p.given), Address: "127.0.0.1:1"}, RetryAllowed: true}, nil
}

func (p *numbered) Done(_ context.Context, o pool.Outcome) error {
	p.ends = append(p.ends, o.End)
	return nil
}

// unshifted is Shifts without a roll-out.
type unshifted struct{}

func (unshifted) Bind(context.Context, string, string) (shift.Binding, error) {
	return shift.Binding{}, nil
}
func (unshifted) AttemptStarted(context.Context, string, string, string) error { return nil }
func (unshifted) AttemptEnded(context.Context, shift.Outcome) error            { return nil }

// written is a Sink that keeps the answer.
type written struct {
	head  Head
	text  string
	whole bool
}

func (w *written) Begin(_ context.Context, h Head) error {
	w.head = h
	return nil
}

func (w *written) Chunk(_ context.Context, p endpoint.Chunk) error {
	w.text += string(p.Data)
	w.whole = p.Last
	return nil
}

func exchange(kind routing.Kind, cascade ...string) (*Exchange, *written) {
	sink := &written{}
	route := &routing.Route{
		Name: "r", Kind: kind, Resumable: kind == routing.KindStream, MaxAttempts: 3, Cascade: cascade,
		Objective: time.Second, MaxGap: time.Second,
	}
	x := &Exchange{Sink: sink, Arrived: time.Now(), Request: Request{ID: "q", Model: AnyModel, Deadline: time.Now().Add(time.Minute)}}
	x.Routed.Route, x.Routed.Service = route, "s"
	x.Routed.Table = (&routing.Table{Routes: []routing.Route{*route}}).Index()
	x.Idempotent = route.Idempotent()
	return x, sink
}

func head(status int, signature string) endpoint.Head {
	return endpoint.Head{Status: status, Fields: []endpoint.Field{{Name: "Signature", Value: signature}}}
}

func rated(signature string, confidence int) endpoint.Head {
	h := head(200, signature)
	h.Confidence, h.HasConfidence = confidence, true
	return h
}

func event(id, text string) endpoint.Chunk { return endpoint.Chunk{Data: []byte(text), Event: id} }

var end = endpoint.Chunk{Last: true}

func last(text string) endpoint.Chunk { return endpoint.Chunk{Data: []byte(text), Last: true} }

func TestForward(t *testing.T) {
	refused := &endpoint.RefusedError{Status: 503}
	whole := func(signature, text string) scriptedSend {
		return scriptedSend{head: head(200, signature), pieces: []endpoint.Chunk{last(text)}}
	}
	tests := []struct {
		name   string
		kind   routing.Kind
		script []scriptedSend
		text   string
		signed string
		sends  int
		// code and run are those of the refusal; 0 is an answer.
		code result.Code
		run  result.Run
	}{
		{"a whole answer", routing.KindNonIdempotent, []scriptedSend{whole("1", "yes")}, "yes", "1", 1, 0, ""},
		{
			"the head is that of the body that is passed on", routing.KindIdempotent,
			[]scriptedSend{{head: head(200, "1"), broken: endpoint.ErrBroken}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{
			"a non-idempotent request isn't sent again after it may have run", routing.KindNonIdempotent,
			[]scriptedSend{{err: endpoint.ErrBroken}, whole("2", "yes")},
			"", "", 1, result.OutcomeUnknown, result.Unknown,
		},
		{"but after a refusal", routing.KindNonIdempotent, []scriptedSend{{err: refused}, whole("2", "yes")}, "yes", "2", 2, 0, ""},
		{
			"or where another endpoint has the address", routing.KindNonIdempotent,
			[]scriptedSend{{err: endpoint.ErrReplaced}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{"or where no connection was made", routing.KindNonIdempotent, []scriptedSend{{err: endpoint.ErrNotSent}, whole("2", "yes")}, "yes", "2", 2, 0, ""},
		{
			"refusals only are a truthful refusal", routing.KindNonIdempotent,
			[]scriptedSend{{err: refused}, {err: refused}, {err: refused}},
			"", "", 3, result.QueueFull, result.NotRun,
		},
		{
			"a refusal after a run that was lost isn't", routing.KindIdempotent,
			[]scriptedSend{{err: endpoint.ErrBroken}, {err: refused}, {err: refused}},
			"", "", 3, result.QueueFull, result.Unknown,
		},
		{
			"an endpoint's own failure is passed on", routing.KindNonIdempotent,
			[]scriptedSend{{head: head(500, "1"), pieces: []endpoint.Chunk{last("no")}}},
			"no", "1", 1, 0, "",
		},
		{"of an idempotent one where no endpoint does better", routing.KindIdempotent, []scriptedSend{
			{head: head(500, "1"), pieces: []endpoint.Chunk{last("no")}}, {err: endpoint.ErrBroken}, {err: endpoint.ErrBroken},
		}, "no", "1", 3, 0, ""},
		{
			"and a better one where one does", routing.KindIdempotent,
			[]scriptedSend{{head: head(500, "1"), pieces: []endpoint.Chunk{last("no")}}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{"a stream goes on after its last whole event under its first head", routing.KindStream, []scriptedSend{
			{head: head(200, "1"), pieces: []endpoint.Chunk{event("1", "a"), event("2", "b")}, broken: endpoint.ErrBroken},
			{head: head(200, "2"), pieces: []endpoint.Chunk{event("3", "c"), end}},
		}, "abc", "1", 2, 0, ""},
		{"a stream that ends early is no whole one", routing.KindStream, []scriptedSend{
			{head: head(200, "1"), pieces: []endpoint.Chunk{event("1", "a")}},
			{err: endpoint.ErrBroken},
			{err: endpoint.ErrBroken},
		}, "a", "1", 3, result.AnswerBroken, result.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x, sink := exchange(test.kind)
			sender := &scripted{script: test.script}
			err := Forward{Pool: &numbered{}, Shifts: unshifted{}, Sender: sender}.Handle(context.Background(), x, nil)
			c.Check(sink.text, qt.Equals, test.text)
			c.Check(len(sender.calls), qt.Equals, test.sends)
			if test.signed != "" {
				c.Check(sink.head.Fields[0].Value, qt.Equals, test.signed)
			}
			if test.code == 0 {
				c.Assert(err, qt.IsNil)
				c.Check(sink.whole, qt.IsTrue)
				return
			}
			c.Check(result.From(err).Code, qt.Equals, test.code)
			c.Check(result.From(err).Run, qt.Equals, test.run)
			c.Check(sink.whole, qt.IsFalse)
		})
	}
}

func TestResumeAsksForTheRest(t *testing.T) {
	x, _ := exchange(routing.KindStream)
	x.Routed.LastEventID = "4"
	sender := &scripted{script: []scriptedSend{
		{head: head(200, "1"), pieces: []endpoint.Chunk{event("5", "a"), event("6", "b")}, broken: endpoint.ErrBroken},
		{head: head(200, "2"), pieces: []endpoint.Chunk{end}},
	}}
	err := Forward{Pool: &numbered{}, Shifts: unshifted{}, Sender: sender}.Handle(context.Background(), x, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, sender.calls[0].LastEventID, qt.Equals, "4")
	qt.Check(t, sender.calls[1].LastEventID, qt.Equals, "6")
	qt.Check(t, sender.to, qt.DeepEquals, []string{"e1", "e2"})
}

func TestNothingIsSentWithoutTime(t *testing.T) {
	x, _ := exchange(routing.KindNonIdempotent)
	x.Request.Deadline = time.Now().Add(leastBudget / 2)
	sender := &scripted{}
	err := Forward{Pool: &numbered{}, Shifts: unshifted{}, Sender: sender}.Handle(context.Background(), x, nil)
	qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
	qt.Check(t, sender.calls, qt.HasLen, 0)
}

func TestClimb(t *testing.T) {
	answered := func(confidence int, text string) scriptedSend {
		return scriptedSend{head: rated(text, confidence), pieces: []endpoint.Chunk{event("1", text), end}}
	}
	tests := []struct {
		name   string
		model  string
		script []scriptedSend
		text   string
		models []string
	}{
		{"a sure answer is kept", AnyModel, []scriptedSend{answered(90, "small")}, "small", []string{"s"}},
		{"an unsure one is asked for again", AnyModel, []scriptedSend{answered(10, "small"), answered(10, "large")}, "large", []string{"s", "l"}},
		{"the caller's own model is kept", "m", []scriptedSend{answered(10, "middle")}, "middle", []string{"m"}},
		{"without a send to spare nothing climbs", AnyModel, []scriptedSend{
			{err: endpoint.ErrBroken}, {err: endpoint.ErrBroken}, answered(10, "small"),
		}, "small", []string{"s", "s", "s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x, sink := exchange(routing.KindStream, "s", "m", "l")
			x.Request.Model = test.model
			sender := &scripted{script: test.script}
			chain := Chain(Escalate{}, Forward{Pool: &numbered{}, Shifts: unshifted{}, Sender: sender})
			c.Assert(chain(context.Background(), x), qt.IsNil)
			c.Check(sink.text, qt.Equals, test.text)
			var models []string
			for _, call := range sender.calls {
				models = append(models, call.Model)
			}
			c.Check(models, qt.DeepEquals, test.models)
		})
	}
}
