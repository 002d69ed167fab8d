package endpoint

import (
	"errors"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/internal/consul"
	"cornelmux/internal/peer"
)

var (
	testHere    = Location{Region: "vest", Zone: "vest-1"}
	testPlaces  = []Location{testHere, {"vest", "vest-2"}, {"ost", "ost-1"}}
	testVersion = Query{Model: "m", Version: "v1"}
	errTimeout  = errors.New("timeout")
)

// fact is what a test knows of an endpoint apart from the table.
type fact struct {
	place       Location
	incarnation uint64
	leaving     bool
	// listed is the platform's word of a leaving whose incarnation it doesn't name.
	listed   bool
	suspect  bool
	provedAt time.Time
}

func (f *fact) renew(incarnation uint64) {
	if incarnation > f.incarnation {
		f.incarnation, f.leaving, f.listed = incarnation, false, false
	}
}

type tableMachine struct {
	table *Table
	now   time.Time
	facts map[string]*fact
	ids   []string
}

func newTableMachine(n int) *tableMachine {
	m := &tableMachine{table: NewTable(testHere), now: time.Unix(1_000_000, 0), facts: map[string]*fact{}}
	var list []consul.Instance
	for i := range n {
		id, place := fmt.Sprintf("e%d", i), testPlaces[i%len(testPlaces)]
		m.ids = append(m.ids, id)
		m.facts[id] = &fact{place: place}
		list = append(list, instance(id, place, 0, false))
	}
	m.table.ApplyList(list, m.now)
	return m
}

func instance(id string, at Location, incarnation uint64, leaving bool) consul.Instance {
	return consul.Instance{ID: id, Address: "127.0.0.1", Port: 1, Meta: map[string]string{
		"region": at.Region, "zone": at.Zone, metaIncarnation: fmt.Sprint(incarnation), "leaving": fmt.Sprint(leaving),
	}}
}

// step does one random event to both the table and the facts.
func (m *tableMachine) step(t *rapid.T) {
	id := rapid.SampledFrom(m.ids).Draw(t, "endpoint")
	f := m.facts[id]
	leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	// An event may bring word of the incarnation before or after the newest known one.
	incarnation := uint64(max(0, int(f.incarnation)+rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "incarnation")))
	switch rapid.SampledFrom([]string{"answer", "answer", "error", "hear", "fail", "list", "time"}).Draw(t, "event") {
	case "answer":
		m.table.ApplyReport(id, Report{Incarnation: incarnation, Leaving: leaving, Versions: []string{"m/v1"}}, nil, m.now)
		if incarnation < f.incarnation {
			f.suspect = true
			return
		}
		f.renew(incarnation)
		f.suspect, f.leaving, f.provedAt = false, f.leaving || leaving, m.now
	case "error":
		m.table.ApplyReport(id, Report{}, errTimeout, m.now)
		f.suspect = true
	case "hear":
		age := time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
		m.table.Hear(peer.EndpointReport{Endpoint: id, Incarnation: incarnation, Leaving: leaving, Age: age, Versions: []string{"m/v1"}}, m.now)
		if incarnation >= f.incarnation {
			f.renew(incarnation)
			f.leaving = f.leaving || leaving
			f.provedAt = later(f.provedAt, m.now.Add(-age))
		}
	case "fail":
		m.table.Done(Outcome{Endpoint: id, Incarnation: f.incarnation, Failed: true}, m.now)
		f.suspect = true
	case "list":
		m.table.ApplyList([]consul.Instance{instance(id, f.place, incarnation, leaving)}, m.now)
		if incarnation == 0 || incarnation >= f.incarnation {
			f.renew(incarnation)
			f.listed = leaving
			f.leaving = f.leaving || (leaving && incarnation == f.incarnation)
		}
	case "time":
		m.now = m.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (m *tableMachine) usable(f *fact) bool {
	return !f.leaving && !f.listed && !f.suspect && m.now.Sub(f.provedAt) <= 3*time.Second
}

// check places one run and compares it with the facts.
func (m *tableMachine) check(t *rapid.T) {
	q := testVersion
	q.CrossRegion = rapid.Bool().Draw(t, "cross_region")
	q.Exclude = []string{rapid.SampledFrom(m.ids).Draw(t, "excluded")}
	if rapid.Bool().Draw(t, "affine") {
		q.Affinity = "parish session s1"
	}
	e, choice := m.table.Choose(q, m.now, rapid.Uint64().Draw(t, "r1"), rapid.Uint64().Draw(t, "r2"))
	if choice != ChoicePlaced {
		return
	}
	f := m.facts[e.ID]
	if !m.usable(f) || e.ID == q.Exclude[0] {
		t.Fatalf("endpoint %s was chosen: %+v at %v", e.ID, *f, m.now)
	}
	if f.place.Region == testHere.Region {
		return
	}
	if !q.CrossRegion {
		t.Fatalf("endpoint %s is in another region, which the query doesn't pay for", e.ID)
	}
	for id, other := range m.facts {
		if other.place.Region == testHere.Region && id != q.Exclude[0] && m.usable(other) && len(m.table.records[id].Versions) > 0 {
			t.Fatalf("endpoint %s is in another region though %s is usable", e.ID, id)
		}
	}
}

func TestPlacementKeepsToItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newTableMachine(rapid.IntRange(1, 7).Draw(t, "endpoints"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m.step(t)
			m.check(t)
		}
	})
}

