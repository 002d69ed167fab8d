package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// wide bounds a queue so far that no bound counts.
var wide = Limits{Length: 1000, Wait: time.Hour}

// after returns the time so many milliseconds after start.
func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// request returns one of an account that has an objective and a deadline so many milliseconds after start.
func request(account string, urgency, objective, deadline int) Request {
	return Request{Account: account, Urgency: urgency, Objective: after(objective), Deadline: after(deadline)}
}

// sendAll returns the values in the order in which they leave at the time.
func sendAll(q *Queue[string], now time.Time) (out []string) {
	for w := q.Next(now, nil); w != nil; w = q.Next(now, nil) {
		q.Sent(w, now)
		out = append(out, w.Value)
	}
	return out
}

// TestOrder checks each part of the order by itself.
func TestOrder(t *testing.T) {
	again := request("a", 1, 900, 6000)
	again.Again = true
	slow := request("a", 1, 1000, 6000)
	slow.Begin = 500 * time.Millisecond
	tests := []struct {
		name string
		// list comes in this order, with its indices as values; all leave at so many milliseconds.
		list []Request
		at   int
		want []string
	}{
		{"urgent first, also if it is late", []Request{request("a", 1, 1000, 6000), request("b", 0, 10, 6000)}, 20, []string{"1", "0"}},
		{"refused by an endpoint before new ones", []Request{request("a", 1, 800, 6000), again}, 20, []string{"1", "0"}},
		{"no urgency overtaken by what was refused", []Request{again, request("b", 0, 800, 6000)}, 20, []string{"1", "0"}},
		{"in time before late", []Request{request("a", 1, 10, 6000), request("a", 1, 1000, 6000)}, 20, []string{"1", "0"}},
		{"least time to spare first", []Request{request("a", 1, 1000, 6000), request("a", 1, 500, 6000)}, 20, []string{"1", "0"}},
		{"time to spare less the usual time to begin", []Request{request("a", 1, 900, 6000), slow}, 20, []string{"1", "0"}},
		{"late ones by their deadlines", []Request{request("a", 1, 10, 6000), request("a", 1, 10, 5000)}, 20, []string{"1", "0"}},
		{"last chance of a late one", []Request{request("a", 1, 9000, 9500), request("a", 1, 1000, 6000)}, 5600, []string{"1", "0"}},
		{"last chance doesn't overtake another account", []Request{
			request("a", 1, 9000, 9500), request("b", 1, 9000, 9500), request("a", 1, 1000, 6000), request("a", 1, 1000, 6000),
		}, 5600, []string{"2", "1", "3", "0"}},
		{"accounts take turns", []Request{
			request("a", 1, 500, 6000), request("a", 1, 500, 6000), request("a", 1, 500, 6000), request("b", 1, 900, 6000), request("c", 1, 900, 6000),
		}, 20, []string{"0", "3", "4", "1", "2"}},
		{"no objective: by deadline", []Request{{Account: "a", Deadline: after(900)}, {Account: "a", Deadline: after(500)}}, 20, []string{"1", "0"}},
		{"nothing known: as they came", []Request{{Account: "a"}, {Account: "a"}}, 20, []string{"0", "1"}},
		{"an urgency that is no urgency buys no place", []Request{request("a", 0, 500, 6000), request("a", -7, 600, 6000)}, 20, []string{"0", "1"}},
		{"an urgency beyond all is the least", []Request{request("a", 1000, 500, 6000), request("a", 9, 400, 6000)}, 20, []string{"1", "0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := NewQueue[string](wide)
			for i, r := range test.list {
				dropped, refusal := q.Push(r, fmt.Sprint(i), start)
				qt.Assert(t, dropped, qt.IsNil)
				qt.Assert(t, refusal, qt.IsNil)
			}
			qt.Check(t, sendAll(q, after(test.at)), qt.DeepEquals, test.want)
		})
	}
}

