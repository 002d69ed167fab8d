package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/peer"
	"cornelmux/pkg/routing"
)

// TestForecastCountsWhatWaits replays prompts of 100 to 40,000 tokens that come at once: a short one is expected to begin late behind a long
// one, of this VM or of a peer, though either counts as one run.
func TestForecastCountsWhatWaits(t *testing.T) {
	tests := []struct {
		name    string
		tokens  int
		peer    time.Duration
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"nothing waits", 0, 0, 0, 100 * time.Millisecond},
		{"a short prompt", 100, 0, 0, 100 * time.Millisecond},
		{"a long prompt", 40_000, 0, time.Second, 2 * time.Second},
		{"a long prompt of a peer", 0, time.Second, time.Second, 2 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			if test.tokens > 0 {
				table.Choose(&Query{Service: "s", Model: "m", Prompt: routing.Prompt{TokensIn: test.tokens}}, start)
			}
			table.ApplyPeerReports("vm", []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, WaitingWork: test.peer}}, start)
			p, _ := table.Choose(&Query{Service: "s", Model: "m", Prompt: routing.Prompt{TokensIn: 100}}, start)
			begin := p.Forecast.Begin
			qt.Check(t, begin >= test.atLeast && begin <= test.atMost, qt.IsTrue, qt.Commentf("%v", begin))
		})
	}
}

// TestWaitingRuns checks when the prompt of a run counts as waiting: until its answer begins, it ends, or the endpoint restarts.
func TestWaitingRuns(t *testing.T) {
	next := entry("a")
	next.Incarnation = 6
	tests := []struct {
		name  string
		apply func(table *Table, p *Placement)
		want  bool
	}{
		{"placed", func(*Table, *Placement) {}, true},
		{"begun", func(table *Table, p *Placement) {
			table.Began(&Begin{Endpoint: "a", Incarnation: 5, Number: p.Number, TTFB: time.Second}, start)
		}, false},
		{"ended", func(table *Table, p *Placement) {
			table.Done(&Outcome{Endpoint: "a", Incarnation: 5, Number: p.Number, End: EndLost, Service: "s", Model: "m"}, start)
		}, false},
		{"another run begun", func(table *Table, p *Placement) {
			table.Began(&Begin{Endpoint: "a", Incarnation: 5, Number: p.Number + 1, TTFB: time.Second}, start)
		}, true},
		{"restarted", func(table *Table, _ *Placement) { table.Put(next, start) }, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			p, _ := table.Choose(&Query{Service: "s", Model: "m", Prompt: routing.Prompt{TokensIn: 2700}}, start)
			test.apply(table, &p)
			r := table.records["a"]
			qt.Check(t, r.waitingWork > 0, qt.Equals, test.want)
			qt.Check(t, len(r.waiting) > 0, qt.Equals, test.want)
		})
	}
}

// TestPeerWorkPasses guards against work of peers that counts for as long as their report, though the engine has done it since.
func TestPeerWorkPasses(t *testing.T) {
	table := newTable(entry("a"))
	for _, vm := range []string{"x", "y"} {
		table.ApplyPeerReports(vm, []peer.EndpointReport{{Endpoint: "a", Incarnation: 5, Running: 1, WaitingWork: 150 * time.Millisecond}}, start)
	}
	tests := []struct{ after, want time.Duration }{
		{0, 300 * time.Millisecond}, {200 * time.Millisecond, 100 * time.Millisecond}, {400 * time.Millisecond, 0}, {peerViewTTL + 1, 0},
	}
	for _, test := range tests {
		qt.Check(t, table.records["a"].peerWork(start.Add(test.after)), qt.Equals, test.want, qt.Commentf("%v", test.after))
	}
}
