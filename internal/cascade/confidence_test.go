package cascade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

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
		{"unsure", base, VerdictEscalate},
		{"sure", with(func(o *Assessment) { o.Confidence = 90 }), VerdictConfident},
		{"no time left", with(func(o *Assessment) { o.Remaining = 200 * time.Millisecond }), VerdictNoTime},
		{"the stronger model's stream wouldn't end in time", with(func(o *Assessment) { o.StrongerRest = 9 * time.Second }), VerdictNoTime},
		{"it would begin too late", with(func(o *Assessment) { o.Elapsed, o.StrongerTTFB = time.Second, 1500*time.Millisecond }), VerdictLate},
		{"endpoints are full", with(func(o *Assessment) { o.Load = 1 }), VerdictConfident},
		{"it may not be sent again", with(func(o *Assessment) { o.RetryAllowed = false }), VerdictNoRetry},
		{"hopeless even then", with(func(o *Assessment) { o.Load, o.Confidence = 1, 3 }), VerdictEscalate},
	}
	for _, test := range tests {
		qt.Check(t, EvaluateConfidence(test.input), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestEvaluateConfidenceIsMonotone: a surer answer, a busier endpoint or less time never makes a climb that wasn't made before.
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
		worse.Confidence += rapid.IntRange(0, 50).Draw(t, "surer")
		worse.Load += rapid.Float64Range(0, 1).Draw(t, "busier")
		worse.Remaining -= ms("less")
		if EvaluateConfidence(worse) == VerdictEscalate && EvaluateConfidence(o) != VerdictEscalate {
			t.Fatalf("%+v climbs and %+v doesn't", worse, o)
		}
	})
}
