package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/peer"
)

// reincarnated returns an entry of the incarnation.
func reincarnated(id string, incarnation int64) Entry {
	e := entry(id)
	e.Incarnation = incarnation
	return e
}

// TestEndpointThatSaidItLeavesGetsNoRuns guards against runs on an endpoint that said so, whatever the directory tells later of that
// incarnation.
func TestEndpointThatSaidItLeavesGetsNoRuns(t *testing.T) {
	mark := func(t *Table) { t.MarkLeaving("a", 5, start) }
	tests := []struct {
		name  string
		apply func(t *Table)
		want  string
	}{
		{"not said", func(*Table) {}, "a"},
		{"said", mark, ""},
		{"said by an earlier incarnation", func(t *Table) { t.MarkLeaving("a", 4, start) }, "a"},
		{"said by a later incarnation", func(t *Table) { t.MarkLeaving("a", 6, start) }, "a"},
		{"listed once more", func(t *Table) { mark(t); t.Put(entry("a"), start) }, ""},
		{"found by a scan", func(t *Table) { mark(t); t.Retain([]string{"a"}, start) }, ""},
		{"entry of an earlier incarnation", func(t *Table) { mark(t); t.Put(reincarnated("a", 4), start) }, ""},
		{"started anew", func(t *Table) { mark(t); t.Put(reincarnated("a", 6), start) }, "a"},
		{"started anew and said once more", func(t *Table) { mark(t); t.Put(reincarnated("a", 6), start); t.MarkLeaving("a", 6, start) }, ""},
		{"said after the new start", func(t *Table) { t.Put(reincarnated("a", 6), start); mark(t) }, "a"},
		{"deleted and listed once more", func(t *Table) { mark(t); t.Drop("a", start); t.Put(entry("a"), start) }, ""},
		{"deleted and started anew", func(t *Table) { mark(t); t.Drop("a", start); t.Put(reincarnated("a", 6), start) }, "a"},
		{"withdrawn and listed once more", func(t *Table) { mark(t); t.Withdraw("a"); t.Put(entry("a"), start) }, ""},
		{"lapsed in an outage and listed once more", func(t *Table) {
			mark(t)
			t.SetReachable(false, start)
			t.Drop("a", start)
			t.SetReachable(true, start)
			t.Sweep(start.Add(relistTimeout))
			t.Put(entry("a"), start)
		}, ""},
		{"said before it was listed", func(t *Table) { t.Drop("a", start); mark(t); t.Put(entry("a"), start) }, ""},
		{"an earlier incarnation said it before it was listed", func(t *Table) { t.Drop("a", start); t.MarkLeaving("a", 4, start); t.Put(entry("a"), start) }, "a"},
		{"said before the new start was listed", func(t *Table) { t.MarkLeaving("a", 6, start); t.Put(reincarnated("a", 6), start) }, ""},
		{"said before it was listed, started anew", func(t *Table) { t.Drop("a", start); mark(t); t.Put(reincarnated("a", 6), start) }, "a"},
		{"said by a start between two that were listed", func(t *Table) { t.MarkLeaving("a", 6, start); t.Put(reincarnated("a", 7), start) }, "a"},
		{"forgotten before it was listed", func(t *Table) { t.Drop("a", start); mark(t); t.Sweep(start.Add(unlistedTTL)); t.Put(entry("a"), start) }, "a"},
		{"forgotten", func(t *Table) { mark(t); t.Drop("a", start); t.Sweep(start.Add(unlistedTTL)); t.Put(entry("a"), start) }, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			test.apply(table)
			p, choice := table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, p.ID, qt.Equals, test.want)
			qt.Check(t, choice == ChoicePlaced, qt.Equals, test.want != "")
			qt.Check(t, len(table.Versions("s")) > 0, qt.Equals, test.want != "")
		})
	}
}

// TestUnlistedIncarnationsAreBounded guards against a memory that grows with each endpoint that ever left.
func TestUnlistedIncarnationsAreBounded(t *testing.T) {
	table := newTable()
	for n := range maxUnlisted + 10 {
		id := fmt.Sprint("e", n)
		table.Put(entry(id), start)
		table.MarkLeaving(id, 5, start)
		table.Drop(id, start)
		table.MarkLeaving(fmt.Sprint("never listed ", n), 5, start)
	}
	qt.Check(t, table.unlisted, qt.HasLen, maxUnlisted)
	table.Sweep(start.Add(unlistedTTL))
	qt.Check(t, table.unlisted, qt.HasLen, 0)
}

