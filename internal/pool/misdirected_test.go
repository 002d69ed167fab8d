package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// TestMisdirectedRunTakesNoEndpointOutOfUseForGood checks how long an endpoint that didn't take runs gets none while there is another.
// A run whose like no endpoint of the service answered must not keep it from any, and none for good.
func TestMisdirectedRunTakesNoEndpointOutOfUseForGood(t *testing.T) {
	moved := entry("a")
	moved.Address = "127.0.0.1:2"
	restarted := entry("a")
	restarted.Incarnation = 6
	tests := []struct {
		name  string
		model string
		end   End
		// runs ended so, one after the other; put is the entry after them, if it isn't empty.
		runs int
		put  Entry
		// wait is how long the endpoint gets no run; -1 is as long as its entry stays.
		wait time.Duration
	}{
		{"a model that none has", "unknown", EndMisdirected, 9, Entry{}, 0},
		{"a model that the service has", "m", EndMisdirected, 1, Entry{}, firstBackoff},
		{"a model that the service has, again", "m", EndMisdirected, 2, Entry{}, 2 * firstBackoff},
		{"a model that the service has, very often", "m", EndMisdirected, 30, Entry{}, maxBackoff},
		{"another endpoint is proved", "m", EndReplaced, 1, Entry{}, -1},
		{"another endpoint is proved for an unknown model", "unknown", EndReplaced, 1, Entry{}, -1},
		{"another endpoint is proved, and the entry stays", "m", EndReplaced, 1, entry("a"), -1},
		{"another endpoint is proved, and the endpoint moves", "m", EndReplaced, 1, moved, 0},
		{"another endpoint is proved, and the endpoint restarts", "m", EndReplaced, 1, restarted, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table, now := newTable(entry("a"), entry("b")), start
			done := func(id, model string, end End) {
				table.records[id].InFlight++
				table.Done(&Outcome{Endpoint: id, Incarnation: 5, End: end, Service: "s", Model: model, TTFB: time.Millisecond}, now)
			}
			done("b", "m", EndAnswered)
			for range test.runs {
				now = now.Add(maxBackoff)
				done("a", test.model, test.end)
			}
			if test.put.ID != "" {
				table.Put(test.put, now)
			}
			r := table.records["a"]
			qt.Check(t, r.acceptsRuns(), qt.Equals, test.wait >= 0)
			qt.Check(t, r.available(now.Add(max(test.wait, 0))), qt.IsTrue)
			qt.Check(t, test.wait <= 0 || !r.available(now.Add(test.wait-1)), qt.IsTrue)
			_, choice := table.Choose(&Query{Service: "s", Exclude: []string{"b"}}, now)
			qt.Check(t, choice == ChoicePlaced, qt.Equals, test.wait >= 0) // without another it is used at once
		})
	}
}
