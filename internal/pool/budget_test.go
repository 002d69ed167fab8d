package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

func TestBudget(t *testing.T) {
	limit := RetryLimit{Ratio: 0.5, Slack: 2, Window: 10 * time.Second}
	tests := []struct {
		name     string
		requests int
		repeats  int
		after    time.Duration
		allowed  bool
		spare    bool
	}{
		{"nothing was sent", 0, 0, 0, true, true},
		{"what was saved is used up", 0, 2, 0, false, false},
		{"a burst of climbs after many requests", 100, 30, time.Second, true, true},
		{"climbs leave some for failures", 100, 47, time.Second, true, false},
		{"used up", 100, 52, time.Second, false, false},
		{"used up, a moment later", 100, 52, 9 * time.Second, false, false},
		{"the window has passed", 100, 52, 11 * time.Second, true, true},
		{"requests of long ago allow nothing", 100, 0, time.Minute, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewBudget(limit)
			for range test.requests {
				b.Request(start)
			}
			for range test.repeats {
				b.Count(start)
			}
			now := start.Add(test.after)
			qt.Check(t, b.Spare(now), qt.Equals, test.spare)
			qt.Check(t, b.Repeat(now), qt.Equals, test.allowed)
		})
	}
}

// TestBudgetHoldsInEachWindow draws requests and repeats at random times and counts every window of the limit's length.
func TestBudgetHoldsInEachWindow(tt *testing.T) {
	limit := RetryLimit{Ratio: 0.7, Slack: 3, Window: 2 * time.Second}
	rapid.Check(tt, func(t *rapid.T) {
		b := NewBudget(limit)
		now := start
		var requests, repeats []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "repeat") {
				if b.Repeat(now) {
					repeats = append(repeats, now)
				}
			} else {
				b.Request(now)
				requests = append(requests, now)
			}
		}
		within := func(list []time.Time, end time.Time) (n int) {
			for _, at := range list {
				if !at.After(end) && at.After(end.Add(-limit.Window)) {
					n++
				}
			}
			return n
		}
		for _, end := range repeats {
			if got, most := within(repeats, end), limit.Slack+limit.Ratio*float64(within(requests, end)); float64(got) > most {
				t.Fatalf("%d repeats within %v before %v, allowed are %v", got, limit.Window, end, most)
			}
		}
	})
}
