package pool

import "time"

const (
	// departedTTL is how long an incarnation that was leaving is remembered after its removal, maxDeparted how many are at most.
	departedTTL = 10 * time.Minute
	maxDeparted = 4096
)

// departed holds the incarnations that were leaving when they were removed, by endpoint ID, so that an entry that comes back
// brings none of them back.
type departed map[string]departure

// departure is the incarnation of an endpoint that was leaving and when it was removed.
type departure struct {
	incarnation int64
	at          time.Time
}

// add remembers an endpoint that is removed while it is leaving; one beyond maxDeparted isn't. Table.remove calls it.
func (d departed) add(e *Entry, now time.Time) {
	if _, known := d[e.ID]; e.Leaving && e.Incarnation != 0 && (known || len(d) < maxDeparted) {
		d[e.ID] = departure{e.Incarnation, now}
	}
}

// has reports whether the entry is of an incarnation that was leaving.
func (d departed) has(e *Entry) bool {
	left, known := d[e.ID]
	return known && left.incarnation == e.Incarnation
}

// forget drops what is older than departedTTL. Table.Sweep calls it.
func (d departed) forget(now time.Time) {
	for id, left := range d {
		if now.Sub(left.at) >= departedTTL {
			delete(d, id)
		}
	}
}