// TestPeersAreToldThatAnEndpointLeaves checks how long an endpoint without runs is reported as leaving, and that one whose entry says so
// isn't: the directory tells the others.
func TestPeersAreToldThatAnEndpointLeaves(t *testing.T) {
	listed := entry("listed")
	listed.Leaving = true
	table := newTable(entry("a"), entry("b"), listed)
	qt.Check(t, table.MarkLeaving("a", 5, start), qt.IsTrue)
	qt.Check(t, table.MarkLeaving("a", 5, start.Add(time.Second)), qt.IsFalse)
	qt.Check(t, table.MarkLeaving("unknown", 5, start), qt.IsFalse)
	tests := []struct {
		name  string
		after time.Duration
		want  []peer.EndpointReport
	}{
		{"at once", 0, []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Leaving: true}}},
		{"at the end of the time", reportLeavingTime - 1, []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Leaving: true}}},
		{"after it", reportLeavingTime, nil},
	}
	for _, test := range tests {
		qt.Check(t, table.PeerReports(start.Add(test.after)), qt.DeepEquals, test.want, qt.Commentf(test.name))
	}
}

// TestReportOfALeavingEndpoint checks which states of peers stop runs on an endpoint, by the zone of the peer and the incarnation.
func TestReportOfALeavingEndpoint(t *testing.T) {
	tests := []struct {
		name   string
		zone   string
		report peer.EndpointReport
		want   string
		load   int
	}{
		{"peer of the zone", "z", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Leaving: true, Running: 2}, "", 0},
		{"peer of another zone", "y", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Leaving: true, Running: 2}, "", 0},
		{"earlier incarnation", "z", peer.EndpointReport{Endpoint: "a", Incarnation: 4, Leaving: true}, "a", 1},
		{"unknown endpoint", "y", peer.EndpointReport{Endpoint: "b", Incarnation: 5, Leaving: true}, "a", 1},
		{"load in the zone", "z", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 2}, "a", 3},
		{"load in another zone", "y", peer.EndpointReport{Endpoint: "a", Incarnation: 5, Running: 2}, "a", 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 0, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
				state := peer.State{VM: "peer", Zone: test.zone, Endpoints: []peer.EndpointReport{test.report}}
				qt.Assert(t, c.Receive(t.Context(), state), qt.IsNil)
				p, err := c.Choose(t.Context(), Query{Service: "s"})
				qt.Check(t, err == nil, qt.Equals, test.want != "")
				qt.Check(t, p.ID, qt.Equals, test.want)
				qt.Check(t, p.Running, qt.Equals, test.load)
			})
		})
	}
}

// TestNoteOfALeavingEndpoint checks that a notice stops runs that are placed after it.
func TestNoteOfALeavingEndpoint(t *testing.T) {
	withController(t, 0, []Entry{entry("a")}, func(t *testing.T, c *Controller) {
		qt.Assert(t, c.Note(t.Context(), Notice{Endpoint: "a", Incarnation: 5}), qt.IsNil)
		_, err := c.Choose(t.Context(), Query{Service: "s"})
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, c.Note(t.Context(), Notice{Endpoint: "a", Incarnation: 5, Notice: endpoint.Notice{Leaving: true}}), qt.IsNil)
		_, err = c.Choose(t.Context(), Query{Service: "s"})
		qt.Assert(t, err, qt.IsNotNil)
	})
}

// TestNoRunOnAnEndpointThatSaidItLeaves draws entries, deletions, scans, outages, reports and notices, and checks that no run is
// placed on an incarnation that said that it leaves.
func TestNoRunOnAnEndpointThatSaidItLeaves(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		table, now := newTable(), start
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		var left []string
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			e := reincarnated(ids.Draw(t, "id"), rapid.Int64Range(4, 6).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 7).Draw(t, "action") {
			case 0, 1:
				table.Put(e, now)
			case 2:
				table.Drop(e.ID, now)
			case 3:
				table.Retain(rapid.SliceOf(ids).Draw(t, "scan"), now)
			case 4:
				table.SetReachable(rapid.Bool().Draw(t, "reachable"), now)
				table.Sweep(now)
			case 5:
				if table.MarkLeaving(e.ID, e.Incarnation, now) {
					left = append(left, fmt.Sprint(e.ID, e.Incarnation))
				}
			default:
				p, choice := table.Choose(&Query{Service: "s", Affinity: rapid.Uint64().Draw(t, "affinity")}, now)
				if choice != ChoicePlaced {
					continue
				}
				if slices.Contains(left, fmt.Sprint(p.ID, p.Incarnation)) {
					t.Fatalf("a run on %s of incarnation %d, which left", p.ID, p.Incarnation)
				}
				if rapid.Bool().Draw(t, "ends") {
					table.Done(&Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, End: EndAnswered, Service: "s"}, now)
				}
			}
		}
	})
}
