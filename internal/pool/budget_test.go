package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// TestBudget counts requests and retries at one time and checks what the budget allows later.
func TestBudget(t *testing.T) {
	limit := RetryLimit{Ratio: 0.5, Slack: 2, Window: 10 * time.Second}
	tests := []struct {
		name       string
		requests   int
		retries    int
		after      time.Duration
		allowed    bool
		escalation bool
	}{
		{"empty", 0, 0, 0, true, true},
		{"slack used up", 0, 2, 0, false, false},
		{"burst of escalations after many requests", 100, 30, time.Second, true, true},
		{"escalations leave some for failures", 100, 47, time.Second, true, false},
		{"used up", 100, 52, time.Second, false, false},
		{"used up, within the window", 100, 52, 9 * time.Second, false, false},
		{"used up, after the window", 100, 52, 11 * time.Second, true, true},
		{"requests before the window allow nothing", 100, 0, time.Minute, true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			b := NewRetryBudget(limit)
			for range test.requests {
				b.CountRequest(start)
			}
			for range test.retries {
				b.CountRetry(start)
			}
			now := start.Add(test.after)
			qt.Check(t, b.AllowsEscalation(now), qt.Equals, test.escalation)
			qt.Check(t, b.TakeRetry(now), qt.Equals, test.allowed)
		})
	}
}

// TestBudgetHoldsInEachWindow draws requests and retries at random times and checks every window that ends with a
// retry.
func TestBudgetHoldsInEachWindow(tt *testing.T) {
	limit := RetryLimit{Ratio: 0.7, Slack: 3, Window: 2 * time.Second}
	rapid.Check(tt, func(t *rapid.T) {
		b := NewRetryBudget(limit)
		now := start
		var requests, retries []time.Time
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "pause")) * time.Millisecond)
			if rapid.Bool().Draw(t, "retry") {
				if b.TakeRetry(now) {
					retries = append(retries, now)
				}
			} else {
				b.CountRequest(now)
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
		for _, end := range retries {
			if got, most := within(retries, end), limit.Slack+limit.Ratio*float64(within(requests, end)); float64(got) > most {
				t.Fatalf("%d retries in the %v before %v, want at most %v", got, limit.Window, end, most)
			}
		}
	})
}

// TestReturnedRetries draws retries of which some are taken back, and checks that no window has more sent than it may.
func TestReturnedRetries(tt *testing.T) {
	limit := RetryLimit{Slack: 4, Window: 2 * time.Second}
	rapid.Check(tt, func(t *rapid.T) {
		b, now := NewRetryBudget(limit), start
		var sent []time.Time
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * time.Millisecond)
			if !b.TakeRetry(now) {
				continue
			}
			if rapid.Bool().Draw(t, "returned") {
				b.ReturnRetry(now.Add(time.Millisecond))
				continue
			}
			sent = append(sent, now)
			n := 0
			for _, at := range sent {
				if now.Sub(at) < limit.Window {
					n++
				}
			}
			if n > int(limit.Slack) {
				t.Fatalf("%d retries in a window", n)
			}
		}
	})
}