func TestLeavingIsStickyForAnIncarnation(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	leaving := Report{Incarnation: 5, Leaving: true, Versions: []string{"m/v1"}}
	staying := Report{Incarnation: 5, Versions: []string{"m/v1"}}
	next := Report{Incarnation: 6, Versions: []string{"m/v1"}}
	rows := []struct {
		name   string
		events func(t *Table)
		want   Choice
	}{
		{"own signal", func(t *Table) { t.ApplyReport("e1", leaving, nil, at) }, ChoiceNone},
		{"later report without it", func(t *Table) { t.ApplyReport("e1", leaving, nil, at); t.ApplyReport("e1", staying, nil, at) }, ChoiceNone},
		{"stale list without it", func(t *Table) {
			t.ApplyReport("e1", leaving, nil, at)
			t.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
		}, ChoiceNone},
		{"next incarnation", func(t *Table) { t.ApplyReport("e1", leaving, nil, at); t.ApplyReport("e1", next, nil, at) }, ChoicePlaced},
		{"next incarnation, list of the former one", func(t *Table) {
			t.ApplyReport("e1", next, nil, at)
			t.ApplyList([]consul.Instance{instance("e1", testHere, 5, true)}, at)
		}, ChoicePlaced},
		{"missing in the list but answering", func(t *Table) { t.ApplyReport("e1", staying, nil, at); t.ApplyList(nil, at) }, ChoicePlaced},
		{"report too old", func(t *Table) { t.ApplyReport("e1", staying, nil, at.Add(-4*time.Second)) }, ChoiceUnproved},
		{"peer's word", func(t *Table) {
			t.ApplyReport("e1", staying, nil, at)
			t.Hear(peer.EndpointReport{Endpoint: "e1", Incarnation: 5, Leaving: true}, at)
		}, ChoiceNone},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(testHere)
			table.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
			row.events(table)
			_, choice := table.Choose(testVersion, at, 1, 2)
			c.Assert(choice, qt.Equals, row.want)
		})
	}
}

func TestCrashesAreProvedByWhatFollows(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	rows := []struct {
		name   string
		lost   bool
		report Report
		err    error
		want   int
	}{
		{"new incarnation", true, Report{Incarnation: 6}, nil, 1},
		{"nothing listens", true, Report{}, fmt.Errorf("%w: refused", ErrDown), 1},
		{"same incarnation", true, Report{Incarnation: 5}, nil, 0},
		{"out of reach", true, Report{}, errTimeout, 0},
		{"no connection lost", false, Report{Incarnation: 6}, nil, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(testHere)
			table.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
			o := Outcome{Endpoint: "e1", Incarnation: 5, Failed: true, ConnectionLost: row.lost, Fingerprint: 9}
			c.Assert(table.Done(o, at), qt.HasLen, 0)
			c.Assert(table.ApplyReport("e1", row.report, row.err, at), qt.HasLen, row.want)
			c.Assert(table.ApplyReport("e1", row.report, row.err, at), qt.HasLen, 0)
		})
	}
}
