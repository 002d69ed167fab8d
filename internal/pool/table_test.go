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

// entry returns an entry in the zone of the VM.
func entry(id string) Entry {
	return Entry{ID: id, Service: "s", Address: "127.0.0.1:1", Zone: "z", Region: "r", Version: "v1", Incarnation: 5, Slots: 4}
}

// newTable returns the table of a VM in zone z of region r with the entries.
func newTable(entries ...Entry) *Table {
	t := NewTable(endpoint.Location{Region: "r", Zone: "z"})
	for _, e := range entries {
		t.Put(e, start)
	}
	return t
}

// TestChoose checks which of the entries a run is placed on.
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
		{"another region if there is no nearer one", []Entry{far}, Query{Service: "s"}, "far"},
		{"not if leaving", []Entry{leaving}, Query{Service: "s"}, ""},
		{"not if tried before", []Entry{entry("a")}, Query{Service: "s", Exclude: []string{"a"}}, ""},
		{"only the requested version", []Entry{entry("a"), next}, Query{Service: "s", Version: "v2"}, "next"},
		{"not an excluded version", []Entry{next}, Query{Service: "s", ExcludedVersions: []string{"v2"}}, ""},
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

// TestDropWhileDirectoryIsDown guards against losing all endpoints when their entries lapse during an outage of the
// directory.
func TestDropWhileDirectoryIsDown(t *testing.T) {
	tests := []struct {
		name     string
		down     bool
		upAfter  time.Duration
		wait     time.Duration
		relisted bool
		want     Choice
	}{
		{"dropped while the directory is readable", false, 0, 0, false, ChoiceNone},
		{"dropped during the outage", true, 0, 10 * time.Second, false, ChoicePlaced},
		{"soon after the outage", true, time.Second, time.Second, false, ChoicePlaced},
		{"after the relist timeout", true, time.Second, 3 * time.Second, false, ChoiceNone},
		{"relisted", true, time.Second, 3 * time.Second, true, ChoicePlaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			now := start
			if test.down {
				table.SetReachable(true, now)
				table.SetReachable(false, now)
			}
			table.Drop("a", now)
			if test.upAfter > 0 {
				now = now.Add(test.upAfter)
				table.SetReachable(true, now)
			}
			if test.relisted {
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
	table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndLost, Service: "s", Fingerprints: endpoint.Fingerprints{Path: 77}}, start)
	again := entry("a")
	again.Incarnation = 6
	qt.Assert(t, table.Put(again, start.Add(time.Second)), qt.DeepEquals, []Crash{{endpoint.Fingerprints{Path: 77}, "a#5"}})
}

// TestCrashProofs loses a run and checks what proves that the endpoint crashed. Whole requests were refused that had merely been
// in mid-stream at endpoints that others crashed, and crashes went unnoticed where an endpoint came back under a new ID.
func TestCrashProofs(t *testing.T) {
	type step struct {
		after   time.Duration
		outcome End // 0 means that the entry is dropped
		events  int
	}
	crash := []Crash{{endpoint.Fingerprints{Path: 77}, "a#5"}}
	tests := []struct {
		name  string
		steps []step
		want  []Crash
	}{
		{"dropped", []step{{0, 0, 0}}, nil},
		{"lost, then dropped", []step{{0, EndLost, 0}, {3 * time.Second, 0, 0}}, crash},
		{"lost with the event of its beginning, then dropped", []step{{0, EndLost, 1}, {3 * time.Second, 0, 0}}, crash},
		{"lost in mid-stream, then dropped", []step{{0, EndLost, 2}, {3 * time.Second, 0, 0}}, nil},
		{"lost, then dropped long after", []step{{0, EndLost, 0}, {dropProofTime, 0, 0}}, nil},
		{"lost, later run answered, then dropped", []step{{0, EndLost, 0}, {time.Second, EndAnswered, 5}, {3 * time.Second, 0, 0}}, nil},
		{"lost, then unreachable", []step{{0, EndLost, 0}, {time.Second, EndUnreachable, 0}}, crash},
		{"lost in mid-stream, then unreachable", []step{{0, EndLost, 2}, {time.Second, EndUnreachable, 0}}, nil},
		{"silent, then dropped", []step{{0, EndTimeout, 0}, {time.Second, 0, 0}}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			var crashes []Crash
			for _, s := range test.steps {
				now := start.Add(s.after)
				if s.outcome == 0 {
					crashes = append(crashes, table.Drop("a", now)...)
					continue
				}
				_, _ = table.Choose(&Query{Service: "s"}, now)
				o := Outcome{Endpoint: "a", Incarnation: 5, End: s.outcome, Service: "s", Fingerprints: endpoint.Fingerprints{Path: 77}, Events: s.events, SentAt: now}
				crashes = append(crashes, table.Done(&o, now)...)
			}
			qt.Assert(t, crashes, qt.DeepEquals, test.want)
		})
	}
}

