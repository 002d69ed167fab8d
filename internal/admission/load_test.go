package admission

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// start is when the simulated time of the tests begins.
var start = time.Unix(1_800_000_000, 0)

// stream is what one kind of request of one account, or of each of several, sends.
type stream struct {
	kind     string
	accounts int
	urgency  int
	// rate is in requests a second of each account, between from and to.
	rate                float64
	from, to            time.Duration
	objective, deadline time.Duration
}

// pattern is a load in simulated time. drain is how many requests a second find room.
type pattern struct {
	streams []stream
	drain   func(at time.Duration) float64
	// returns says that each refused request comes back once, after its Retry-After.
	returns bool
	length  time.Duration
}

// tally counts how the requests of a kind ended; held counts those that waited for over a quarter of their objective and were refused.
type tally struct{ asked, inTime, late, refused, held int }

// arrival is a request that comes.
type arrival struct {
	at    time.Time
	s     stream
	name  string
	first time.Time
	again bool
}

const step = 5 * time.Millisecond

// play plays a pattern. The requests of the queue are the kinds' names.
func (p pattern) play() map[string]*tally {
	type value struct {
		arrival
		t *tally
	}
	q := NewQueue[value](Limits{Length: 512, Wait: time.Minute})
	out := map[string]*tally{}
	due := map[int]float64{}
	var back []arrival
	credit, seed := 0.0, 0.0
	refuse := func(v value, after time.Duration, now time.Time) {
		if p.returns && !v.again {
			seed += 0.37
			v.again, v.at = true, now.Add(Spread(after, seed-float64(int(seed))))
			back = append(back, v.arrival)
			return
		}
		v.t.refused++
		if now.Sub(v.at) > v.s.objective/4 {
			v.t.held++
		}
	}
	for at := time.Duration(0); at < p.length; at += step {
		now := start.Add(at)
		var come []arrival
		for i, s := range p.streams {
			if at < s.from || at >= s.to {
				continue
			}
			for due[i] += s.rate * float64(s.accounts) * step.Seconds(); due[i] >= 1; due[i]-- {
				n := out[s.kind].count()
				come = append(come, arrival{at: now, s: s, name: fmt.Sprint(s.kind, n%s.accounts), first: now})
				if out[s.kind] == nil {
					out[s.kind] = &tally{}
				}
				out[s.kind].asked++
			}
		}
		for i := 0; i < len(back); i++ {
			if !back[i].at.After(now) {
				come = append(come, back[i])
				back = append(back[:i], back[i+1:]...)
				i--
			}
		}
		for _, a := range come {
			v := value{a, out[a.s.kind]}
			r := Request{Account: a.name, Urgency: a.s.urgency, Objective: a.first.Add(a.s.objective), Deadline: a.first.Add(a.s.deadline), Begin: 50 * time.Millisecond}
			dropped, refusal := q.Push(r, v, now)
			if refusal != nil {
				refuse(v, refusal.RetryAfter, now)
			}
			if dropped != nil {
				refuse(dropped.Value, 0, now)
			}
		}
		for _, w := range q.Expire(now) {
			refuse(w.Value, 0, now)
		}
		for credit += p.drain(at) * step.Seconds(); credit >= 1; credit-- {
			w := q.Next(now, nil)
			if w == nil {
				credit = 0
				break
			}
			q.Sent(w, now)
			if !now.Add(w.Begin).After(w.Objective) {
				w.Value.t.inTime++
			} else {
				w.Value.t.late++
			}
		}
	}
	return out
}

func (t *tally) count() int {
	if t == nil {
		return 0
	}
	return t.asked
}