// TestFullQueue guards against an account, or less urgent work, that takes all places of a queue.
func TestFullQueue(t *testing.T) {
	tests := []struct {
		name string
		list []Request
		// dropped is the index of the request that leaves when the last one comes to a queue for three; if it is the last one, it is refused.
		dropped int
	}{
		{"the least urgent", []Request{request("a", 0, 900, 6000), request("a", 2, 900, 6000), request("a", 1, 900, 6000), request("a", 1, 900, 6000)}, 1},
		{"the account with the most", []Request{request("a", 1, 900, 6000), request("a", 1, 900, 6000), request("b", 1, 900, 6000), request("c", 1, 900, 6000)}, 1},
		{"the newest", []Request{request("a", 1, 900, 6000), request("b", 1, 900, 6000), request("c", 1, 900, 6000), request("d", 1, 900, 6000)}, 3},
		{"the new one of a greedy account", []Request{request("a", 1, 900, 6000), request("a", 1, 900, 6000), request("b", 1, 900, 6000), request("a", 1, 100, 6000)}, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := NewQueue[string](Limits{Length: 3, Wait: time.Hour})
			got := -1
			for i, r := range test.list {
				dropped, refusal := q.Push(r, fmt.Sprint(i), start)
				if dropped != nil {
					_, err := fmt.Sscan(dropped.Value, &got)
					qt.Assert(t, err, qt.IsNil)
				}
				if refusal != nil {
					qt.Check(t, refusal.Reason, qt.Equals, ReasonLength)
					got = i
				}
			}
			qt.Check(t, got, qt.Equals, test.dropped)
			qt.Check(t, q.Len(), qt.Equals, 3)
		})
	}
}

// TestExpire checks what leaves without being sent. It guards against a VM that was paused and sends what nobody waits for any more.
func TestExpire(t *testing.T) {
	slow := request("a", 1, 500, 1000)
	slow.Begin = 300 * time.Millisecond
	tests := []struct {
		name    string
		r       Request
		at      int
		expired bool
	}{
		{"late, but in time for its caller", request("a", 1, 500, 1000), 900, false},
		{"past its deadline", request("a", 1, 500, 1000), 1000, true},
		{"can't begin before its deadline", slow, 700, true},
		{"may begin before it", slow, 699, false},
		{"no deadline", Request{Account: "a"}, 1900, false},
		{"no deadline, waited for too long", Request{Account: "a"}, 2000, true},
		{"waited for too long", request("a", 1, 500, 60000), 2000, true},
		{"paused for an hour", request("a", 0, 500, 5000), 3_600_000, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := NewQueue[string](Limits{Length: 9, Wait: 2 * time.Second})
			_, refusal := q.Push(test.r, "x", start)
			qt.Assert(t, refusal, qt.IsNil)
			qt.Check(t, len(q.Expire(after(test.at))) == 1, qt.Equals, test.expired)
			qt.Check(t, q.Len() == 0, qt.Equals, test.expired)
		})
	}
}

// TestNothingIsLost draws requests, ends and callers that leave, and checks that each request has one end, that the bounds hold and that
// no more urgent one is left behind.
func TestNothingIsLost(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := NewQueue[int](Limits{Length: 8, Wait: 2 * time.Second})
		now, next, ended := start, 0, map[int]int{}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"push", "push", "push", "sent", "left", "expire"}).Draw(t, "step") {
			case "push":
				r := Request{
					Account: rapid.SampledFrom([]string{"", "a", "b"}).Draw(t, "account"), Urgency: rapid.IntRange(-1, 11).Draw(t, "urgency"),
					Again: rapid.Bool().Draw(t, "again"), Begin: time.Duration(rapid.IntRange(0, 300).Draw(t, "begin")) * time.Millisecond,
				}
				if rapid.Bool().Draw(t, "has an objective") {
					r.Objective = now.Add(time.Duration(rapid.IntRange(-100, 1000).Draw(t, "objective")) * time.Millisecond)
				}
				if rapid.Bool().Draw(t, "has a deadline") {
					r.Deadline = now.Add(time.Duration(rapid.IntRange(-100, 3000).Draw(t, "deadline")) * time.Millisecond)
				}
				dropped, refusal := q.Push(r, next, now)
				if refusal != nil {
					ended[next]++
				}
				if dropped != nil {
					ended[dropped.Value]++
				}
				next++
			case "sent":
				if w := q.Next(now, nil); w != nil {
					q.Sent(w, now)
					ended[w.Value]++
					if q.Len() > 0 && w.Urgency > q.Next(now, nil).Urgency {
						t.Fatalf("%+v left before a more urgent one", w.Request)
					}
				}
			case "left":
				for _, w := range q.Filter(func(w *Waiter[int]) bool { return w.Value%3 == 0 }) {
					ended[w.Value]++
				}
			case "expire":
				for _, w := range q.Expire(now) {
					ended[w.Value]++
				}
			}
			if q.Len() > 8 || len(ended)+q.Len() != next {
				t.Fatalf("%d wait and %d of %d ended", q.Len(), len(ended), next)
			}
		}
		for n, times := range ended {
			if times != 1 {
				t.Fatalf("request %d ended %d times", n, times)
			}
		}
	})
}