// TestBackoffAfterFailures ends a run at the nearer of two endpoints and checks whether the next run avoids it, and
// returns after the backoff.
func TestBackoffAfterFailures(t *testing.T) {
	ends := []struct {
		end     End
		backoff bool
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
			p, _ := table.Choose(&Query{Service: "s"}, start.Add(refusalTTL+time.Millisecond))
			qt.Check(t, p.ID == "far", qt.Equals, test.backoff)
			p, _ = table.Choose(&Query{Service: "s"}, start.Add(firstBackoff+time.Millisecond))
			qt.Check(t, p.ID == "near", qt.Equals, true)
		})
	}
}

// TestEndpointIsUsedAgainSoonAfterAPause ends runs of the nearer of two endpoints by silence at about the same time, and checks that
// it's chosen again after the backoff of one failure.
func TestEndpointIsUsedAgainSoonAfterAPause(t *testing.T) {
	tests := []struct {
		name string
		runs int
		// apart is the time between two ends.
		apart time.Duration
		wait  time.Duration
		want  string
	}{
		{"one run, during the backoff", 1, 0, firstBackoff / 2, "far"},
		{"one run", 1, 0, firstBackoff, "near"},
		{"all at once, during the backoff", 16, 0, firstBackoff / 2, "far"},
		{"all at once", 16, 0, firstBackoff, "near"},
		{"within the backoff", 16, 20 * time.Millisecond, firstBackoff, "near"},
		{"again after the backoff", 2, firstBackoff, firstBackoff, "far"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			near, far := entry("near"), entry("far")
			far.Zone, far.Region = "z2", "r2"
			table := newTable(near, far)
			now := start
			for range test.runs {
				_, _ = table.Choose(&Query{Service: "s"}, start)
			}
			for n := range test.runs {
				now = start.Add(time.Duration(n) * test.apart)
				table.Done(&Outcome{Endpoint: "near", Incarnation: 5, End: EndTimeout, Service: "s"}, now)
			}
			p, _ := table.Choose(&Query{Service: "s"}, now.Add(test.wait))
			qt.Check(t, p.ID, qt.Equals, test.want)
		})
	}
}

// TestPlacementPrefersCachedPrompt checks that requests with the same prompt go to the endpoint that processed it
// before.
func TestPlacementPrefersCachedPrompt(t *testing.T) {
	table := newTable(entry("a"), entry("b"), entry("c"))
	prompt := routing.Prompt{TokensIn: 9000, Blocks: []routing.PrefixBlock{{ID: 1, Tokens: 2500}, {ID: 2, Tokens: 3800}, {ID: 3, Tokens: 2700}}}
	q := Query{Service: "s", Model: "m", Prompt: prompt}
	first, _ := table.Choose(&q, start)
	table.Done(&Outcome{Endpoint: first.ID, Incarnation: 5, Number: first.Number, End: EndAnswered, Service: "s", Model: "m", Prompt: prompt}, start)
	for range 5 {
		p, _ := table.Choose(&q, start)
		qt.Check(t, p.ID, qt.Equals, first.ID)
		table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, Number: p.Number, End: EndAnswered, Service: "s", Model: "m", Prompt: prompt}, start)
	}
}

