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
			err := Chain(Escalate{}, Forward{&fakePool{}, noShift{}, sender, noQuarantine{}})(t.Context(), x)
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
