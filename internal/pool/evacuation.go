package pool

import (
	"cmp"
	"slices"
	"time"
)

// zoneEvacuation is the last evacuation of an availability zone: when this VM learned of it, and when of its end; endedAt is zero
// while it is in force.
type zoneEvacuation struct {
	since   time.Time
	endedAt time.Time
}

// Evacuation is an availability zone whose endpoints get no runs, since this VM learned of it.
type Evacuation struct {
	Zone  string
	Since time.Time
}

// evacuations holds the last evacuation of each availability zone that had one.
type evacuations map[string]zoneEvacuation

// inForce reports whether the zone is evacuated now.
func (e evacuations) inForce(zone string) bool {
	z, ok := e[zone]
	return ok && z.endedAt.IsZero()
}

// set begins or ends the evacuation of a zone, and reports whether that changes anything.
func (e evacuations) set(zone string, evacuated bool, now time.Time) bool {
	switch {
	case evacuated == e.inForce(zone):
		return false
	case evacuated:
		e[zone] = zoneEvacuation{since: now}
	default:
		e[zone] = zoneEvacuation{since: e[zone].since, endedAt: now}
	}
	return true
}

// list returns the evacuations in force, ordered by zone.
func (e evacuations) list() []Evacuation {
	var out []Evacuation
	for zone, z := range e {
		if z.endedAt.IsZero() {
			out = append(out, Evacuation{zone, z.since})
		}
	}
	slices.SortFunc(out, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

// SetEvacuated begins or ends the evacuation of an availability zone, and reports whether that changes anything. From then on the
// zone's endpoints get no runs, or get them again; runs that are there go on. The Controller calls it for each key of an evacuation.
func (t *Table) SetEvacuated(zone string, evacuated bool, now time.Time) bool {
	if !t.evacuations.set(zone, evacuated, now) {
		return false
	}
	for _, r := range t.records {
		if r.Zone == zone {
			r.evacuated = evacuated
		}
	}
	return true
}

// ReturnedAt returns when the last evacuation of an availability zone ended; zero if it had none or is evacuated now. Its endpoints
// may be cold from then on.
func (t *Table) ReturnedAt(zone string) time.Time { return t.evacuations[zone].endedAt }

// Evacuations returns the evacuations in force, ordered by zone.
func (t *Table) Evacuations() []Evacuation { return t.evacuations.list() }
