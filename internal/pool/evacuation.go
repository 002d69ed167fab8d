package pool

import (
	"cmp"
	"context"
	"slices"
	"time"

	"cornelmux/internal/task"
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

// listed sets which zones are evacuated, and returns those for which that changes anything.
func (e evacuations) listed(zones []string) (begun, ended []string) {
	for _, zone := range zones {
		if !e.inForce(zone) {
			begun = append(begun, zone)
		}
	}
	for zone := range e {
		if e.inForce(zone) && !slices.Contains(zones, zone) {
			ended = append(ended, zone)
		}
	}
	return begun, ended
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

// onlyEvacuated reports whether an endpoint might run q, tried before or not, and each that might is in an evacuated zone. Choose calls
// it if no endpoint is left.
func (t *Table) onlyEvacuated(q *Query) bool {
	all, found := *q, false
	all.Exclude = nil
	for _, r := range t.services[q.Service] {
		if !r.mayServe(&all) {
			continue
		}
		if !r.evacuated {
			return false
		}
		found = true
	}
	return found
}

// inZone returns the number of endpoints of a zone, and of the runs of this VM there.
func (t *Table) inZone(zone string) (endpoints, inFlight int) {
	for _, r := range t.records {
		if r.Zone == zone {
			endpoints++
			inFlight += r.InFlight
		}
	}
	return endpoints, inFlight
}

// ReturnedAt returns when the last evacuation of an availability zone ended; zero if it had none or is evacuated now. Its endpoints
// may be cold from then on.
func (t *Table) ReturnedAt(zone string) time.Time { return t.evacuations[zone].endedAt }

// Evacuations returns the evacuations in force, ordered by zone.
func (t *Table) Evacuations() []Evacuation { return t.evacuations.list() }

type (
	evacuationMessage struct {
		zone      string
		evacuated bool
	}
	evacuationsMessage struct{ zones []string }
	inForceMessage     struct{ reply chan<- []Evacuation }
)

// SetEvacuated begins or ends the evacuation of an availability zone. The decoder of the directory calls it for each change. It waits
// for room in the mailbox until ctx ends, since a lost message would send runs into the zone.
func (c *Controller) SetEvacuated(ctx context.Context, zone string, evacuated bool) error {
	return task.TellUntil(ctx, c.mailbox, message(evacuationMessage{zone, evacuated}))
}

// SetEvacuations sets which availability zones are evacuated. The decoder calls it after each full scan, before Retain, so that a VM
// that starts knows the zones before its first endpoints count as known.
func (c *Controller) SetEvacuations(ctx context.Context, zones []string) error {
	return task.TellUntil(ctx, c.mailbox, message(evacuationsMessage{zones}))
}

// Evacuations returns the evacuations in force, ordered by zone. The metrics ask for them at each scrape.
func (c *Controller) Evacuations(ctx context.Context) ([]Evacuation, error) {
	return task.Ask(ctx, c.mailbox, func(reply chan<- []Evacuation) message { return inForceMessage{reply} })
}

func (m evacuationMessage) handle(_ context.Context, c *Controller) {
	c.setEvacuated(m.zone, m.evacuated)
}

func (m evacuationsMessage) handle(_ context.Context, c *Controller) {
	begun, ended := c.table.evacuations.listed(m.zones)
	for _, zone := range begun {
		c.setEvacuated(zone, true)
	}
	for _, zone := range ended {
		c.setEvacuated(zone, false)
	}
}

func (m inForceMessage) handle(_ context.Context, c *Controller) { m.reply <- c.table.Evacuations() }

// setEvacuated begins or ends the evacuation of a zone, and logs it if that changes anything.
func (c *Controller) setEvacuated(zone string, evacuated bool) {
	now := time.Now()
	since := c.table.evacuations[zone].since
	if !c.table.SetEvacuated(zone, evacuated, now) {
		return
	}
	endpoints, inFlight := c.table.inZone(zone)
	if evacuated {
		c.log.Info("zone evacuated", "zone", zone, "endpoints", endpoints, "in_flight", inFlight, "own", zone == c.opts.Location.Zone)
		return
	}
	c.log.Info("evacuation ended", "zone", zone, "endpoints", endpoints, "seconds", now.Sub(since).Seconds(), "own", zone == c.opts.Location.Zone)
}

// evacuatedZones returns the names of the zones that are evacuated now, for the error of a run that isn't placed.
func (c *Controller) evacuatedZones() (zones []string) {
	for _, e := range c.table.Evacuations() {
		zones = append(zones, e.Zone)
	}
	return zones
}
