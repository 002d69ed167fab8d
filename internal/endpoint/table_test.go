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
	testHere      = Location{Region: "vest", Zone: "vest-1"}
	testLocations = []Location{testHere, {"vest", "vest-2"}, {"ost", "ost-1"}}
	testVersion   = Query{Model: "m", Version: "v1"}
	errTimeout    = errors.New("timeout")
)

// endpointModel is the expected state of an endpoint, tracked independently of the table.
type endpointModel struct {
	location    Location
	incarnation uint64
	leaving     bool
	// leavingListed says that the platform lists the endpoint as leaving, whatever its incarnation.
	leavingListed bool
	suspect       bool
	reportedAt    time.Time
}

func (e *endpointModel) startIncarnation(incarnation uint64) {
	if incarnation > e.incarnation {
		e.incarnation, e.leaving, e.leavingListed = incarnation, false, false
	}
}

// tableTest applies the same random events to a Table and to the models.
type tableTest struct {
	table  *Table
	now    time.Time
	models map[string]*endpointModel
	ids    []string
}

// newTableTest lists n endpoints, spread over the test locations.
func newTableTest(n int) *tableTest {
	tt := &tableTest{table: NewTable(testHere), now: time.Unix(1_000_000, 0), models: map[string]*endpointModel{}}
	var list []consul.Instance
	for i := range n {
		id, location := fmt.Sprintf("e%d", i), testLocations[i%len(testLocations)]
		tt.ids = append(tt.ids, id)
		tt.models[id] = &endpointModel{location: location}
		list = append(list, instance(id, location, 0, false))
	}
	tt.table.ApplyList(list, tt.now)
	return tt
}

// instance returns an entry of the platform's list.
func instance(id string, location Location, incarnation uint64, leaving bool) consul.Instance {
	return consul.Instance{ID: id, Address: "127.0.0.1", Port: 1, Meta: map[string]string{
		"region": location.Region, "zone": location.Zone, metaIncarnation: fmt.Sprint(incarnation), "leaving": fmt.Sprint(leaving),
	}}
}

// step applies one random event to the table and to the model.
func (tt *tableTest) step(t *rapid.T) {
	id := rapid.SampledFrom(tt.ids).Draw(t, "endpoint")
	model := tt.models[id]
	leaving := rapid.IntRange(0, 5).Draw(t, "leaving") == 0
	// An event may be of the incarnation before or after the newest known one.
	incarnation := uint64(max(0, int(model.incarnation)+rapid.SampledFrom([]int{0, 0, 0, 1, -1}).Draw(t, "incarnation")))
	switch rapid.SampledFrom([]string{"report", "report", "error", "peer report", "fail", "list", "time"}).Draw(t, "event") {
	case "report":
		tt.table.ApplyReport(id, Report{Incarnation: incarnation, Leaving: leaving, Versions: []string{"m/v1"}}, nil, tt.now)
		if incarnation < model.incarnation {
			model.suspect = true
			return
		}
		model.startIncarnation(incarnation)
		model.suspect, model.leaving, model.reportedAt = false, model.leaving || leaving, tt.now
	case "error":
		tt.table.ApplyReport(id, Report{}, errTimeout, tt.now)
		model.suspect = true
	case "peer report":
		age := time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Second
		tt.table.ApplyPeerReport(peer.EndpointReport{Endpoint: id, Incarnation: incarnation, Leaving: leaving, Age: age, Versions: []string{"m/v1"}}, tt.now)
		if incarnation >= model.incarnation {
			model.startIncarnation(incarnation)
			model.leaving = model.leaving || leaving
			model.reportedAt = later(model.reportedAt, tt.now.Add(-age))
		}
	case "fail":
		tt.table.Done(Outcome{Endpoint: id, Incarnation: model.incarnation, Failed: true}, tt.now)
		model.suspect = true
	case "list":
		tt.table.ApplyList([]consul.Instance{instance(id, model.location, incarnation, leaving)}, tt.now)
		if incarnation == 0 || incarnation >= model.incarnation {
			model.startIncarnation(incarnation)
			model.leavingListed = leaving
			model.leaving = model.leaving || (leaving && incarnation == model.incarnation)
		}
	case "time":
		tt.now = tt.now.Add(time.Duration(rapid.IntRange(0, 4000).Draw(t, "ms")) * time.Millisecond)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

// usable reports whether a run may be placed on the endpoint by its model.
func (tt *tableTest) usable(model *endpointModel) bool {
	return !model.leaving && !model.leavingListed && !model.suspect && tt.now.Sub(model.reportedAt) <= 3*time.Second
}

// check places one run and compares the choice with the models.
func (tt *tableTest) check(t *rapid.T) {
	q := testVersion
	q.CrossRegion = rapid.Bool().Draw(t, "cross_region")
	q.Exclude = []string{rapid.SampledFrom(tt.ids).Draw(t, "excluded")}
	if rapid.Bool().Draw(t, "affine") {
		q.Affinity = "parish session s1"
	}
	e, choice := tt.table.Choose(q, tt.now, rapid.Uint64().Draw(t, "r1"), rapid.Uint64().Draw(t, "r2"))
	if choice != ChoicePlaced {
		return
	}
	model := tt.models[e.ID]
	if !tt.usable(model) || e.ID == q.Exclude[0] {
		t.Fatalf("endpoint %s was chosen: %+v at %v", e.ID, *model, tt.now)
	}
	if model.location.Region == testHere.Region {
		return
	}
	if !q.CrossRegion {
		t.Fatalf("endpoint %s is in another region, which the query does not allow", e.ID)
	}
	for id, other := range tt.models {
		if other.location.Region == testHere.Region && id != q.Exclude[0] && tt.usable(other) && len(tt.table.records[id].Versions) > 0 {
			t.Fatalf("endpoint %s is in another region though %s is usable", e.ID, id)
		}
	}
}

// TestPlacementRules checks after random events that a chosen endpoint is usable and not excluded, and that it is in
// another region only if the query allows that and its own region has none.
func TestPlacementRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tt := newTableTest(rapid.IntRange(1, 7).Draw(t, "endpoints"))
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			tt.step(t)
			tt.check(t)
		}
	})
}

