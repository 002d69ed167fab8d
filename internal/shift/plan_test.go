package shift

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestShareNeverFalls(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		duration := time.Duration(rapid.IntRange(5, 600).Draw(t, "seconds")) * time.Second
		a := time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "a"))
		b := time.Duration(rapid.Int64Range(int64(a), int64(duration)).Draw(t, "b"))
		c.Assert(Share(a, duration) <= Share(b, duration), qt.IsTrue)
		c.Assert(Share(duration, duration), qt.Equals, 1.0)
		if float64(b) < firstHalf*float64(duration) {
			c.Assert(Share(b, duration) <= CanaryShare, qt.IsTrue)
		}
	})
}

func TestBind(t *testing.T) {
	running := Record{Order: Order{Target: "v2"}, State: StateRunning, OldVersions: []string{"v1"}}
	completed, rolledBack := running, running
	completed.State, rolledBack.State = StateCompleted, StateRolledBack
	old, fresh := Binding{ExcludedVersions: []string{"v2"}}, Binding{Version: "v2"}
	tests := []struct {
		name string
		c    Case
		want Binding
	}{
		{"a new session within the share", Case{Record: running, Share: 0.1, Bucket: 0.05}, fresh},
		{"a new session outside of it", Case{Record: running, Share: 0.1, Bucket: 0.5}, old},
		{"an old session keeps its version", Case{Record: running, Share: 0.1, Bucket: 0.05, Known: true, Version: "v1"}, old},
		{"also one of another VM", Case{Record: running, Share: 0.1, Bucket: 0.05, Elsewhere: true}, old},
		{"a session on the new version stays there", Case{Record: running, Share: 0, Bucket: 0.5, Known: true, Version: "v2"}, fresh},
		{"late, old sessions move", Case{Record: running, Share: 0.9, Bucket: 0.5, Known: true, Version: "v1", Late: true}, fresh},
		{"late, within the share only", Case{Record: running, Share: 0.4, Bucket: 0.5, Known: true, Version: "v1", Late: true}, old},
		{"after the end nothing goes to the old version", Case{Record: completed, Bucket: 0.5}, Binding{ExcludedVersions: []string{"v1"}}},
		{"after a roll-back nothing goes to the new one", Case{Record: rolledBack, Known: true, Version: "v2"}, old},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Bind(test.c), qt.DeepEquals, test.want)
		})
	}
}

// TestSessionKeepsVersion follows sessions through a whole shift at two VMs that share what they publish: in its first
// half an active session never changes its version.
func TestSessionKeepsVersion(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		r := Record{Order: Order{Target: "v2", Duration: 20 * time.Second}, State: StateRunning, OldVersions: []string{"v1"}}
		session := SessionHash(rapid.String().Draw(t, "session"))
		before := rapid.Bool().Draw(t, "active before the shift")
		version := ""
		if before {
			version = "v1"
		}
		for ms := 2000; ms < 10_000; ms += rapid.IntRange(100, 2000).Draw(t, "pause") {
			elapsed := time.Duration(ms) * time.Millisecond
			b := Bind(Case{
				Record: r, Known: version != "" && rapid.Bool().Draw(t, "at the same VM"), Version: version, Elsewhere: before,
				Share: Share(elapsed, r.Duration), Bucket: Bucket(session, r.Target), Late: late(elapsed, r.Duration),
			})
			got := "v1"
			if b.Version != "" {
				got = b.Version
			}
			if version != "" {
				c.Assert(got, qt.Equals, version)
			}
			version = got
		}
	})
}

func TestSlow(t *testing.T) {
	usual := &Pace{}
	for range paceProof {
		usual.Learn(100*time.Millisecond, 20*time.Millisecond)
	}
	tests := []struct {
		name       string
		pace       *Pace
		first, gap time.Duration
		want       bool
	}{
		{"as usual", usual, 110 * time.Millisecond, 20 * time.Millisecond, false},
		{"eight times to the first event", usual, 800 * time.Millisecond, 0, true},
		{"eight times between events", usual, 100 * time.Millisecond, 200 * time.Millisecond, true},
		{"nothing to compare with", &Pace{}, time.Hour, time.Hour, false},
	}
	for _, test := range tests {
		qt.Check(t, test.pace.Slow(test.first, test.gap), qt.Equals, test.want, qt.Commentf(test.name))
	}
}
