package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"cornelmux/internal/warmup"
	"cornelmux/pkg/routing"
)

// coldService is a service whose endpoints start cold; without slack and overage, they get 4 runs a second of all VMs.
var coldService = &routing.Service{Name: "s", ColdTime: 3 * time.Second, ColdRate: 4}

// listedLongAgo is when the VMs of the zone of coldTable were listed.
var listedLongAgo = start.Add(-time.Minute)

// coldTable returns the table of VM a, alone in its availability zone, which has listed the entries at its first full scan. It may place
// 2 runs at a cold endpoint of its zone in each warmup.Window.
func coldTable(entries ...Entry) *Table {
	t := newTable(entries...)
	t.cold.ColdOptions = ColdOptions{"a", warmup.Tolerance{Overage: 1}}
	t.SetMembers([]string{"a"}, listedLongAgo)
	var ids []string
	for _, e := range entries {
		ids = append(ids, e.ID)
	}
	t.Retain(ids, start)
	return t
}

// coldEntry returns an entry that says that the endpoint is cold.
func coldEntry(id string, coldFor time.Duration) Entry {
	e := entry(id)
	e.ColdFor = coldFor
	return e
}

// placeRuns places runs until there is no endpoint left, at most 20, and returns how many each endpoint got, and the last choice.
func placeRuns(t *Table, q Query, now time.Time) (map[string]int, Choice) {
	got := map[string]int{}
	for range 20 {
		p, choice := t.Choose(&q, now)
		if choice != ChoicePlaced {
			return got, choice
		}
		got[p.ID]++
	}
	return got, ChoicePlaced
}

// TestColdEndpointGetsItsShare guards against more runs at a cold endpoint than this VM's share, whatever made it cold, and against an
// endpoint that is held back without need. Runs are placed once at the beginning of coldness and once a warmup.Window later.
func TestColdEndpointGetsItsShare(t *testing.T) {
	at := func(d time.Duration) time.Time { return start.Add(d) }
	type counts struct{ first, second int }
	const all = 20
	warm := &routing.Service{Name: "s", ColdTime: 3 * time.Second}
	tests := []struct {
		name    string
		service *routing.Service
		apply   func(t *Table)
		want    counts
	}{
		{"listed as warm at the first scan", coldService, func(*Table) {}, counts{all, all}},
		{"its entry says that it is cold", coldService, func(t *Table) { t.Put(coldEntry("e", 3*time.Second), start) }, counts{0, 2}},
		{"cold for a short time", coldService, func(t *Table) { t.Put(coldEntry("e", time.Second), start) }, counts{0, all}},
		{"started anew", coldService, func(t *Table) { t.Put(reincarnated("e", 6), start) }, counts{0, 2}},
		{"started anew, warm by its next entry", coldService, func(t *Table) { t.Put(reincarnated("e", 6), start); t.Put(reincarnated("e", 6), start) }, counts{all, all}},
		{"removed and back", coldService, func(t *Table) { t.Drop("e", start); t.Put(entry("e"), start) }, counts{all, all}},
		{"removed and back, started anew", coldService, func(t *Table) { t.Drop("e", start); t.Put(reincarnated("e", 6), start) }, counts{0, 2}},
		{"its zone was evacuated", coldService, func(t *Table) { t.SetEvacuated("z", true, start); t.SetEvacuated("z", false, start) }, counts{0, 2}},
		{"another zone was evacuated", coldService, func(t *Table) { t.SetEvacuated("y", true, start); t.SetEvacuated("y", false, start) }, counts{all, all}},
		{"not reached", coldService, func(t *Table) {
			t.Done(&Outcome{Endpoint: "e", Incarnation: 5, End: EndUnreachable}, start)
			t.records["e"].backoffs = 0
		}, counts{0, 2}},
		{"a service without a rate", warm, func(t *Table) { t.Put(coldEntry("e", 3*time.Second), start) }, counts{all, all}},
		{"no configuration of the service", nil, func(t *Table) { t.Put(coldEntry("e", 3*time.Second), start) }, counts{all, all}},
		{"no bound in the settings", coldService, func(t *Table) { t.cold.Tolerance = warmup.Tolerance{}; t.Put(coldEntry("e", 3*time.Second), start) }, counts{all, all}},
		{"this VM has just joined", coldService, func(t *Table) {
			t.SetMembers(nil, start)
			t.SetMembers([]string{"a"}, start)
			t.Put(coldEntry("e", 3*time.Second), start)
		}, counts{0, 0}},
		{"this VM isn't listed", coldService, func(t *Table) { t.SetMembers([]string{"b"}, start); t.Put(coldEntry("e", 3*time.Second), start) }, counts{0, 0}},
		{"another VM shares", coldService, func(t *Table) { t.SetMembers([]string{"a", "b"}, start); t.Put(coldEntry("e", 3*time.Second), start) }, counts{0, 1}},
		{"the VM is of another zone", coldService, func(t *Table) { t.location.Zone = "y"; t.Put(coldEntry("e", 3*time.Second), start) }, counts{0, 0}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := coldTable(entry("e"))
			test.apply(table)
			q := Query{Service: "s", Config: test.service}
			first, _ := placeRuns(table, q, start)
			second, _ := placeRuns(table, q, at(warmup.Window))
			qt.Check(t, counts{first["e"], second["e"]}, qt.Equals, test.want)
		})
	}
}

