package pool

import "time"

const (
	// departedTTL is how long the incarnation of an endpoint is remembered after its removal, maxDeparted how many are at most.
	departedTTL = 10 * time.Minute
	maxDeparted = 4096
)

// departed holds what endpoints that were removed had asked for, by ID, so that it still counts if their entries come back.
type departed map[string]departure

// departure is what an incarnation of an endpoint had asked for when it was removed at a time.
type departure struct {
	incarnation int64
	leaving     bool
	pausedUntil time.Time
	at          time.Time
}

// add remembers an endpoint that is removed while it is leaving or wants no runs; one beyond maxDeparted isn't. Table.remove calls it.
func (d departed) add(r *Record, now time.Time) {
	if r.Incarnation == 0 || !(r.Leaving || r.pauses(now)) {
		return
	}
	if _, known := d[r.ID]; known || len(d) < maxDeparted {
		d[r.ID] = departure{r.Incarnation, r.Leaving, r.pausedUntil, now}
	}
}

// restore sets what the incarnation had asked for before it was removed. Table.Put calls it for an endpoint that isn't known.
func (d departed) restore(r *Record) {
	if left, known := d[r.ID]; known && left.incarnation == r.Incarnation {
		r.Leaving, r.pausedUntil = r.Leaving || left.leaving, left.pausedUntil
	}
}

// forget drops what is older than departedTTL. Table.Sweep calls it.
func (d departed) forget(now time.Time) {
	for id, left := range d {
		if now.Sub(left.at) >= departedTTL {
			delete(d, id)
		}
	}
}