// TestRefusals checks what is refused at once, and when it may come back.
func TestRefusals(t *testing.T) {
	const rate = 10 // requests a second leave, for a second before the request comes
	tests := []struct {
		name string
		// waiting requests are left, of the account and urgency.
		waiting int
		account string
		urgency int
		r       Request
		// after is the least Retry-After; 0 if the request waits.
		after time.Duration
	}{
		{"nothing waits", 0, "b", 1, request("a", 1, 2000, 7000), 0},
		{"a short wait", 10, "a", 1, request("a", 1, 2000, 7000), 0},
		{"longer than the time left", 80, "a", 1, request("a", 1, 2000, 7000), 7 * time.Second},
		{"less urgent ones don't count", 80, "a", 2, request("a", 1, 2000, 7000), 0},
		{"of another account only as many", 80, "b", 1, request("a", 1, 2000, 7000), 0},
		{"more urgent ones of another account count", 80, "b", 0, request("a", 1, 2000, 7000), 7 * time.Second},
		{"no deadline", 80, "a", 1, Request{Account: "a", Urgency: 1}, 0},
		{"the deadline has passed", 0, "b", 1, request("a", 1, 500, 1000), minRetryAfter},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := NewQueue[string](wide)
			for range test.waiting + rate {
				_, refusal := q.Push(Request{Account: test.account, Urgency: test.urgency}, "x", start)
				qt.Assert(t, refusal, qt.IsNil)
			}
			for i := range rate {
				now := after(100 * (i + 1))
				q.Sent(q.Next(now, nil), now)
			}
			_, refusal := q.Push(test.r, "new", after(1000))
			if test.after == 0 {
				qt.Check(t, refusal, qt.IsNil)
				return
			}
			qt.Assert(t, refusal, qt.IsNotNil)
			qt.Check(t, refusal.Reason, qt.Equals, ReasonDeadline)
			qt.Check(t, Spread(refusal.RetryAfter, 0) >= test.after, qt.IsTrue, qt.Commentf("%v", refusal.RetryAfter))
		})
	}
}

// TestSpread guards against callers that were refused together and come back together.
func TestSpread(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		after := time.Duration(rapid.IntRange(0, 20000).Draw(t, "after")) * time.Millisecond
		at := rapid.Float64Range(0, 1).Draw(t, "random")
		least := max(after, minRetryAfter)
		if got := Spread(after, at); got < least || got > least+least/2 {
			t.Fatalf("%v becomes %v", after, got)
		}
		if Spread(after, 1)-Spread(after, 0) < minRetryAfter/2-time.Nanosecond {
			t.Fatalf("%v isn't spread", after)
		}
	})
}

// BenchmarkQueue measures what a request costs that waits, by how many others do.
func BenchmarkQueue(b *testing.B) {
	for _, size := range []int{1, 64, 512} {
		b.Run(fmt.Sprintf("%d wait", size), func(b *testing.B) {
			q := NewQueue[int](Limits{Length: 512, Wait: time.Hour})
			now := start
			push := func(n int) {
				r := Request{Account: fmt.Sprint("a", n%24), Urgency: n % 3, Objective: now.Add(time.Second), Deadline: now.Add(time.Hour)}
				q.Push(r, n, now)
			}
			for n := range size - 1 {
				push(n)
			}
			for n := 0; b.Loop(); n++ {
				now = now.Add(10 * time.Millisecond)
				push(n)
				if w := q.Next(now, nil); w != nil {
					q.Sent(w, now)
				}
			}
		})
	}
}
