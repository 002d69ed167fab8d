package pool

import "time"

const (
	// unlistedTTL is how long it is remembered what an incarnation without a record asked for, maxUnlisted for how many at most.
	unlistedTTL = 10 * time.Minute
	maxUnlisted = 4096
)

// unlisted holds what incarnations without a record asked for, by endpoint: those that were removed, and those that peers speak of
// before the directory lists them here. It counts once their entries come.
type unlisted map[string]request

// request is what an incarnation of an endpoint asked for, as it was known at a time.
type request struct {
	incarnation int64
	leaving     bool
	pausedUntil time.Time
	at          time.Time
}

// addRemoved remembers an endpoint that is removed while it is leaving or wants no runs. Table.remove calls it.
func (u unlisted) addRemoved(r *Record, now time.Time) {
	if r.Incarnation != 0 && (r.Leaving || r.pauses(now)) {
		u.add(r.ID, request{r.Incarnation, r.Leaving, r.pausedUntil, now})
	}
}

// addLeaving remembers that an incarnation said that it is leaving. Table.MarkLeaving calls it.
func (u unlisted) addLeaving(id string, incarnation int64, now time.Time) {
	u.add(id, request{incarnation: incarnation, leaving: true, at: now})
}

// add remembers a request, unless a later incarnation asked for something or there are maxUnlisted of other endpoints.
func (u unlisted) add(id string, r request) {
	before, known := u[id]
	if before.incarnation <= r.incarnation && (known || len(u) < maxUnlisted) {
		u[id] = r
	}
}

// restore sets what the record's incarnation asked for before it had the record. Table.Put calls it for an incarnation that isn't known.
func (u unlisted) restore(r *Record) {
	if asked, known := u[r.ID]; known && asked.incarnation == r.Incarnation {
		r.Leaving, r.pausedUntil = r.Leaving || asked.leaving, asked.pausedUntil
	}
}

// forget drops what is older than unlistedTTL. Table.Sweep calls it.
func (u unlisted) forget(now time.Time) {
	for id, r := range u {
		if now.Sub(r.at) >= unlistedTTL {
			delete(u, id)
		}
	}
}
