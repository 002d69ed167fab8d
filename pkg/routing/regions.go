package routing

import "slices"

// Regions is a set of regions. The zero value holds all regions.
type Regions struct {
	// Limited says that only those in Names are in the set.
	Limited bool
	Names   []string
}

// Has reports whether the region is in the set.
func (r Regions) Has(region string) bool { return !r.Limited || slices.Contains(r.Names, region) }

// Intersect returns the regions that are in both sets.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case !r.Limited:
		return o
	case !o.Limited:
		return r
	}
	both := Regions{Limited: true}
	for _, name := range r.Names {
		if slices.Contains(o.Names, name) {
			both.Names = append(both.Names, name)
		}
	}
	return both
}