// TestLeavingIsStickyForAnIncarnation guards against runs on an endpoint that said it is leaving, because of an older
// or delayed message.
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
		{"reported by the endpoint", func(t *Table) { t.ApplyReport("e1", leaving, nil, at) }, ChoiceNone},
		{"later report without it", func(t *Table) { t.ApplyReport("e1", leaving, nil, at); t.ApplyReport("e1", staying, nil, at) }, ChoiceNone},
		{"stale list without it", func(t *Table) {
			t.ApplyReport("e1", leaving, nil, at)
			t.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
		}, ChoiceNone},
		{"next incarnation", func(t *Table) { t.ApplyReport("e1", leaving, nil, at); t.ApplyReport("e1", next, nil, at) }, ChoicePlaced},
		{"next incarnation, stale list of the former one", func(t *Table) {
			t.ApplyReport("e1", next, nil, at)
			t.ApplyList([]consul.Instance{instance("e1", testHere, 5, true)}, at)
		}, ChoicePlaced},
		{"not listed but answering", func(t *Table) { t.ApplyReport("e1", staying, nil, at); t.ApplyList(nil, at) }, ChoicePlaced},
		{"report too old", func(t *Table) { t.ApplyReport("e1", staying, nil, at.Add(-4*time.Second)) }, ChoiceUnavailable},
		{"reported by a peer", func(t *Table) {
			t.ApplyReport("e1", staying, nil, at)
			t.ApplyPeerReport(peer.EndpointReport{Endpoint: "e1", Incarnation: 5, Leaving: true}, at)
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

// TestCrashesAreProvenByNextReport loses a run and checks which poll results count as a crash, and that each counts
// once.
func TestCrashesAreProvenByNextReport(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	rows := []struct {
		name   string
		lost   bool
		report Report
		err    error
		want   int
	}{
		{"new incarnation", true, Report{Incarnation: 6}, nil, 1},
		{"connection refused", true, Report{}, fmt.Errorf("%w: refused", ErrConnectionRefused), 1},
		{"same incarnation", true, Report{Incarnation: 5}, nil, 0},
		{"timeout", true, Report{}, errTimeout, 0},
		{"connection not lost", false, Report{Incarnation: 6}, nil, 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(testHere)
			table.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
			o := Outcome{Endpoint: "e1", Incarnation: 5, Failed: true, ConnectionLost: row.lost, Fingerprints: Fingerprints{Path: 9}}
			c.Assert(table.Done(o, at), qt.HasLen, 0)
			c.Assert(table.ApplyReport("e1", row.report, row.err, at), qt.HasLen, row.want)
			c.Assert(table.ApplyReport("e1", row.report, row.err, at), qt.HasLen, 0)
		})
	}
}

// TestLateReportKeepsLostRuns guards against a crash that isn't counted, because the answer to a poll from before the run was
// lost came after that.
func TestLateReportKeepsLostRuns(t *testing.T) {
	at := time.Unix(1_000_000, 0)
	rows := []struct {
		name     string
		polledAt time.Time
		want     int
	}{
		{"polled before the loss", at.Add(-time.Millisecond), 1},
		{"polled in the same instant", at, 1},
		{"polled after the loss", at.Add(time.Millisecond), 0},
	}
	for _, row := range rows {
		qt.New(t).Run(row.name, func(c *qt.C) {
			table := NewTable(testHere)
			table.ApplyList([]consul.Instance{instance("e1", testHere, 5, false)}, at)
			o := Outcome{Endpoint: "e1", Incarnation: 5, Failed: true, ConnectionLost: true, Fingerprints: Fingerprints{Path: 9}}
			c.Assert(table.Done(o, at), qt.HasLen, 0)
			table.records["e1"].polledAt = row.polledAt
			c.Assert(table.ApplyReport("e1", Report{Incarnation: 5}, nil, at.Add(time.Second)), qt.HasLen, 0)
			table.records["e1"].polledAt = at.Add(2 * time.Second)
			c.Assert(table.ApplyReport("e1", Report{Incarnation: 6}, nil, at.Add(3*time.Second)), qt.HasLen, row.want)
		})
	}
}
