package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
)

// TestZoneLoads guards against loads of other zones that are believed too long, and against a silent zone that counts as empty.
func TestZoneLoads(t *testing.T) {
	heard := peer.ZoneLoad{Service: "s", EngineLoad: 3, Utilization: 0.4}
	tests := []struct {
		name            string
		after           time.Duration
		wantLoad        float64
		wantUtilization float64
	}{
		{"just heard", 0, 3, 0.4},
		{"two seconds old", zoneLoadTTL, 3, 0.4},
		{"silent: busy", zoneLoadTTL + 1, 16, 1},
		{"silent for long: unknown", zoneBusyTTL + 1, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			z := zoneLoads{}
			z.hear("y", heard, start)
			load, utilization := z.of("y", "s", 16, start.Add(test.after))
			qt.Check(t, load, qt.Equals, test.wantLoad)
			qt.Check(t, utilization, qt.Equals, test.wantUtilization)
		})
	}
}

// TestZoneLoadIsAMean guards against the view of one VM, which knows a part of its zone, in place of that of all; and against a memory
// that grows with what peers name.
func TestZoneLoadIsAMean(t *testing.T) {
	z := zoneLoads{}
	for i := range 40 {
		z.hear("y", peer.ZoneLoad{Service: "s", EngineLoad: float64(4 * (i % 2)), Utilization: 0.5}, start.Add(time.Duration(i)*200*time.Millisecond))
	}
	load, _ := z.of("y", "s", 16, start.Add(8*time.Second))
	qt.Check(t, load > 1 && load < 3, qt.IsTrue, qt.Commentf("%v", load))
	for i := range 2 * maxZoneLoads {
		z.hear(string(rune(i)), peer.ZoneLoad{Service: "s"}, start)
	}
	qt.Check(t, len(z) <= maxZoneLoads, qt.IsTrue)
}

// TestZoneLoadsOfOwnZone guards against reports of what this VM knows only by hearsay.
func TestZoneLoadsOfOwnZone(t *testing.T) {
	far, leaving := entry("far"), entry("leaving")
	far.Zone, leaving.Leaving = "y", true
	table := newTable(entry("a"), entry("b"), far, leaving)
	table.ApplyPeerReports("peer", []peer.EndpointReport{
		{Endpoint: "a", Incarnation: 5, Running: 2, EngineLoad: 1.5}, {Endpoint: "far", Incarnation: 5, Running: 4, EngineLoad: 4},
	}, start)
	qt.Check(t, table.ZoneLoads(start), qt.DeepEquals, []peer.ZoneLoad{{Service: "s", EngineLoad: 0.75, Utilization: 0.25}})
}

// TestSlownessOfOtherZones guards against runs that leave a zone whose slow endpoints are known, for slow ones elsewhere that aren't; and
// against hearsay.
func TestSlownessOfOtherZones(t *testing.T) {
	tests := []struct {
		name   string
		zone   string
		report peer.EndpointReport
		slow   bool
	}{
		{"slow", "y", peer.EndpointReport{Endpoint: "far", Incarnation: 5, Slowness: 4}, true},
		{"leaving", "y", peer.EndpointReport{Endpoint: "far", Incarnation: 5, Leaving: true}, false},
		{"said in a third zone", "x", peer.EndpointReport{Endpoint: "far", Incarnation: 5, Slowness: 4}, false},
		{"an earlier incarnation", "y", peer.EndpointReport{Endpoint: "far", Incarnation: 4, Slowness: 4}, false},
		{"unknown endpoint", "y", peer.EndpointReport{Endpoint: "x", Incarnation: 5, Slowness: 4}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			far := entry("far")
			far.Zone = "y"
			table := newTable(far)
			for range 8 {
				table.HearSlowness(test.zone, []peer.EndpointReport{test.report}, start)
			}
			qt.Check(t, table.records["far"].slowRatio(start) > 2, qt.Equals, test.slow)
		})
	}
}
