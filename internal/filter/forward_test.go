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

// scriptedSender is a Sender whose sends end as scripted, in order.
type scriptedSender struct {
	script []scriptedSend
	calls  []endpoint.Call
	to     []string
}

type scriptedSend struct {
	err    error
	head   endpoint.Head
	chunks []endpoint.Chunk
	// broken is the error after the chunks.
	broken error
}

// Open implements Sender. It records the call and answers with the next scripted send, or fails with ErrBroken if there
// is none left.
func (s *scriptedSender) Open(_ context.Context, e endpoint.Endpoint, c endpoint.Call, check endpoint.SendCheck) (endpoint.Stream, error) {
	if err := check(); err != nil {
		return nil, err
	}
	n := len(s.calls)
	s.calls, s.to = append(s.calls, c), append(s.to, e.ID)
	if n >= len(s.script) {
		return nil, fmt.Errorf("%w: no further send is scripted", endpoint.ErrBroken)
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
	if s.next < len(s.send.chunks) {
		s.next++
		return endpoint.Fragment{Chunk: s.send.chunks[s.next-1]}, nil
	}
	if s.send.broken != nil {
		return endpoint.Fragment{}, s.send.broken
	}
	return endpoint.Fragment{}, io.EOF
}

func (s *scriptedStream) Close() {}

// fakePool is a Pool that places runs on endpoints e1, e2, ... and records how they ended.
type fakePool struct {
	placed int
	ends   []pool.End
	none   bool
}

func (p *fakePool) Choose(_ context.Context, q pool.Query) (pool.Placement, error) {
	if p.none {
		return pool.Placement{}, result.Errorf(result.NoEndpoint, "service %s", q.Service)
	}
	p.placed++
	return pool.Placement{Entry: pool.Entry{ID: fmt.Sprint("e", p.placed), Address: "127.0.0.1:1"}, RetryAllowed: true}, nil
}

func (p *fakePool) Done(_ context.Context, o pool.Outcome) error {
	p.ends = append(p.ends, o.End)
	return nil
}

func (p *fakePool) Note(context.Context, pool.Notice) error                   { return nil }
func (p *fakePool) Confirm(context.Context, pool.Query, string) (bool, error) { return true, nil }
func (*fakePool) Began(context.Context, pool.Begin) error                     { return nil }

// noShift implements Shifts without a traffic shift.
type noShift struct{}

func (noShift) Bind(context.Context, string, string) (shift.Binding, error) {
	return shift.Binding{}, nil
}
func (noShift) AttemptStarted(context.Context, shift.Attempt) error     { return nil }
func (noShift) AttemptProgressed(context.Context, shift.Progress) error { return nil }
func (noShift) AttemptEnded(context.Context, shift.Outcome) error       { return nil }

// textSink is a Sink that records the text of the answer.
type textSink struct {
	head  Head
	text  string
	whole bool
}

func (w *textSink) Begin(_ context.Context, h Head) error {
	w.head = h
	return nil
}

func (w *textSink) Chunk(_ context.Context, p endpoint.Chunk) error {
	w.text += string(p.Data)
	w.whole = p.Last
	return nil
}

// routedExchange returns a request on a route of the kind, and the sink of its answer.
func routedExchange(kind routing.Kind, cascade ...string) (*Exchange, *textSink) {
	sink := &textSink{}
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

// answered is a send whose whole answer has the confidence.
func answered(confidence int, text string) scriptedSend {
	return scriptedSend{head: rated(text, confidence), chunks: []endpoint.Chunk{event("1", text), end}}
}

func last(text string) endpoint.Chunk { return endpoint.Chunk{Data: []byte(text), Last: true} }

// TestForward checks which failures are retried, what the caller gets, and that an error says "not run" only if no
// endpoint can have run the request.
func TestForward(t *testing.T) {
	refused := &endpoint.RefusedError{Status: 503}
	whole := func(signature, text string) scriptedSend {
		return scriptedSend{head: head(200, signature), chunks: []endpoint.Chunk{last(text)}}
	}
	tests := []struct {
		name   string
		kind   routing.Kind
		script []scriptedSend
		text   string
		signed string
		sends  int
		// code and run are those of the error; 0 stands for an answer.
		code result.Code
		run  result.Run
	}{
		{"complete answer", routing.KindNonIdempotent, []scriptedSend{whole("1", "yes")}, "yes", "1", 1, 0, ""},
		{
			"head and body are from the same endpoint", routing.KindIdempotent,
			[]scriptedSend{{head: head(200, "1"), broken: endpoint.ErrBroken}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{
			"non-idempotent request that may have run is not retried", routing.KindNonIdempotent,
			[]scriptedSend{{err: endpoint.ErrBroken}, whole("2", "yes")},
			"", "", 1, result.OutcomeUnknown, result.Unknown,
		},
		{"non-idempotent request is retried after a refusal", routing.KindNonIdempotent, []scriptedSend{{err: refused}, whole("2", "yes")}, "yes", "2", 2, 0, ""},
		{
			"non-idempotent request is retried if another endpoint has the address", routing.KindNonIdempotent,
			[]scriptedSend{{err: endpoint.ErrReplaced}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{"non-idempotent request is retried if no connection was made", routing.KindNonIdempotent, []scriptedSend{{err: endpoint.ErrNotSent}, whole("2", "yes")}, "yes", "2", 2, 0, ""},
		{
			"only refusals are reported as not run", routing.KindNonIdempotent,
			[]scriptedSend{{err: refused}, {err: refused}, {err: refused}},
			"", "", 3, result.QueueFull, result.NotRun,
		},
		{
			"refusal after a lost run is reported as unknown", routing.KindIdempotent,
			[]scriptedSend{{err: endpoint.ErrBroken}, {err: refused}, {err: refused}},
			"", "", 3, result.QueueFull, result.Unknown,
		},
		{
			"error status of the endpoint is passed on", routing.KindNonIdempotent,
			[]scriptedSend{{head: head(500, "1"), chunks: []endpoint.Chunk{last("no")}}},
			"no", "1", 1, 0, "",
		},
		{"error status of an idempotent request is passed on if no retry succeeds", routing.KindIdempotent, []scriptedSend{
			{head: head(500, "1"), chunks: []endpoint.Chunk{last("no")}}, {err: endpoint.ErrBroken}, {err: endpoint.ErrBroken},
		}, "no", "1", 3, 0, ""},
		{
			"error status of an idempotent request is dropped if a retry succeeds", routing.KindIdempotent,
			[]scriptedSend{{head: head(500, "1"), chunks: []endpoint.Chunk{last("no")}}, whole("2", "yes")},
			"yes", "2", 2, 0, "",
		},
		{"stream resumes after its last whole event and keeps its first head", routing.KindStream, []scriptedSend{
			{head: head(200, "1"), chunks: []endpoint.Chunk{event("1", "a"), event("2", "b")}, broken: endpoint.ErrBroken},
			{head: head(200, "2"), chunks: []endpoint.Chunk{event("3", "c"), end}},
		}, "abc", "1", 2, 0, ""},
		{"stream is resumed past endpoints that can't be reached", routing.KindStream, []scriptedSend{
			{head: head(200, "1"), chunks: []endpoint.Chunk{event("1", "a")}, broken: endpoint.ErrBroken},
			{err: endpoint.ErrNotSent},
			{err: endpoint.ErrNotSent},
			{head: head(200, "2"), chunks: []endpoint.Chunk{event("2", "b"), end}},
		}, "ab", "1", 4, 0, ""},
		{"non-idempotent request gets past endpoints that can't be reached", routing.KindNonIdempotent, []scriptedSend{
			{err: endpoint.ErrNotSent}, {err: endpoint.ErrNotSent}, {err: endpoint.ErrNotSent}, whole("4", "yes"),
		}, "yes", "4", 4, 0, ""},
		{"stream that ends early is broken", routing.KindStream, []scriptedSend{
			{head: head(200, "1"), chunks: []endpoint.Chunk{event("1", "a")}},
			{err: endpoint.ErrBroken},
			{err: endpoint.ErrBroken},
		}, "a", "1", 3, result.AnswerBroken, result.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x, sink := routedExchange(test.kind)
			sender := &scriptedSender{script: test.script}
			err := Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}.Handle(context.Background(), x, nil)
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

// TestForwardResumesAfterTheLastEvent checks the last event ID of each send: first the caller's, then that of the
// broken stream.
func TestForwardResumesAfterTheLastEvent(t *testing.T) {
	x, _ := routedExchange(routing.KindStream)
	x.Routed.LastEventID = "4"
	sender := &scriptedSender{script: []scriptedSend{
		{head: head(200, "1"), chunks: []endpoint.Chunk{event("5", "a"), event("6", "b")}, broken: endpoint.ErrBroken},
		{head: head(200, "2"), chunks: []endpoint.Chunk{end}},
	}}
	err := Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}.Handle(context.Background(), x, nil)
	qt.Assert(t, err, qt.IsNil)
	qt.Check(t, sender.calls[0].LastEventID, qt.Equals, "4")
	qt.Check(t, sender.calls[1].LastEventID, qt.Equals, "6")
	qt.Check(t, sender.to, qt.DeepEquals, []string{"e1", "e2"})
}

// TestForwardSendsNothingNearTheDeadline checks that a request is not sent with less than minSendTime left.
func TestForwardSendsNothingNearTheDeadline(t *testing.T) {
	x, _ := routedExchange(routing.KindNonIdempotent)
	x.Request.Deadline = time.Now().Add(minSendTime / 2)
	sender := &scriptedSender{}
	err := Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}}.Handle(context.Background(), x, nil)
	qt.Check(t, result.From(err).Run, qt.Equals, result.NotRun)
	qt.Check(t, sender.calls, qt.HasLen, 0)
}

// TestEscalate checks which models are asked, and whose answer the caller gets.
func TestEscalate(t *testing.T) {
	tests := []struct {
		name   string
		model  string
		script []scriptedSend
		text   string
		models []string
	}{
		{"high confidence is kept", AnyModel, []scriptedSend{answered(90, "small")}, "small", []string{"s"}},
		{"low confidence escalates", AnyModel, []scriptedSend{answered(10, "small"), answered(10, "large")}, "large", []string{"s", "l"}},
		{"model named by the caller is kept", "m", []scriptedSend{answered(10, "middle")}, "middle", []string{"m"}},
		{"no escalation without a send left", AnyModel, []scriptedSend{
			{err: endpoint.ErrBroken}, {err: endpoint.ErrBroken}, answered(10, "small"),
		}, "small", []string{"s", "s", "s"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			x, sink := routedExchange(routing.KindStream, "s", "m", "l")
			x.Request.Model = test.model
			sender := &scriptedSender{script: test.script}
			chain := Chain(Escalate{}, Forward{Pool: &fakePool{}, Shifts: noShift{}, Sender: sender, Quarantines: noQuarantine{}})
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

// excludePool is a fakePool that records which endpoints each placement left out.
type excludePool struct {
	fakePool
	excluded [][]string
}

func (p *excludePool) Choose(ctx context.Context, q pool.Query) (pool.Placement, error) {
	p.excluded = append(p.excluded, append([]string{}, q.Exclude...))
	return p.fakePool.Choose(ctx, q)
}

// TestStrongerModelIsNotAskedWhereTheRequestFailed guards against an escalation that goes back to an endpoint which has just refused
// the request; the one that answered may be asked again.
func TestStrongerModelIsNotAskedWhereTheRequestFailed(t *testing.T) {
	refused := scriptedSend{err: &endpoint.RefusedError{Status: 503}}
	tests := []struct {
		name     string
		script   []scriptedSend
		excluded [][]string
	}{
		{"answered at once", []scriptedSend{answered(10, "small"), answered(10, "large")}, [][]string{{}, {}}},
		{"refused before", []scriptedSend{refused, answered(10, "small"), answered(10, "large")}, [][]string{{}, {"e1"}, {"e1"}}},
		{"stronger model refused", []scriptedSend{answered(10, "small"), refused, answered(10, "large")}, [][]string{{}, {}, {"e2"}}},
		{"both refused", []scriptedSend{refused, answered(10, "small"), refused, answered(10, "large")}, [][]string{{}, {"e1"}, {"e1"}, {"e1", "e3"}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, sink := routedExchange(routing.KindStream, "s", "l")
			x.Routed.Route.MaxAttempts = len(test.script)
			p := &excludePool{}
			chain := Chain(Escalate{}, Forward{p, noShift{}, &scriptedSender{script: test.script}, noQuarantine{}, nil, nil})
			qt.Assert(t, chain(t.Context(), x), qt.IsNil)
			qt.Check(t, sink.text, qt.Equals, "large")
			qt.Check(t, p.excluded, qt.DeepEquals, test.excluded)
		})
	}
}
