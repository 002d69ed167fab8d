package pool

import (
	"slices"
	"time"
)

// queuedShare is how many runs an endpoint may hold beyond those that it runs at once, as a share of these, so that it is never idle
// until this VM learns that a run has ended.
const queuedShare = 0.25

// hasRoom reports whether an endpoint of this availability zone has room for the run: a model engine for as many as it processes at once,
// and a few more, unless it has just refused one. An endpoint always has room for a run that doesn't wait, and if the service's
// configuration names no engine. Table.best calls it, and confined.
func (r *Record) hasRoom(q *Query, now time.Time) bool {
	slots := q.slots()
	if slots == 0 {
		return true
	}
	if now.Before(r.refusedUntil) {
		return false
	}
	inFlight, _, _ := r.peerTotals(now)
	return float64(r.InFlight+inFlight) < (1+queuedShare)*float64(slots)
}

// confined reports whether the run gets only endpoints of this availability zone that have room, since some of it have none. What the
// endpoints of other zones run isn't known here: under load, VMs of several zones would send more there than they can run. Table.best calls it.
func (t *Table) confined(q *Query, list []*Record, now time.Time) bool {
	if q.slots() == 0 {
		return false
	}
	return slices.ContainsFunc(list, func(r *Record) bool {
		return r.Zone == t.location.Zone && r.eligible(q) && !r.pauses(now) && r.available(now) && !r.hasRoom(q, now)
	})
}

// slots returns how many runs an endpoint of the service processes at once, by its configuration; 0 if nothing depends on it.
func (q *Query) slots() int {
	if q.Config == nil || !q.Waits {
		return 0
	}
	return q.Config.Engine.Slots
}
