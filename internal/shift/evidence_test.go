package shift

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// TestEvidenceOfPeers checks that a VM without answers of its own halts a version by the evidence of other VMs.
func TestEvidenceOfPeers(t *testing.T) {
	peerEvidence := func(failures, bits uint64, revision int64) peer.VersionEvidence {
		return peer.VersionEvidence{
			Model: "s", Version: "v2", StartedAt: revision, Answers: 10, Rated: 10, Failures: failures, BadEndpoints: bits,
		}
	}
	tests := []struct {
		name     string
		peers    int
		evidence peer.VersionEvidence
		want     bool
	}{
		{"no peers", 0, peer.VersionEvidence{}, false},
		{"few failures on each VM", 6, peerEvidence(5, 0b11, 9), true},
		{"all failures at one endpoint", 6, peerEvidence(5, 0b1, 9), false},
		{"no failures", 6, peerEvidence(0, 0, 9), false},
		{"evidence about an earlier order", 6, peerEvidence(5, 0b11, 8), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range test.peers {
				for range 2 { // a repeated state counts once
					s := peer.State{VM: fmt.Sprint("vm", i), Incarnation: 1, Evidence: []peer.VersionEvidence{test.evidence}}
					qt.Assert(t, c.Receive(ctx, s), qt.IsNil)
				}
			}
			qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestClusterOfSlowAnswers checks that more slow answers are needed to halt a version while its share grows,
// since the moving load slows some answers of a good version too.
func TestClusterOfSlowAnswers(t *testing.T) {
	tests := []struct {
		name string
		// fraction is the elapsed part of the duration.
		fraction float64
		slow     int
		want     bool
	}{
		{"a few slow answers with the canary share", 0.3, 4, false},
		{"a cluster with the canary share", 0.3, 10, true},
		{"a cluster while the share grows", 0.8, 10, false},
		{"many slow answers while the share grows", 0.8, 40, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			answer := func(version string, i int, first time.Duration) {
				a := Outcome{Attempt: Attempt{Service: "s", Version: version, Endpoint: fmt.Sprint("e", i%3), Kind: "k"}, Conclusive: true, TTFB: first}
				qt.Assert(t, c.AttemptEnded(ctx, a), qt.IsNil)
			}
			for i := range 200 {
				answer("v1", i, 100*time.Millisecond)
			}
			order := Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}
			startedAt := time.Now().Add(-time.Duration(test.fraction * float64(order.Duration)))
			qt.Assert(t, c.ApplyRecord(ctx, Record{Order: order, State: StateRunning, OldVersions: []string{"v1"}, StartedAt: startedAt}, 10), qt.IsNil)
			for i := range 100 {
				answer("v2", i, 100*time.Millisecond)
			}
			for i := range test.slow {
				answer("v2", i, 900*time.Millisecond)
				answer("v2", i, 100*time.Millisecond)
			}
			qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

// TestDroppedHeads checks that answers dropped after their head don't hide slow gaps between events of whole answers.
func TestDroppedHeads(t *testing.T) {
	tests := []struct {
		name  string
		heads int
	}{
		{"none", 0},
		{"four for each whole answer", 4},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			answer := func(version string, i int, a Outcome) {
				a.Attempt = Attempt{Service: "s", Version: version, Endpoint: fmt.Sprint("e", i%3), Kind: "k"}
				a.Conclusive, a.TTFB = true, 100*time.Millisecond
				qt.Assert(t, c.AttemptEnded(ctx, a), qt.IsNil)
			}
			for i := range 200 {
				answer("v1", i, Outcome{Pace: 20 * time.Millisecond})
			}
			qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range 40 {
				answer("v2", i, Outcome{Pace: time.Duration(20+60*(i%2)) * time.Millisecond})
				for range test.heads {
					answer("v2", i, Outcome{})
				}
			}
			qt.Assert(t, c.AttemptStarted(ctx, Attempt{Service: "s", Session: "on the new version", Version: "v2"}), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version, qt.Equals, "")
		})
	}
}

// TestCollect checks that evidence about the new version and about the old versions since the order is gossiped apart, with
// the old version's latency.
func TestCollect(t *testing.T) {
	c, _, ctx := startController(t, true)
	answer := func(version string, failed bool) {
		a := Attempt{Service: "s", Version: version, Endpoint: "e", Kind: "k"}
		qt.Assert(t, c.AttemptEnded(ctx, Outcome{Attempt: a, Conclusive: true, Failed: failed, TTFB: time.Second}), qt.IsNil)
	}
	answer("v1", false)
	qt.Assert(t, c.ApplyOrder(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
	answer("v1", false)
	answer("v2", true)
	var s peer.State
	qt.Assert(t, c.Collect(ctx, &s), qt.IsNil)
	qt.Assert(t, s.Evidence, qt.DeepEquals, []peer.VersionEvidence{
		{Model: "s", Version: "v2", StartedAt: 9, Answers: 1, Failures: 1, BadEndpoints: endpointBit("e")},
		{Model: "s", Version: "", StartedAt: 9, Answers: 1},
	})
	qt.Assert(t, s.Latencies, qt.DeepEquals, []peer.LatencyBaseline{{Service: "s", Kind: kindHash("k"), Count: 2, Mean: time.Second}})
}
