package pool

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/result"
)

// TestEndpointThatAsksForAPauseGetsNoRuns guards against runs on an endpoint before the time is over for which it wants none.
func TestEndpointThatAsksForAPauseGetsNoRuns(t *testing.T) {
	pause := func(t *Table) { t.Pause("a", 5, 4*time.Second, start) }
	tests := []struct {
		name  string
		apply func(t *Table)
		after time.Duration
		want  Choice
	}{
		{"at once", pause, 0, ChoicePausing},
		{"shortly before its end", pause, 4*time.Second - 1, ChoicePausing},
		{"at its end", pause, 4 * time.Second, ChoicePlaced},
		{"earlier incarnation", func(t *Table) { t.Pause("a", 4, 4*time.Second, start) }, 0, ChoicePlaced},
		{"started anew", func(t *Table) { pause(t); t.Put(reincarnated("a", 6), start) }, 0, ChoicePlaced},
		{"listed once more", func(t *Table) { pause(t); t.Put(entry("a"), start) }, 0, ChoicePausing},
		{"deleted and listed once more", func(t *Table) { pause(t); t.Drop("a", start); t.Put(entry("a"), start) }, 0, ChoicePausing},
		{"leaving as well", func(t *Table) { pause(t); t.MarkLeaving("a", 5, start) }, 0, ChoiceNone},
		{"asked for less later", func(t *Table) { pause(t); t.Pause("a", 5, time.Second, start.Add(time.Second)) }, 3 * time.Second, ChoicePausing},
		{"asked for more later", func(t *Table) { pause(t); t.Pause("a", 5, 4*time.Second, start.Add(time.Second)) }, 4 * time.Second, ChoicePausing},
		{"asked for very long", func(t *Table) { t.Pause("a", 5, time.Hour, start) }, maxPause - 1, ChoicePausing},
		{"at the end of the longest pause", func(t *Table) { t.Pause("a", 5, time.Hour, start) }, maxPause, ChoicePlaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			test.apply(table)
			_, choice := table.Choose(&Query{Service: "s"}, start.Add(test.after))
			qt.Check(t, choice, qt.Equals, test.want)
		})
	}
}

// TestRetryAfterOfAPausingService checks the error of a run that isn't placed because its endpoints want none.
func TestRetryAfterOfAPausingService(t *testing.T) {
	tests := []struct {
		name string
		// pauses holds the pause of each endpoint; 0 asks for none.
		pauses  map[string]time.Duration
		exclude []string
		code    result.Code
		want    time.Duration
	}{
		{"the shortest", map[string]time.Duration{"a": 4 * time.Second, "b": 2 * time.Second}, nil, result.QueueFull, 2 * time.Second},
		{"one was tried before", map[string]time.Duration{"a": 2 * time.Second, "b": 4 * time.Second}, []string{"a"}, result.QueueFull, 2 * time.Second},
		{"all were tried before", map[string]time.Duration{"a": 4 * time.Second, "b": 3 * time.Second}, []string{"a", "b"}, result.QueueFull, 3 * time.Second},
		{"the other was tried before", map[string]time.Duration{"a": 4 * time.Second, "b": 0}, []string{"b"}, result.NoEndpoint, retryAfter},
		{"none pauses", map[string]time.Duration{"a": 0, "b": 0}, []string{"a", "b"}, result.NoEndpoint, retryAfter},
		{"the other is free", map[string]time.Duration{"a": 4 * time.Second, "b": 0}, nil, 0, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			withController(t, 9, []Entry{entry("a"), entry("b")}, func(t *testing.T, c *Controller) {
				for id, pause := range test.pauses {
					qt.Assert(t, c.Note(t.Context(), Notice{Endpoint: id, Incarnation: 5, Notice: endpoint.Notice{Pause: pause}}), qt.IsNil)
				}
				p, err := c.Choose(t.Context(), Query{Service: "s", Exclude: test.exclude, Retry: len(test.exclude) > 0})
				if test.code == 0 {
					qt.Assert(t, err, qt.IsNil)
					qt.Check(t, p.ID, qt.Equals, "b")
					return
				}
				qt.Check(t, result.From(err).Code, qt.Equals, test.code)
				qt.Check(t, result.From(err).RetryAfter, qt.Equals, test.want)
			})
		})
	}
}

// TestNoRunDuringAPause draws entries, deletions, ends of runs and pauses, and checks that no run is placed on an incarnation that
// wants none, and that one gets runs after the time.
func TestNoRunDuringAPause(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		table, now := newTable(), start
		ids := rapid.SampledFrom([]string{"a", "b", "c"})
		until := map[string]time.Time{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond)
			e := reincarnated(ids.Draw(t, "id"), rapid.Int64Range(5, 6).Draw(t, "incarnation"))
			switch rapid.IntRange(0, 5).Draw(t, "action") {
			case 0, 1:
				table.Put(e, now)
			case 2:
				table.Drop(e.ID, now)
			case 3:
				pause := time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond
				r, known := table.records[e.ID]
				table.Pause(e.ID, e.Incarnation, pause, now)
				if key := fmt.Sprint(e.ID, e.Incarnation); known && r.Incarnation == e.Incarnation && now.Add(pause).After(until[key]) {
					until[key] = now.Add(pause)
				}
			default:
				p, choice := table.Choose(&Query{Service: "s"}, now)
				if choice == ChoicePlaced && now.Before(until[fmt.Sprint(p.ID, p.Incarnation)]) {
					t.Fatalf("a run on %s of incarnation %d, which wants none", p.ID, p.Incarnation)
				}
				if choice == ChoicePlaced && rapid.Bool().Draw(t, "ends") {
					table.Done(&Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, End: EndAnswered, Service: "s"}, now)
				}
				if choice == ChoicePausing && table.pauseLeft(&Query{Service: "s"}, now) <= 0 {
					t.Fatal("the end of the pause isn't known")
				}
			}
		}
	})
}

// TestPausesAreLoggedNowAndThen guards against a line for each refusal.
func TestPausesAreLoggedNowAndThen(t *testing.T) {
	table := newTable(entry("a"))
	tests := []struct {
		after time.Duration
		want  bool
	}{{0, true}, {time.Second, false}, {pauseLogInterval - 1, false}, {pauseLogInterval, true}, {pauseLogInterval + 1, false}}
	for _, test := range tests {
		qt.Check(t, table.Pause("a", 5, time.Second, start.Add(test.after)), qt.Equals, test.want, qt.Commentf("%v", test.after))
	}
	qt.Check(t, table.Pause("unknown", 5, time.Second, start), qt.IsFalse)
}
