package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// TestPlacementUsesPeerReports places a run after a peer reported the first of two equal endpoints.
func TestPlacementUsesPeerReports(t *testing.T) {
	tests := []struct {
		name   string
		report peer.EndpointReport
		after  time.Duration
		want   string
	}{
		{"idle", peer.EndpointReport{Endpoint: "a", Incarnation: 5}, 0, "a"},
		{"loaded by the peer", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 3, EngineLoad: 3}, 0, "b"},
		{"load report expired", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 3, EngineLoad: 3}, peerViewTTL + 1, "a"},
		{"load of an earlier incarnation", peer.EndpointReport{Endpoint: "a", Incarnation: 4, Running: 3, EngineLoad: 3}, 0, "a"},
		{"failing for the peer", peer.EndpointReport{Endpoint: "a", Incarnation: 5, FailureRate: 0.5}, 0, "b"},
		{"suspected by the peer", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Suspect: true}, 0, "b"},
		{"suspicion expired", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Suspect: true}, suspicionTTL + 1, "a"},
		{"unknown endpoint", peer.EndpointReport{Endpoint: "x", Incarnation: 5, Suspect: true}, 0, "a"},
	}
	for _, model := range []string{"", "m"} {
		for _, test := range tests {
			t.Run(test.name+" "+model, func(t *testing.T) {
				table := newTable(entry("a"), entry("b"))
				table.ApplyPeerReports("peer", []peer.EndpointReport{test.report}, start)
				p, _ := table.Choose(&Query{Service: "s", Model: model}, start.Add(test.after))
				qt.Check(t, p.ID, qt.Equals, test.want)
			})
		}
	}
}

// TestPeerReports checks what is reported of an endpoint during a run, after a failure and after the backoff.
func TestPeerReports(t *testing.T) {
	table := newTable(entry("a"), entry("b"), entry("c"))
	q := Query{Service: "s", Model: "m", Weight: 0.5}
	p, _ := table.Choose(&q, start)
	qt.Assert(t, table.PeerReports(start), qt.DeepEquals, []peer.EndpointReport{{Endpoint: p.ID, Incarnation: 5, Running: 1, EngineLoad: 0.5}})
	table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, End: EndUnreachable, Model: "m", Service: "s", Weight: 0.5}, start)
	reports := table.PeerReports(start)
	qt.Assert(t, reports, qt.HasLen, 1)
	qt.Check(t, reports[0].Suspect, qt.IsTrue)
	qt.Check(t, reports[0].FailureRate, qt.Equals, failureUpdateShare)
	qt.Check(t, table.PeerReports(start.Add(firstBackoff))[0].Suspect, qt.IsFalse)
}

// TestPeerTotalsFollowReports guards against the sum of a moment that stands though a report has come, a peer has fallen silent or the
// endpoint has restarted since.
func TestPeerTotalsFollowReports(t *testing.T) {
	report := func(running int) []peer.EndpointReport {
		return []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Running: running}}
	}
	tests := []struct {
		name  string
		apply func(t *Table)
		after time.Duration
		want  int
	}{
		{"nothing", func(*Table) {}, 0, 3},
		{"a newer report", func(t *Table) { t.ApplyPeerReports("v", report(4), start) }, 0, 4},
		{"another peer", func(t *Table) { t.ApplyPeerReports("w", report(4), start) }, 0, 7},
		{"silence", func(*Table) {}, peerViewTTL + 1, 0},
		{"a new incarnation", func(t *Table) {
			e := entry("a")
			e.Incarnation = 6
			t.Put(e, start)
		}, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			table.ApplyPeerReports("v", report(3), start)
			before, _, _ := table.records["a"].peerTotals(start)
			qt.Check(t, before, qt.Equals, 3)
			test.apply(table)
			got, _, _ := table.records["a"].peerTotals(start.Add(test.after))
			qt.Check(t, got, qt.Equals, test.want)
		})
	}
}
