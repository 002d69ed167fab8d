package pool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/endpoint"
	"cornelmux/internal/engine"
	"cornelmux/internal/peer"
	"cornelmux/pkg/routing"
)

// serve places and ends runs of a prompt one after the other, which begin after the time of their endpoint.
func serve(table *Table, runs int, took map[string]time.Duration) (now time.Time) {
	now = start
	for range runs {
		now = now.Add(50 * time.Millisecond)
		q := Query{Service: "s", Model: "m", Prompt: routing.Prompt{TokensIn: 2000}}
		p, _ := table.Choose(&q, now)
		table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, End: EndAnswered, Service: "s", Model: "m", Number: p.Number, Run: p.Run, TTFB: took[p.ID]}, now)
	}
	return now
}

// TestForecastIsLearned guards against forecasts by the constants of another deployment, and against one of an endpoint that has
// restarted by what its former incarnation was like.
func TestForecastIsLearned(t *testing.T) {
	tests := []struct {
		name string
		took time.Duration
	}{
		{"157 tokens a ms", 13 * time.Millisecond},
		{"27 tokens a ms", 74 * time.Millisecond},
		{"7 tokens a ms", 280 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			now := serve(table, 200, map[string]time.Duration{"a": test.took})
			q := Query{Service: "s", Model: "m", Prompt: routing.Prompt{TokensIn: 2000}}
			p, _ := table.Choose(&q, now)
			ratio := float64(p.Forecast.Begin) / float64(test.took)
			qt.Check(t, ratio > 0.7 && ratio < 1.4, qt.IsTrue, qt.Commentf("%v predicted", p.Forecast.Begin))
		})
	}
}

// TestSlownessEndsWithTheIncarnation guards against a new process that counts as slow because the one before was.
func TestSlownessEndsWithTheIncarnation(t *testing.T) {
	table := newTable(entry("a"))
	r := table.records["a"]
	for range 20 {
		r.slowness.Learn(4*time.Second, time.Second, start)
	}
	qt.Assert(t, r.slowRatio(start) > 3, qt.IsTrue)
	next := entry("a")
	next.Incarnation = 6
	table.Put(next, start)
	qt.Check(t, r.slowRatio(start), qt.Equals, 1.0)
}

// TestSlownessIsShared guards against a VM that takes an endpoint for sound until its own runs there were late, and against a peer that
// alone makes one slow.
func TestSlownessIsShared(t *testing.T) {
	tests := []struct {
		name    string
		own     float64
		peers   []float64
		after   time.Duration
		atLeast float64
		atMost  float64
	}{
		{"nothing known", 0, nil, 0, 1, 1},
		{"peers know it as slow", 0, []float64{4, 3.5}, 0, 3.7, 3.8},
		{"a peer that doesn't know", 0, []float64{4, 0}, 0, 4, 4},
		{"one peer among others", 1, []float64{3, 1, 1, 1}, 0, 1, 1},
		{"said too long ago", 0, []float64{4}, peerViewTTL + 1, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			if test.own > 0 {
				table.records["a"].slowness.Learn(time.Second, time.Second, start)
			}
			for i, slowness := range test.peers {
				table.ApplyPeerReports(fmt.Sprint("vm", i), []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Slowness: slowness}}, start)
			}
			got := table.records["a"].slowRatio(start.Add(test.after))
			qt.Check(t, got >= test.atLeast && got <= test.atMost, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// TestModelsThatCallersNameAreNotKept guards against a memory that fills with names that no endpoint knows, so that nothing is learned of
// the others.
func TestModelsThatCallersNameAreNotKept(t *testing.T) {
	table := newTable(entry("a"))
	for i := range 2 * maxTypical {
		q := Query{Service: "s", Model: fmt.Sprint("m", i)}
		table.Choose(&q, start)
	}
	qt.Check(t, table.models, qt.HasLen, 0)
	for i := range 2 * maxTypical {
		table.models.keep(latencyKey{"s", fmt.Sprint("m", i)})
	}
	qt.Check(t, table.models, qt.HasLen, maxTypical)
}

// TestRunOfAnotherZone guards against an endpoint of another zone that counts as idle because only this VM's runs there are known.
func TestRunOfAnotherZone(t *testing.T) {
	far := entry("a")
	far.Zone, far.Slots = "y", 16
	table := newTable(far)
	table.zoneLoads.hear("y", peer.ZoneLoad{Service: "s", EngineLoad: 6, Utilization: 0.5}, start)
	q := Query{Service: "s", Model: "m"}
	qt.Check(t, table.run(table.records["a"], &q, start), qt.Equals, engine.Run{Load: 6})
	table.records["a"].engineLoad = 7
	qt.Check(t, table.run(table.records["a"], &q, start), qt.Equals, engine.Run{Load: 7})
	plain := Query{Service: "s"}
	qt.Check(t, table.run(table.records["a"], &plain, start), qt.Equals, engine.Run{Load: 0.5})
}

// TestQueuedRuns checks when a run is taken to wait for a slot, and the events that it's expected to have.
func TestQueuedRuns(t *testing.T) {
	tests := []struct {
		name     string
		inFlight int
		want     float64
	}{
		{"free slots", 3, 0}, {"full", 4, 0.25}, {"twice full", 8, 1.25},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			table.records["a"].InFlight = test.inFlight
			q := Query{
				Service: "s", Model: "m", Prompt: routing.Prompt{LikelyTokensOut: 15, MaxTokensOut: 100},
				Config: &routing.Service{Engine: routing.Engine{TokensPerEvent: 8}},
			}
			run := table.run(table.records["a"], &q, start)
			qt.Check(t, run.Queued, qt.Equals, test.want)
			qt.Check(t, run.Events, qt.Equals, 2)
		})
	}
}

// TestForecastHasTheWay guards against a forecast for another region as if it were here.
func TestForecastHasTheWay(t *testing.T) {
	far := entry("a")
	far.Zone, far.Region = "y", "r2"
	near, _ := newTable(entry("a")).Choose(&Query{Service: "s", Model: "m", Prompt: routing.Prompt{LikelyTokensOut: 5}}, start)
	away, _ := newTable(far).Choose(&Query{Service: "s", Model: "m", Prompt: routing.Prompt{LikelyTokensOut: 5}}, start)
	qt.Check(t, away.Forecast.Begin-near.Forecast.Begin, qt.Equals, otherRegionDelay)
	qt.Check(t, away.Forecast.End-near.Forecast.End, qt.Equals, otherRegionDelay)
}

// TestDelaysOfRunsInOtherZones guards against the way to another zone that counts as slowness of its endpoints.
func TestDelaysOfRunsInOtherZones(t *testing.T) {
	far := entry("a")
	far.Zone = "y"
	table := newTable(far)
	now := serve(table, 200, map[string]time.Duration{"a": 90 * time.Millisecond})
	delay := table.delays.of(endpoint.SameRegion)
	qt.Check(t, delay < 40*time.Millisecond, qt.IsTrue, qt.Commentf("%v", delay))
	qt.Check(t, table.records["a"].slowRatio(now) < 1.3, qt.IsTrue)
}
