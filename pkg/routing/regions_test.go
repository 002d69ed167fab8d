package routing

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestRegions guards against a request that leaves its home regions, or finds none though it has one.
func TestRegions(t *testing.T) {
	only := func(names ...string) Regions { return Regions{Limited: true, Names: names} }
	for _, row := range []struct {
		name string
		a, b Regions
		has  []string
		not  []string
	}{
		{"neither is limited", Regions{}, Regions{}, []string{"north", "south"}, nil},
		{"one is limited", only("north"), Regions{}, []string{"north"}, []string{"south", ""}},
		{"both are limited", only("north", "south"), only("south", "east"), []string{"south"}, []string{"north", "east"}},
		{"nothing in common", only("north"), only("south"), nil, []string{"north", "south", ""}},
	} {
		t.Run(row.name, func(t *testing.T) {
			c := qt.New(t)
			for _, both := range []Regions{row.a.Intersect(row.b), row.b.Intersect(row.a)} {
				for _, region := range row.has {
					c.Check(both.Has(region), qt.IsTrue, qt.Commentf("region %q", region))
				}
				for _, region := range row.not {
					c.Check(both.Has(region), qt.IsFalse, qt.Commentf("region %q", region))
				}
			}
		})
	}
}
