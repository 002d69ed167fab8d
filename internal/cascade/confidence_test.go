package cascade

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestWeigh(t *testing.T) {
	calm := Opinion{Confidence: 20, Allowed: true, Load: 0.1, Took: 100 * time.Millisecond, Left: 8 * time.Second, Objective: 2 * time.Second}
	with := func(change func(*Opinion)) Opinion {
		o := calm
		change(&o)
		return o
	}
	tests := []struct {
		name string
		o    Opinion
		want Ruling
	}{
		{"unsure", calm, RulingClimb},
		{"sure", with(func(o *Opinion) { o.Confidence = 90 }), RulingSure},
		{"no time left", with(func(o *Opinion) { o.Left = 200 * time.Millisecond }), RulingNoTime},
		{"the stronger model's stream wouldn't end in time", with(func(o *Opinion) { o.StrongerRest = 9 * time.Second }), RulingNoTime},
		{"it would begin too late", with(func(o *Opinion) { o.Elapsed, o.StrongerFirst = time.Second, 1500*time.Millisecond }), RulingLate},
		{"endpoints are full", with(func(o *Opinion) { o.Load = 1 }), RulingSure},
		{"it may not be sent again", with(func(o *Opinion) { o.Allowed = false }), RulingNoSend},
		{"hopeless even then", with(func(o *Opinion) { o.Load, o.Confidence = 1, 3 }), RulingClimb},
	}
	for _, test := range tests {
		qt.Check(t, Weigh(test.o), qt.Equals, test.want, qt.Commentf(test.name))
	}
}

// TestWeighMonotone: a surer answer, a busier endpoint or less time never makes a climb that wasn't made before.
func TestWeighMonotone(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		ms := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 9000).Draw(t, name)) * time.Millisecond
		}
		o := Opinion{
			Allowed: rapid.Bool().Draw(t, "allowed"), Confidence: rapid.IntRange(0, 100).Draw(t, "confidence"), Load: rapid.Float64Range(0, 2).Draw(t, "load"),
			Took: ms("took"), Left: ms("left"), Objective: ms("objective"), Elapsed: ms("elapsed"),
			StrongerFirst: ms("first"), StrongerRest: ms("rest"),
		}
		worse := o
		worse.Confidence += rapid.IntRange(0, 50).Draw(t, "surer")
		worse.Load += rapid.Float64Range(0, 1).Draw(t, "busier")
		worse.Left -= ms("less")
		if Weigh(worse) == RulingClimb && Weigh(o) != RulingClimb {
			t.Fatalf("%+v climbs and %+v doesn't", worse, o)
		}
	})
}