func steady(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// TestLoads plays the loads that admission answers, and checks what callers get. It guards against a burst that makes everybody late,
// an account that pushes others aside, and requests that are held long and then refused. Each kind is an account of its own; in bursts
// the less urgent ones share what the urgent leave, 70 requests a second.
func TestLoads(t *testing.T) {
	const whole = 30 * time.Second
	usual := func(kind string, urgency int, rate float64) stream {
		return stream{kind: kind, accounts: 1, urgency: urgency, rate: rate, to: whole, objective: time.Second, deadline: 6 * time.Second}
	}
	burst := func(s stream, kind string, times float64) stream {
		s.kind, s.rate, s.from, s.to = kind, s.rate*times, 5*time.Second, 13*time.Second
		return s
	}
	brief := func(s stream) stream {
		s.deadline = 2 * time.Second
		return s
	}
	// want holds the least shares, 0 to 1, of a kind's requests that are answered in time and at all, and the most that are held and refused.
	type want struct {
		kind                 string
		inTime, served, held float64
	}
	tests := []struct {
		name string
		p    pattern
		want []want
	}{
		{
			"calm",
			pattern{[]stream{usual("urgent", 0, 30), usual("other", 1, 60)}, steady(100), false, whole},
			[]want{{"urgent", 1, 1, 0}, {"other", 1, 1, 0}},
		},
		{
			"a burst of three times the room",
			pattern{
				[]stream{usual("urgent", 0, 30), usual("other", 1, 50), burst(usual("", 1, 220), "burst", 1)}, steady(100), false, whole,
			},
			[]want{{"urgent", 1, 1, 0}, {"other", 0.8, 0.85, 0.02}, {"burst", 0.1, 0.14, 0.02}},
		},
		{
			"a burst of three times the room of callers with little time",
			pattern{
				[]stream{usual("urgent", 0, 30), brief(usual("other", 1, 50)), burst(brief(usual("", 1, 220)), "burst", 1)}, steady(100), false, whole,
			},
			[]want{{"urgent", 1, 1, 0}, {"other", 0.8, 0.8, 0.02}, {"burst", 0.13, 0.16, 0.02}},
		},
		{
			"a burst of the most urgent kind itself",
			pattern{
				[]stream{usual("urgent", 0, 30), usual("other", 1, 50), burst(usual("", 0, 30), "more", 5)}, steady(100), false, whole,
			},
			[]want{{"urgent", 0.75, 1, 0}, {"more", 0.4, 0.5, 0.02}, {"other", 0.6, 0.6, 0.1}},
		},
		{
			"one account at eight times its usual beside 23 others",
			pattern{
				[]stream{
					{kind: "others", accounts: 23, urgency: 1, rate: 4, to: whole, objective: time.Second, deadline: 6 * time.Second},
					{kind: "greedy", accounts: 1, urgency: 1, rate: 32, to: whole, objective: time.Second, deadline: 6 * time.Second},
				}, steady(105), false, whole,
			},
			[]want{{"others", 1, 1, 0}, {"greedy", 0.35, 0.35, 0.05}},
		},
		{
			"room that shrinks by a third",
			pattern{
				[]stream{usual("urgent", 0, 30), usual("other", 1, 60)},
				func(at time.Duration) float64 {
					if at > 5*time.Second && at < 15*time.Second {
						return 67
					}
					return 100
				}, false, whole,
			},
			[]want{{"urgent", 1, 1, 0}, {"other", 0.65, 0.9, 0.02}},
		},
		{
			"four in ten endpoints at a quarter of their speed",
			pattern{
				[]stream{usual("urgent", 0, 30), usual("other", 1, 60)}, steady(100 * (0.6 + 0.4/4)), false, whole,
			},
			[]want{{"urgent", 1, 1, 0}, {"other", 0.55, 0.65, 0.05}},
		},
		{
			"all callers back at once after a refusal",
			pattern{
				[]stream{brief(usual("urgent", 0, 30)), brief(usual("other", 1, 50)), burst(brief(usual("", 1, 400)), "burst", 1)}, steady(100), true, whole,
			},
			[]want{{"urgent", 1, 1, 0}, {"other", 0.7, 0.75, 0.05}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := test.p.play()
			for _, w := range test.want {
				g := got[w.kind]
				asked := float64(g.asked)
				comment := qt.Commentf("%s: %+v", w.kind, *g)
				qt.Check(t, float64(g.inTime)/asked >= w.inTime-0.005, qt.IsTrue, comment)
				qt.Check(t, float64(g.inTime+g.late)/asked >= w.served-0.005, qt.IsTrue, comment)
				qt.Check(t, float64(g.held)/asked <= w.held, qt.IsTrue, comment)
			}
		})
	}
}
