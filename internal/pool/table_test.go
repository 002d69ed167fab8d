package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

var start = time.Unix(1_800_000_000, 0)

func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z", Region: "r", Version: "v1", Incarnation: 5, Slots: 4}
}

func newTable(entries ...Entry) *Table {
	t := NewTable(endpoint.Location{Region: "r", Zone: "z"})
	for _, e := range entries {
		t.Put(e, start)
	}
	return t
}

func TestChoose(t *testing.T) {
	far := entry("far")
	far.Zone, far.Region = "z2", "r2"
	leaving := entry("leaving")
	leaving.Leaving = true
	next := entry("next")
	next.Version = "v2"
	tests := []struct {
		name    string
		entries []Entry
		query   Query
		want    string
	}{
		{"nearest", []Entry{far, entry("near")}, Query{Service: "s"}, "near"},
		{"another region where the zone has none", []Entry{far}, Query{Service: "s"}, "far"},
		{"never one that is leaving", []Entry{leaving}, Query{Service: "s"}, ""},
		{"never one that was tried", []Entry{entry("a")}, Query{Service: "s", Exclude: []string{"a"}}, ""},
		{"only the version", []Entry{entry("a"), next}, Query{Service: "s", Version: "v2"}, "next"},
		{"never a barred version", []Entry{next}, Query{Service: "s", ExcludedVersions: []string{"v2"}}, ""},
		{"another service", []Entry{entry("a")}, Query{Service: "other"}, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			p, choice := newTable(test.entries...).Choose(&test.query, start)
			qt.Check(t, p.ID, qt.Equals, test.want)
			qt.Check(t, choice == ChoicePlaced, qt.Equals, test.want != "")
		})
	}
}

func TestDropWhileDirectoryIsAway(t *testing.T) {
	tests := []struct {
		name    string
		away    bool
		back    time.Duration
		wait    time.Duration
		returns bool
		want    Choice
	}{
		{"a drop counts at once", false, 0, 0, false, ChoiceNone},
		{"a lapse while away is doubted", true, 0, 10 * time.Second, false, ChoicePlaced},
		{"and soon after the return", true, time.Second, time.Second, false, ChoicePlaced},
		{"it counts later", true, time.Second, 3 * time.Second, false, ChoiceNone},
		{"an entry that is back stays", true, time.Second, 3 * time.Second, true, ChoicePlaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			now := start
			if test.away {
				table.Reach(true, now)
				table.Reach(false, now)
			}
			table.Drop("a", now)
			if test.back > 0 {
				now = now.Add(test.back)
				table.Reach(true, now)
			}
			if test.returns {
				table.Put(entry("a"), now)
			}
			now = now.Add(test.wait)
			table.Sweep(now)
			_, choice := table.Choose(&Query{Service: "s"}, now)
			qt.Assert(t, choice, qt.Equals, test.want)
		})
	}
}

func TestEarlierIncarnationIsIgnored(t *testing.T) {
	table := newTable(entry("a"))
	late := entry("a")
	late.Incarnation, late.Address = 4, "127.0.0.1:9"
	table.Put(late, start)
	p, _ := table.Choose(&Query{Service: "s"}, start)
	qt.Assert(t, p.Address, qt.Equals, "127.0.0.1:1")
}

func TestNewIncarnationProvesCrash(t *testing.T) {
	table := newTable(entry("a"))
	_, _ = table.Choose(&Query{Service: "s"}, start)
	table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndLost, Service: "s", Fingerprint: 77}, start)
	again := entry("a")
	again.Incarnation = 6
	qt.Assert(t, table.Put(again, start.Add(time.Second)), qt.DeepEquals, []Crash{{77, "a"}})
}

func TestPauseAfterFailures(t *testing.T) {
	ends := []struct {
		end    End
		paused bool
	}{
		{EndAnswered, false},
		{EndFailed, false},
		{EndAbandoned, false},
		{EndRefused, false},
		{EndLost, true},
		{EndTimeout, true},
		{EndUnreachable, true},
	}
	for _, test := range ends {
		t.Run(test.end.String(), func(t *testing.T) {
			near, far := entry("near"), entry("far")
			far.Zone, far.Region = "z2", "r2"
			table := newTable(near, far)
			_, _ = table.Choose(&Query{Service: "s"}, start)
			table.Done(&Outcome{Endpoint: "near", Incarnation: 5, End: test.end, Service: "s"}, start)
			p, _ := table.Choose(&Query{Service: "s"}, start.Add(refusedFor+time.Millisecond))
			qt.Check(t, p.ID == "far", qt.Equals, test.paused)
			p, _ = table.Choose(&Query{Service: "s"}, start.Add(firstPause+time.Millisecond))
			qt.Check(t, p.ID == "near", qt.Equals, true)
		})
	}
}

func TestRequestsMeetWhereTheirPromptIsHeld(t *testing.T) {
	table := newTable(entry("a"), entry("b"), entry("c"))
	prompt := routing.Prompt{TokensIn: 9000, Blocks: []routing.PrefixBlock{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3800}, {ID: 3, Tokens: 2700}}}
	q := Query{Service: "s", Model: "m", Prompt: prompt}
	first, _ := table.Choose(&q, start)
	table.Done(&Outcome{Endpoint: first.ID, Incarnation: 5, End: EndAnswered, Service: "s", Model: "m", Prompt: prompt}, start)
	for range 5 {
		p, _ := table.Choose(&q, start)
		qt.Check(t, p.ID, qt.Equals, first.ID)
		table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, End: EndAnswered, Service: "s", Model: "m", Prompt: prompt}, start)
	}
}

// TestChosenIsAllowed drives a table at random: what is leaving, replaced, tried or barred is never chosen, and runs in
// flight are counted exactly.
func TestChosenIsAllowed(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		c := qt.New(tt)
		table := newTable()
		now := start
		ids := []string{"a", "b", "c"}
		gone := map[string]bool{}
		inFlight := map[string]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond)
			id := rapid.SampledFrom(ids).Draw(t, "id")
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				table.Put(entry(id), now)
			case 1:
				e := entry(id)
				e.Leaving = true
				table.Put(e, now)
				gone[id] = true
			case 2:
				q := Query{Service: "s", Exclude: []string{rapid.SampledFrom(ids).Draw(t, "tried")}}
				if p, choice := table.Choose(&q, now); choice == ChoicePlaced {
					c.Assert(gone[p.ID], qt.IsFalse)
					c.Assert(p.ID, qt.Not(qt.Equals), q.Exclude[0])
					inFlight[p.ID]++
				}
			case 3:
				if inFlight[id] > 0 {
					inFlight[id]--
					end := End(rapid.IntRange(int(EndAnswered), int(EndAbandoned)).Draw(t, "end"))
					table.Done(&Outcome{Endpoint: id, Incarnation: 5, End: end, Service: "s"}, now)
					gone[id] = gone[id] || end == EndReplaced
				}
			case 4:
				table.Sweep(now)
			}
			for id, r := range table.records {
				c.Assert(r.InFlight, qt.Equals, inFlight[id])
			}
		}
	})
}