// TestNoRunWaitsForColdEndpoints guards against a run that finds cold endpoints only and isn't refused at once with a time after which
// it may come again, and against a cold endpoint that is preferred to a warm one far away.
func TestNoRunWaitsForColdEndpoints(t *testing.T) {
	far := entry("far")
	far.Zone, far.Region = "z2", "r2"
	coldFar := far
	coldFar.ColdFor = 3 * time.Second
	tests := []struct {
		name    string
		entries []Entry
		query   Query
		now     time.Duration
		want    map[string]int
		choice  Choice
		wait    time.Duration
	}{
		{"a warm one far away", []Entry{coldEntry("e", 3*time.Second), far}, Query{}, 0, map[string]int{"far": 20}, ChoicePlaced, 0},
		{"a warm one far away, until it is loaded", []Entry{coldEntry("e", 3*time.Second), far}, Query{}, warmup.Window, map[string]int{"e": 2, "far": 18}, ChoicePlaced, 0},
		{"no share yet", []Entry{coldEntry("e", 3*time.Second), coldFar}, Query{}, 0, map[string]int{}, ChoiceCold, warmup.Window},
		{"the share is used up", []Entry{coldEntry("e", 3*time.Second)}, Query{}, warmup.Window, map[string]int{"e": 2}, ChoiceCold, 3*time.Second - warmup.Window},
		{"cold endpoints of another zone only", []Entry{coldFar}, Query{}, time.Second, map[string]int{}, ChoiceCold, 2 * time.Second},
		{"the warm one was tried", []Entry{coldEntry("e", 3*time.Second), far}, Query{Exclude: []string{"far"}}, 0, map[string]int{}, ChoiceNone, 0},
		{"warm by now", []Entry{coldEntry("e", 3*time.Second)}, Query{}, 3 * time.Second, map[string]int{"e": 20}, ChoicePlaced, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := coldTable(test.entries...)
			q, now := test.query, start.Add(test.now)
			q.Service, q.Config = "s", coldService
			for _, r := range table.records {
				table.coldRunsLeft(r, coldService, start)
			}
			got, choice := placeRuns(table, q, now)
			qt.Check(t, got, qt.DeepEquals, test.want)
			qt.Check(t, choice, qt.Equals, test.choice)
			if choice == ChoiceCold {
				qt.Check(t, table.coldWait(&q, now), qt.Equals, test.wait)
			}
		})
	}
}

// TestShareOfARunThatWasNotSent guards against a share that is lost with a run of which nothing was sent, and against one that comes
// back though the run may have been sent.
func TestShareOfARunThatWasNotSent(t *testing.T) {
	tests := []struct {
		name string
		end  End
		want int
	}{
		{"unused", EndUnused, 1},
		{"refused", EndRefused, 0},
		{"abandoned", EndAbandoned, 0},
		{"answered", EndAnswered, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := coldTable(coldEntry("e", time.Minute))
			table.SetMembers([]string{"a", "b"}, start)
			q := Query{Service: "s", Config: coldService}
			placeRuns(table, q, start)
			now := start.Add(warmup.Window)
			p, choice := table.Choose(&q, now)
			qt.Assert(t, choice, qt.Equals, ChoicePlaced)
			qt.Check(t, p.SendBy, qt.Equals, now.Add(warmup.PlaceDelay))
			table.Done(&Outcome{Endpoint: "e", Incarnation: 5, End: test.end, SendBy: p.SendBy}, now)
			got, _ := placeRuns(table, q, now)
			qt.Check(t, got["e"], qt.Equals, test.want)
		})
	}
}

// TestZoneComesBackTogether guards against more runs at an endpoint than the bound if the 24 endpoints of an availability zone return at
// the same moment, and the VMs of all zones place runs there as fast as they can.
func TestZoneComesBackTogether(t *testing.T) {
	const endpoints, zoneVMs, otherVMs = 24, 14, 28
	tolerance := warmup.Tolerance{Overage: 1.5, Slack: 5}
	service := &routing.Service{Name: "s", ColdTime: 3 * time.Second, ColdRate: 9.1}
	var names []string
	for i := range zoneVMs {
		names = append(names, fmt.Sprint("vm", i))
	}
	placed := map[string][]time.Time{}
	for vm := range zoneVMs + otherVMs {
		table := newTable()
		table.cold.ColdOptions = ColdOptions{fmt.Sprint("vm", vm), tolerance}
		table.SetMembers(names, listedLongAgo)
		if vm >= zoneVMs {
			table.location.Zone = "y"
		}
		table.Retain(nil, start)
		for i := range endpoints {
			table.Put(coldEntry(fmt.Sprint("e", i), service.ColdTime), start)
		}
		for ms := 0; ms < 3000; ms += 50 {
			now := start.Add(time.Duration(ms) * time.Millisecond)
			for {
				p, choice := table.Choose(&Query{Service: "s", Config: service}, now)
				if choice != ChoicePlaced {
					break
				}
				placed[p.ID] = append(placed[p.ID], now)
			}
		}
	}
	qt.Check(t, placed, qt.HasLen, endpoints)
	for id, times := range placed {
		slices.SortFunc(times, time.Time.Compare)
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) > time.Second {
				first++
			}
			qt.Assert(t, i-first+1 <= tolerance.Bound(service.ColdRate), qt.IsTrue, qt.Commentf("%s got more within a second", id))
		}
	}
}
