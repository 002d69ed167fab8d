package pool

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
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
