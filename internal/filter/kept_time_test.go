package filter

import (
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/pkg/routing"
)

// TestKeptAnswerGoesOnBeforeTheRequestIsGivenUp has the stronger model be silent while an answer is kept of which nothing says how long
// its rest takes.
func TestKeptAnswerGoesOnBeforeTheRequestIsGivenUp(t *testing.T) {
	const timeout = 500 * time.Millisecond
	tests := []struct {
		name string
		// gap is the usual time between two events, tokens the caller's maximum; 0 if unknown.
		gap    time.Duration
		tokens int
	}{
		{"no usual gap", 0, 100},
		{"no number of tokens", 20 * time.Millisecond, 0},
		{"a short rest", time.Millisecond, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x, sink := routedExchange(routing.KindStream, "s", "l")
				x.Routed.CallerTimeout = timeout
				x.Request.Deadline = x.Arrived.Add(timeout)
				x.Routed.Prompt.MaxTokensOut = test.tokens
				ctx, cancel := contextUntil(t, x)
				defer cancel()
				sender := &handoverSender{script: []handoverSend{{head: short, confidence: 5}, {head: time.Hour}}, events: 3}
				p := &fewPool{endpoints: 20, gap: test.gap}
				qt.Check(t, Chain(Escalate{}, Forward{p, noShift{}, sender, noQuarantine{}, nil, nil})(ctx, x), qt.IsNil)
				qt.Check(t, sink.text, qt.Equals, wholeText)
				qt.Check(t, sink.whole, qt.IsTrue)
			})
		})
	}
}
