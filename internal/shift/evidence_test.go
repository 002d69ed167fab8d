package shift

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// TestEvidenceOfPeers: a VM with few answers of its own halts a version by what others counted.
func TestEvidenceOfPeers(t *testing.T) {
	evidence := func(failures, bits uint64, revision int64) peer.VersionEvidence {
		return peer.VersionEvidence{
			Model: "s", Version: "v2", StartedAt: revision, Answers: 10, Rated: 10, Failures: failures, BadEndpoints: bits,
		}
	}
	tests := []struct {
		name  string
		peers int
		told  peer.VersionEvidence
		want  bool
	}{
		{"no peers", 0, peer.VersionEvidence{}, false},
		{"each saw few failures", 6, evidence(5, 0b11, 9), true},
		{"all at one endpoint", 6, evidence(5, 0b1, 9), false},
		{"none failed", 6, evidence(0, 0, 9), false},
		{"of an earlier order", 6, evidence(5, 0b11, 8), false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c, _, ctx := startController(t, true)
			qt.Assert(t, c.Order(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
			for i := range test.peers {
				for range 2 { // a state that comes twice counts once
					s := peer.State{VM: fmt.Sprint("vm", i), Incarnation: 1, Evidence: []peer.VersionEvidence{test.told}}
					qt.Assert(t, c.Receive(ctx, s), qt.IsNil)
				}
			}
			qt.Assert(t, c.Began(ctx, "s", "on the new version", "v2"), qt.IsNil)
			b, err := c.Bind(ctx, "s", "on the new version")
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, b.Version == "", qt.Equals, test.want)
		})
	}
}

func TestCollect(t *testing.T) {
	c, _, ctx := startController(t, true)
	qt.Assert(t, c.Order(ctx, Order{Service: "s", Target: "v2", Duration: time.Minute, Revision: 9}), qt.IsNil)
	for _, version := range []string{"v1", "v2"} {
		qt.Assert(t, c.Ended(ctx, Answer{Service: "s", Version: version, Endpoint: "e", Kind: "k", Counts: true, Failed: true}), qt.IsNil)
	}
	var s peer.State
	qt.Assert(t, c.Collect(ctx, &s), qt.IsNil)
	qt.Assert(t, s.Evidence, qt.DeepEquals, []peer.VersionEvidence{{
		Model: "s", Version: "v2", StartedAt: 9, Answers: 1, Failures: 1, Rated: 1, BadEndpoints: endpointBit("e"),
	}})
}
