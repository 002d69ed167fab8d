package quarantine

import "time"

const (
	// clearancesPerGeneration bounds the keys in each of the two generations.
	clearancesPerGeneration = 8192
	// reportDelay is how late a clearance reported by a peer may arrive. Its age doesn't include the way, so that it would
	// otherwise clear losses that came after it.
	reportDelay = 300 * time.Millisecond
)

// clearance is when the newest run with a key that survived its start was sent.
type clearance struct {
	at time.Time
	// reported says that a peer saw the run.
	reported bool
}

// ClearanceTable implements Clearances. It remembers the keys that were in use last, in two generations: when the younger
// one is full, it becomes the older one.
type ClearanceTable struct {
	young, old map[uint64]clearance
}

// find returns the clearance of a key; zero if there is none.
func (t *ClearanceTable) find(key uint64) clearance {
	if c, ok := t.young[key]; ok {
		return c
	}
	return t.old[key]
}

// ClearedAt implements Clearances. It allows for reportDelay.
func (t *ClearanceTable) ClearedAt(key uint64) time.Time {
	c := t.find(key)
	if c.reported {
		return c.at.Add(-reportDelay)
	}
	return c.at
}

// add notes a clearance and reports whether it is newer than the one known.
func (t *ClearanceTable) add(key uint64, c clearance) bool {
	before := t.ClearedAt(key)
	at := c.at
	if c.reported {
		at = at.Add(-reportDelay)
	}
	if !at.After(before) {
		return false
	}
	if len(t.young) >= clearancesPerGeneration || t.young == nil {
		t.young, t.old = map[uint64]clearance{}, t.young
	}
	t.young[key] = c
	return true
}
