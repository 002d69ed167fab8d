package filter

import (
	"errors"
	"testing"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
	"cornelmux/pkg/routing"
)

// TestUnknownModelIsRefusedBeforeASend checks which models of callers a route lets through, and what the endpoint is asked: a model
// that the route doesn't offer must reach no endpoint.
func TestUnknownModelIsRefusedBeforeASend(t *testing.T) {
	sizes := []string{"small", "large"}
	tests := []struct {
		name    string
		cascade []string
		model   string
		// asked is the model that the endpoint is asked; refused says that nothing is sent.
		asked   string
		refused bool
	}{
		{"any model", sizes, AnyModel, "small", false},
		{"the cheapest model", sizes, "small", "small", false},
		{"the strongest model", sizes, "large", "large", false},
		{"no model", sizes, "", "", false},
		{"an unknown model", sizes, "medium", "", true},
		{"a model in other letters", sizes, "Small", "", true},
		{"a list of models", sizes, "small,large", "", true},
		{"an unknown model of a route without a choice", nil, "medium", "medium", false},
		{"any model of a route without a choice", nil, AnyModel, AnyModel, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			sender := &scriptedSender{script: []scriptedSend{{head: head(200, "1"), chunks: []endpoint.Chunk{event("1", "a"), end}}}}
			x, _ := routedExchange(routing.KindStream, test.cascade...)
			x.Request.Model = test.model
			err := Chain(Escalate{}, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}, nil, nil})(t.Context(), x)
			if !test.refused {
				qt.Assert(t, err, qt.IsNil)
				qt.Check(t, x.Routed.Trace, qt.HasLen, 1)
				qt.Check(t, x.Routed.Trace[0].Model, qt.Equals, test.asked)
				return
			}
			var coded *result.Error
			qt.Assert(t, errors.As(err, &coded), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, coded.Code, qt.Equals, result.ModelNotServed)
			qt.Check(t, coded.Run, qt.Equals, result.NotRun)
			qt.Check(t, x.Routed.Trace, qt.HasLen, 0)
		})
	}
}

// TestMisdirectedRequestIsTriedElsewhere checks what callers get if endpoints don't take a request, and what the pool is told: an
// answer about the request must not look like a shortage, nor one about an address like the caller's mistake.
func TestMisdirectedRequestIsTriedElsewhere(t *testing.T) {
	misdirected := scriptedSend{err: endpoint.ErrMisdirected}
	whole := scriptedSend{head: head(200, "2"), chunks: []endpoint.Chunk{{Data: []byte("yes"), Last: true}}}
	tests := []struct {
		name    string
		kind    routing.Kind
		cascade []string
		model   string
		script  []scriptedSend
		// code is that of the error; 0 stands for an answer.
		code result.Code
		run  result.Run
	}{
		{"the next endpoint answers", routing.KindNonIdempotent, nil, "m", []scriptedSend{misdirected, whole}, 0, ""},
		{"none has the caller's model", routing.KindNonIdempotent, nil, "m", []scriptedSend{misdirected, misdirected, misdirected}, result.ModelNotServed, result.NotRun},
		{"none has the router's model", routing.KindStream, []string{"small"}, AnyModel, []scriptedSend{misdirected, misdirected, misdirected}, result.NoEndpoint, result.NotRun},
		{"no model is named", routing.KindNonIdempotent, nil, "", []scriptedSend{misdirected, misdirected, misdirected}, result.NoEndpoint, result.NotRun},
		{"a run was lost before", routing.KindIdempotent, nil, "m", []scriptedSend{{err: endpoint.ErrBroken}, misdirected, misdirected}, result.NoEndpoint, result.Unknown},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			x, _ := routedExchange(test.kind, test.cascade...)
			x.Request.Model = test.model
			err := Chain(Escalate{}, Forward{&fakePool{}, noShift{}, &scriptedSender{script: test.script}, noQuarantine{}, nil, nil})(t.Context(), x)
			for i, s := range x.Routed.Trace {
				qt.Check(t, s.End == "misdirected", qt.Equals, errors.Is(test.script[i].err, endpoint.ErrMisdirected))
			}
			if test.code == 0 {
				qt.Check(t, err, qt.IsNil)
				return
			}
			var coded *result.Error
			qt.Assert(t, errors.As(err, &coded), qt.IsTrue, qt.Commentf("%v", err))
			qt.Check(t, coded.Code, qt.Equals, test.code)
			qt.Check(t, coded.Run, qt.Equals, test.run)
		})
	}
}
