package pool

import (
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/go-logr/logr"
)

// inZone returns an entry of an endpoint in the zone.
func inZone(id, zone, region string) Entry {
	e := entry(id)
	e.Zone, e.Region = zone, region
	return e
}

// TestEvacuatedZoneGetsNoRuns guards against runs in an availability zone that operators have evacuated, whatever comes of its
// endpoints meanwhile, and against a zone that stays empty after its evacuation has ended.
func TestEvacuatedZoneGetsNoRuns(t *testing.T) {
	tests := []struct {
		name  string
		apply func(t *Table)
		want  string
	}{
		{"own zone", func(t *Table) { t.SetEvacuated("z", true, start) }, "far"},
		{"another zone", func(t *Table) { t.SetEvacuated("z2", true, start) }, "near"},
		{"both", func(t *Table) { t.SetEvacuated("z", true, start); t.SetEvacuated("z2", true, start) }, ""},
		{"taken back", func(t *Table) { t.SetEvacuated("z", true, start); t.SetEvacuated("z", false, start) }, "near"},
		{"evacuated twice, taken back once", func(t *Table) {
			t.SetEvacuated("z", true, start)
			t.SetEvacuated("z", true, start)
			t.SetEvacuated("z", false, start)
		}, "near"},
		{"listed anew", func(t *Table) { t.SetEvacuated("z", true, start); t.Put(inZone("near", "z", "r"), start) }, "far"},
		{"a new endpoint there", func(t *Table) { t.SetEvacuated("z", true, start); t.Put(inZone("new", "z", "r"), start) }, "far"},
		{"started anew there", func(t *Table) { t.SetEvacuated("z", true, start); t.Put(reincarnated("near", 6), start) }, "far"},
		{"a zone of no endpoint", func(t *Table) { t.SetEvacuated("z9", true, start) }, "near"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(inZone("near", "z", "r"), inZone("far", "z2", "r2"))
			test.apply(table)
			p, _ := table.Choose(&Query{Service: "s"}, start)
			qt.Check(t, p.ID, qt.Equals, test.want)
		})
	}
}

// TestReturnOfAZone checks when an evacuation ended, by which the return of the zone's endpoints is paced.
func TestReturnOfAZone(t *testing.T) {
	later := start.Add(time.Minute)
	table := newTable(inZone("a", "z", "r"))
	qt.Check(t, table.ReturnedAt("z").IsZero(), qt.IsTrue)
	qt.Check(t, table.SetEvacuated("z", true, start), qt.IsTrue)
	qt.Check(t, table.Evacuations(), qt.DeepEquals, []Evacuation{{"z", start}})
	qt.Check(t, table.ReturnedAt("z").IsZero(), qt.IsTrue)
	qt.Check(t, table.SetEvacuated("z", false, later), qt.IsTrue)
	qt.Check(t, table.ReturnedAt("z"), qt.Equals, later)
	qt.Check(t, table.SetEvacuated("z", false, later.Add(time.Second)), qt.IsFalse)
	qt.Check(t, table.ReturnedAt("z"), qt.Equals, later)
	qt.Check(t, table.Evacuations(), qt.HasLen, 0)
}

// TestRefusalWhileZonesAreEvacuated checks how a run is refused whose endpoints are all in evacuated zones, a rollout's among them, and
// that such a refusal isn't given where another reason lasts shorter.
func TestRefusalWhileZonesAreEvacuated(t *testing.T) {
	next := inZone("next", "z", "r")
	next.Version = "v2"
	tests := []struct {
		name  string
		zones []string
		query Query
		want  Choice
	}{
		{"none", nil, Query{}, ChoicePlaced},
		{"all", []string{"z", "z2"}, Query{}, ChoiceEvacuated},
		{"all, some tried before", []string{"z", "z2"}, Query{Exclude: []string{"a", "far"}}, ChoiceEvacuated},
		{"the rest tried before", []string{"z"}, Query{Exclude: []string{"far"}}, ChoiceNone},
		{"all zones of the home region", []string{"z"}, Query{Homes: limitedTo("r")}, ChoiceEvacuated},
		{"the home region has no endpoint", []string{"z"}, Query{Homes: limitedTo("r9")}, ChoiceNoHome},
		{"those of the rollout's version", []string{"z"}, Query{Version: "v2"}, ChoiceEvacuated},
		{"those of the old versions are left", []string{"z"}, Query{ExcludedVersions: []string{"v2"}}, ChoicePlaced},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(inZone("a", "z", "r"), next, inZone("far", "z2", "r2"))
			for _, zone := range test.zones {
				table.SetEvacuated(zone, true, start)
			}
			test.query.Service = "s"
			_, choice := table.Choose(&test.query, start)
			qt.Check(t, choice, qt.Equals, test.want)
			qt.Check(t, table.Versions("s"), qt.DeepEquals, map[string]int{"v1": 2, "v2": 1}, qt.Commentf("a rollout counts the versions that come back"))
		})
	}
}

// TestEvacuatedZoneKeepsItsRuns guards against runs that are lost from the account because their zone was evacuated meanwhile.
func TestEvacuatedZoneKeepsItsRuns(t *testing.T) {
	table := newTable(inZone("a", "z", "r"))
	p, _ := table.Choose(&Query{Service: "s"}, start)
	table.SetEvacuated("z", true, start)
	_, inFlight := table.inZone("z")
	qt.Check(t, inFlight, qt.Equals, 1)
	table.Done(&Outcome{Endpoint: p.ID, Incarnation: p.Incarnation, Service: "s", End: EndAnswered, TTFB: time.Second}, start)
	_, inFlight = table.inZone("z")
	qt.Check(t, inFlight, qt.Equals, 0)
	table.SetEvacuated("z", false, start)
	_, choice := table.Choose(&Query{Service: "s"}, start)
	qt.Check(t, choice, qt.Equals, ChoicePlaced)
}

// TestAllEvacuationsAtOnce guards against an evacuation whose begin or end only a full scan shows.
func TestAllEvacuationsAtOnce(t *testing.T) {
	tests := []struct {
		name   string
		before []string
		listed []string
	}{
		{"none", nil, nil},
		{"one that was missed", nil, []string{"z"}},
		{"an end that was missed", []string{"z"}, nil},
		{"both", []string{"z", "z1"}, []string{"z1", "z2"}},
		{"listed twice", nil, []string{"z", "z"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := New(nil, Options{}, logr.Discard())
			for _, zone := range test.before {
				evacuationMessage{zone, true}.handle(t.Context(), c)
			}
			evacuationsMessage{test.listed}.handle(t.Context(), c)
			want := slices.Compact(slices.Clone(test.listed))
			qt.Check(t, c.evacuatedZones(), qt.DeepEquals, want)
			for _, zone := range test.before {
				qt.Check(t, c.table.ReturnedAt(zone).IsZero(), qt.Equals, slices.Contains(want, zone))
			}
		})
	}
}
