package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"cornelmux/pkg/routing"
)

// limitedTo returns the homes of a run that may be served in the regions only.
func limitedTo(regions ...string) routing.Regions {
	return routing.Regions{Limited: true, Names: regions}
}

// TestRunStaysInItsHomes guards against runs in a region that the route or the client account doesn't allow, and against a refusal that
// hides why: no home has an endpoint, or those that have are down for a while.
func TestRunStaysInItsHomes(t *testing.T) {
	leaving := inZone("leaving", "z2", "r2")
	leaving.Leaving = true
	near, far, unknown := inZone("near", "z", "r"), inZone("far", "z2", "r2"), inZone("unknown", "z9", "")
	tests := []struct {
		name    string
		entries []Entry
		query   Query
		choice  Choice
		want    string
	}{
		{"any region", []Entry{near, far}, Query{}, ChoicePlaced, "near"},
		{"the farther region", []Entry{near, far}, Query{Homes: limitedTo("r2")}, ChoicePlaced, "far"},
		{"one of two regions", []Entry{near, far}, Query{Homes: limitedTo("r2", "r3")}, ChoicePlaced, "far"},
		{"no region", []Entry{near, far}, Query{Homes: limitedTo()}, ChoiceNoHome, ""},
		{"region without endpoints", []Entry{near, far}, Query{Homes: limitedTo("r3")}, ChoiceNoHome, ""},
		{"zone of no known region", []Entry{unknown}, Query{Homes: limitedTo("r")}, ChoiceNoHome, ""},
		{"zone of no known region, nameless home", []Entry{unknown}, Query{Homes: limitedTo("")}, ChoiceNoHome, ""},
		{"zone of no known region, any home", []Entry{unknown}, Query{}, ChoicePlaced, "unknown"},
		{"tried before", []Entry{near, far}, Query{Homes: limitedTo("r2"), Exclude: []string{"far"}}, ChoiceNone, ""},
		{"leaving", []Entry{near, leaving}, Query{Homes: limitedTo("r2")}, ChoiceNone, ""},
		{"another version", []Entry{near, far}, Query{Homes: limitedTo("r2"), Version: "v2"}, ChoiceNone, ""},
		{"retry", []Entry{near, far}, Query{Homes: limitedTo("r2"), Retry: true, Exclude: []string{"x"}}, ChoicePlaced, "far"},
		{"no endpoint at all", nil, Query{Homes: limitedTo("r")}, ChoiceNoHome, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.query.Service = "s"
			p, choice := newTable(test.entries...).Choose(&test.query, start)
			qt.Check(t, p.ID, qt.Equals, test.want)
			qt.Check(t, choice, qt.Equals, test.choice)
		})
	}
}

// TestNoChoiceLeavesTheHomes guards against any way out of a run's homes or into an evacuated zone: whatever has become of the endpoints
// and of the evacuations, and whichever retry it is.
func TestNoChoiceLeavesTheHomes(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		table, now := newTable(), start
		for i := range rapid.IntRange(1, 12).Draw(r, "endpoints") {
			zone := rapid.SampledFrom(testZones).Draw(r, "zone")
			table.Put(inZone(fmt.Sprint("e", i), zone, testRegion(zone)), now)
		}
		evacuated := map[string]bool{}
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Millisecond, time.Second}).Draw(r, "pause"))
			id := fmt.Sprint("e", rapid.IntRange(0, 11).Draw(r, "endpoint"))
			zone := rapid.SampledFrom(testZones).Draw(r, "step zone")
			switch rapid.IntRange(0, 7).Draw(r, "step") {
			case 0:
				evacuated[zone] = rapid.Bool().Draw(r, "evacuated")
				table.SetEvacuated(zone, evacuated[zone], now)
			case 1:
				e := inZone(id, zone, testRegion(zone))
				e.Incarnation = rapid.Int64Range(4, 7).Draw(r, "incarnation")
				table.Put(e, now)
			case 2:
				table.Drop(id, now)
			case 3:
				table.Withdraw(id)
			case 4:
				table.SetReachable(rapid.Bool().Draw(r, "reachable"), now)
			case 5:
				end := rapid.SampledFrom([]End{EndAnswered, EndLost, EndUnreachable, EndTimeout, EndRefused}).Draw(r, "end")
				table.Done(&Outcome{Endpoint: id, Incarnation: 5, End: end, Service: "s"}, now)
			default:
				q := testQuery(r)
				p, choice := table.Choose(q, now)
				away := q.Homes.Limited && (p.Region == "" || !slices.Contains(q.Homes.Names, p.Region))
				if choice == ChoicePlaced && (away || evacuated[p.Zone]) {
					r.Fatalf("placed in zone %s of region %q; homes %+v, evacuated %v", p.Zone, p.Region, q.Homes, evacuated)
				}
			}
		}
	})
}

// testZones are the zones of the random endpoints; z5 belongs to no known region.
var testZones = []string{"z1", "z2", "z3", "z4", "z5"}

// testRegion returns the region of one of testZones.
func testRegion(zone string) string {
	return map[string]string{"z1": "r1", "z2": "r1", "z3": "r2", "z4": "r3"}[zone]
}

// testQuery draws a run with any homes: a first send, a retry, the replacement of a silent run or an escalation.
func testQuery(r *rapid.T) *Query {
	q := &Query{
		Service: "s", Retry: rapid.Bool().Draw(r, "retry"), Escalation: rapid.Bool().Draw(r, "escalation"),
		Affinity: rapid.Uint64Range(0, 3).Draw(r, "affinity"), Silent: rapid.SampledFrom([]string{"", "e1"}).Draw(r, "silent"),
		Exclude: rapid.SliceOfN(rapid.SampledFrom([]string{"e0", "e1", "e2"}), 0, 3).Draw(r, "exclude"),
	}
	if rapid.Bool().Draw(r, "limited") {
		q.Homes = limitedTo(rapid.SliceOfN(rapid.SampledFrom([]string{"", "r1", "r2", "r3", "r4"}), 0, 3).Draw(r, "homes")...)
	}
	return q
}

// TestAgedPlacement checks whether a run that was placed before may still go to its endpoint after what has become of that meanwhile.
func TestAgedPlacement(t *testing.T) {
	tests := []struct {
		name  string
		apply func(t *Table)
		homes routing.Regions
		want  bool
	}{
		{"nothing", func(*Table) {}, routing.Regions{}, true},
		{"zone evacuated", func(t *Table) { t.SetEvacuated("z", true, start) }, routing.Regions{}, false},
		{"another zone evacuated", func(t *Table) { t.SetEvacuated("z2", true, start) }, routing.Regions{}, true},
		{"homes elsewhere", func(*Table) {}, limitedTo("r2"), false},
		{"homes here", func(*Table) {}, limitedTo("r2", "r"), true},
		{"leaving", func(t *Table) { t.MarkLeaving("a", 5, start) }, routing.Regions{}, false},
		{"gone", func(t *Table) { t.Withdraw("a") }, routing.Regions{}, false},
		{"wants a pause", func(t *Table) { t.Pause("a", 5, time.Second, start) }, routing.Regions{}, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(inZone("a", "z", "r"))
			_, choice := table.Choose(&Query{Service: "s"}, start)
			qt.Assert(t, choice, qt.Equals, ChoicePlaced)
			test.apply(table)
			qt.Check(t, table.Confirms(&Query{Service: "s", Homes: test.homes}, "a", start), qt.Equals, test.want)
		})
	}
	qt.Check(t, newTable().Confirms(&Query{Service: "s"}, "a", start), qt.IsFalse)
}
