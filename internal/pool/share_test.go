package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// TestPeersCount places a run where a peer told of the first of two endpoints.
func TestPeersCount(t *testing.T) {
	tests := []struct {
		name   string
		report peer.EndpointReport
		after  time.Duration
		want   string
	}{
		{"nothing of note", peer.EndpointReport{Endpoint: "a", Incarnation: 5}, 0, "a"},
		{"the peer's runs are there", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 3, EngineLoad: 3}, 0, "b"},
		{"they were there some time ago", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 3, EngineLoad: 3}, viewFor + 1, "a"},
		{"they were at an earlier incarnation", peer.EndpointReport{Endpoint: "a", Incarnation: 4, Running: 3, EngineLoad: 3}, 0, "a"},
		{"its runs fail there", peer.EndpointReport{Endpoint: "a", Incarnation: 5, FailureRate: 0.5}, 0, "b"},
		{"it couldn't reach the endpoint", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Suspect: true}, 0, "b"},
		{"it couldn't some time ago", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Suspect: true}, doubtFor + 1, "a"},
		{"an endpoint that isn't known", peer.EndpointReport{Endpoint: "x", Incarnation: 5, Suspect: true}, 0, "a"},
	}
	for _, model := range []string{"", "m"} {
		for _, test := range tests {
			t.Run(test.name+" "+model, func(t *testing.T) {
				table := newTable(entry("a"), entry("b"))
				table.Hear("peer", []peer.EndpointReport{test.report}, start)
				p, _ := table.Choose(&Query{Service: "s", Model: model}, start.Add(test.after))
				qt.Check(t, p.ID, qt.Equals, test.want)
			})
		}
	}
}

func TestReports(t *testing.T) {
	table := newTable(entry("a"), entry("b"), entry("c"))
	q := Query{Service: "s", Model: "m", Weight: 0.5}
	p, _ := table.Choose(&q, start)
	qt.Assert(t, table.Reports(start), qt.DeepEquals, []peer.EndpointReport{{Endpoint: p.ID, Incarnation: 5, Running: 1, EngineLoad: 0.5}})
	table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, End: EndUnreachable, Model: "m", Service: "s", Weight: 0.5}, start)
	reports := table.Reports(start)
	qt.Assert(t, reports, qt.HasLen, 1)
	qt.Check(t, reports[0].Suspect, qt.IsTrue)
	qt.Check(t, reports[0].FailureRate, qt.Equals, failureWeight)
	qt.Check(t, table.Reports(start.Add(firstPause))[0].Suspect, qt.IsFalse)
}
