package shift

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestShareNeverFalls checks that the share never decreases, ends at 1 and stays within CanaryShare until canaryEnd.
func TestShareNeverFalls(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		duration := time.Duration(rapid.IntRange(5, 600).Draw(t, "seconds")) * time.Second
		a := time.Duration(rapid.Int64Range(0, int64(duration)).Draw(t, "a"))
		b := time.Duration(rapid.Int64Range(int64(a), int64(duration)).Draw(t, "b"))
		c.Assert(Share(a, duration) <= Share(b, duration), qt.IsTrue)
		c.Assert(Share(duration, duration), qt.Equals, 1.0)
		if float64(b) < canaryEnd*float64(duration) {
			c.Assert(Share(b, duration) <= CanaryShare, qt.IsTrue)
		}
	})
}

func TestBind(t *testing.T) {
	running := Record{Order: Order{Target: "v2"}, State: StateRunning, OldVersions: []string{"v1"}}
	completed, rolledBack := running, running
	completed.State, rolledBack.State = StateCompleted, StateRolledBack
	old, fresh := Binding{ExcludedVersions: []string{"v2"}}, Binding{Version: "v2", Trial: true}
	tests := []struct {
		name string
		in   BindInput
		want Binding
	}{
		{"new session within the share", BindInput{Record: running, Share: 0.1, Bucket: 0.05}, fresh},
		{"new session outside the share", BindInput{Record: running, Share: 0.1, Bucket: 0.5}, old},
		{"active session on the old version", BindInput{Record: running, Share: 0.1, Bucket: 0.05, ActiveHere: true, Version: "v1"}, old},
		{"session active on the old version on another VM", BindInput{Record: running, Share: 0.1, Bucket: 0.05, PinnedElsewhere: true}, old},
		{"active session on the new version", BindInput{Record: running, Share: 0, Bucket: 0.5, ActiveHere: true, Version: "v2"}, fresh},
		{"session on the old version moves after pinning", BindInput{Record: running, Share: 0.9, Bucket: 0.5, ActiveHere: true, Version: "v1", PinningOver: true}, fresh},
		{"session outside the share stays after pinning", BindInput{Record: running, Share: 0.4, Bucket: 0.5, ActiveHere: true, Version: "v1", PinningOver: true}, old},
		{"completed, old version excluded", BindInput{Record: completed, Bucket: 0.5}, Binding{ExcludedVersions: []string{"v1"}}},
		{"rolled back, new version excluded", BindInput{Record: rolledBack, ActiveHere: true, Version: "v2"}, old},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, Bind(test.in), qt.DeepEquals, test.want)
		})
	}
}

// TestSessionKeepsVersion follows a session between two VMs that publish their active sessions. It guards against
// an active session changing its version before canaryEnd.
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
			b := Bind(BindInput{
				Record: r, ActiveHere: version != "" && rapid.Bool().Draw(t, "at the same VM"), Version: version, PinnedElsewhere: before,
				Share: Share(elapsed, r.Duration), Bucket: Bucket(session, r.Target), PinningOver: pinningOver(elapsed, r.Duration),
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

// TestSlow checks which latencies are too long, beside a baseline of 100 ms.
func TestSlow(t *testing.T) {
	baseline := Baseline{}
	for range minBaselineSamples {
		baseline.Add(100 * time.Millisecond)
	}
	tests := []struct {
		name       string
		baseline   Baseline
		latency    time.Duration
		late, slow bool
	}{
		{"as fast as the baseline", baseline, 110 * time.Millisecond, false, false},
		{"three times the baseline", baseline, 300 * time.Millisecond, false, true},
		{"eight times the baseline", baseline, 800 * time.Millisecond, true, true},
		{"no baseline yet", Baseline{}, time.Hour, false, false},
	}
	for _, test := range tests {
		qt.Check(t, test.baseline.IsLate(test.latency), qt.Equals, test.late, qt.Commentf(test.name))
		qt.Check(t, test.baseline.IsSlow(test.latency), qt.Equals, test.slow, qt.Commentf(test.name))
	}
}
