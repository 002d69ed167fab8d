package cascade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestEvaluateConfidence varies one input of an assessment that escalates at a time.
func TestEvaluateConfidence(t *testing.T) {
	base := Assessment{Confidence: 20, RetryAllowed: true, Load: 0.1, TTFB: 100 * time.Millisecond, Remaining: 8 * time.Second, Objective: 2 * time.Second}
	with := func(change func(*Assessment)) Assessment {
		o := base
		change(&o)
		return o
	}
	tests := []struct {
		name  string
		input Assessment
		want  Verdict
	}{
		{"low confidence", base, VerdictEscalate},
		{"high confidence", with(func(o *Assessment) { o.Confidence = 90 }), VerdictConfident},
		{"deadline too near", with(func(o *Assessment) { o.Remaining = 200 * time.Millisecond }), VerdictNoTime},
		{"stronger model's answer would miss the deadline", with(func(o *Assessment) { o.StrongerRest = 9 * time.Second }), VerdictNoTime},
		{"stronger model's answer would miss the objective", with(func(o *Assessment) { o.Elapsed, o.StrongerTTFB = time.Second, 1500*time.Millisecond }), VerdictLate},
		{"full load lowers the threshold", with(func(o *Assessment) { o.Load = 1 }), VerdictConfident},
		{"retry not allowed", with(func(o *Assessment) { o.RetryAllowed = false }), VerdictNoRetry},
		{"very low confidence at full load", with(func(o *Assessment) { o.Load, o.Confidence = 1, 3 }), VerdictEscalate},
	}
	for _, test := range tests {
		qt.Check(t, EvaluateConfidence(test.input), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestEvaluateConfidenceIsMonotone checks that more confidence, more load or less time never causes an escalation.
func TestEvaluateConfidenceIsMonotone(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 9000).Draw(t, name)) * time.Millisecond
		}
		o := Assessment{
			RetryAllowed: rapid.Bool().Draw(t, "allowed"), Confidence: rapid.IntRange(0, 100).Draw(t, "confidence"), Load: rapid.Float64Range(0, 2).Draw(t, "load"),
			TTFB: ms("took"), Remaining: ms("left"), Objective: ms("objective"), Elapsed: ms("elapsed"),
			StrongerTTFB: ms("first"), StrongerRest: ms("rest"),
		}
		worse := o
		worse.Confidence += rapid.IntRange(0, 50).Draw(t, "added confidence")
		worse.Load += rapid.Float64Range(0, 1).Draw(t, "added load")
		worse.Remaining -= ms("lost time")
		if EvaluateConfidence(worse) == VerdictEscalate && EvaluateConfidence(o) != VerdictEscalate {
			t.Fatalf("%+v escalates, but %+v does not", worse, o)
		}
	})
}