// TestChosenEndpointIsEligible applies random events and checks that no endpoint is chosen that is leaving, replaced or
// was tried, and that the runs in flight are counted exactly.
func TestChosenEndpointIsEligible(tt *testing.T) {
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

// TestPlacementSaysPrefillTime checks that only the part of the prompt that isn't cached counts.
func TestPlacementSaysPrefillTime(t *testing.T) {
	prompt := routing.Prompt{TokensIn: 2 * 27_000, Blocks: []routing.PrefixBlock{{ID: 1, Tokens: 27_000}, {ID: 2, Tokens: 27_000}}}
	tests := []struct {
		name  string
		model string
		want  time.Duration
	}{
		{"model that knows nothing of it", "m", 2 * time.Second},
		{"model that has the first block cached", "cached", time.Second},
		{"plain service", "", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			q := Query{Service: "s", Model: "cached", Prompt: prompt}
			p, _ := table.Choose(&q, start)
			table.Done(&Outcome{Endpoint: p.ID, Incarnation: 5, End: EndAnswered, Service: "s", Model: q.Model, Prompt: prompt, TTFB: time.Second}, start)
			q.Model = test.model
			if test.model == "" {
				q.Prompt = routing.Prompt{}
			}
			p, _ = table.Choose(&q, start)
			qt.Check(t, p.PrefillTime, qt.Equals, test.want)
		})
	}
}

// TestRelistedEndpointIsUsedAgain guards against losing an endpoint for good whose entry lapses, as when it can't reach the
// directory for a while, and comes back unchanged.
func TestRelistedEndpointIsUsedAgain(t *testing.T) {
	tests := []struct {
		name     string
		inFlight bool
		// ended says that the run in flight ends before the entry is back.
		ended bool
	}{
		{"idle", false, false},
		{"with a run in flight", true, false},
		{"with a run that ends meanwhile", true, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			if test.inFlight {
				_, choice := table.Choose(&Query{Service: "s"}, start)
				qt.Assert(t, choice, qt.Equals, ChoicePlaced)
			}
			table.Drop("a", start)
			if test.ended {
				table.Done(&Outcome{Endpoint: "a", Incarnation: 5, End: EndAnswered, Service: "s"}, start)
			}
			_, choice := table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, choice, qt.Equals, ChoiceNone)
			table.Put(entry("a"), start)
			table.Retain([]string{"a"}, start)
			_, choice = table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, choice, qt.Equals, ChoicePlaced)
		})
	}
}

// TestEndpointIsUsedAgainOnceItsEntryIsSound withdraws an endpoint whose entry another writer has overwritten: it gets no run
// until its entry is sound again, whatever runs it has and whether or not the directory can be read.
func TestEndpointIsUsedAgainOnceItsEntryIsSound(t *testing.T) {
	leaving := entry("a")
	leaving.Leaving = true
	restarted := entry("a")
	restarted.Incarnation = 6
	tests := []struct {
		name     string
		inFlight bool
		down     bool
		before   Entry
		after    Entry
		want     Choice
	}{
		{"idle", false, false, entry("a"), entry("a"), ChoicePlaced},
		{"with a run in flight", true, false, entry("a"), entry("a"), ChoicePlaced},
		{"during an outage of the directory", false, true, entry("a"), entry("a"), ChoicePlaced},
		{"during an outage, with a run in flight", true, true, entry("a"), entry("a"), ChoicePlaced},
		{"restarted", true, false, entry("a"), restarted, ChoicePlaced},
		{"that was leaving", false, false, leaving, entry("a"), ChoiceNone},
		{"that is leaving", true, false, entry("a"), leaving, ChoiceNone},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(entry("a"))
			if test.inFlight {
				_, choice := table.Choose(&Query{Service: "s"}, start)
				qt.Assert(t, choice, qt.Equals, ChoicePlaced)
			}
			table.Put(test.before, start)
			table.SetReachable(true, start)
			table.SetReachable(!test.down, start)
			table.Withdraw("a")
			table.Sweep(start)
			_, choice := table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, choice, qt.Equals, ChoiceNone)
			qt.Check(t, table.Versions("s"), qt.HasLen, 0)
			table.Put(test.after, start)
			table.Retain([]string{"a"}, start)
			_, choice = table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, choice, qt.Equals, test.want)
		})
	}
}
