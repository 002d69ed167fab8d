package pool

import "time"

// relistTimeout is how long after an outage or a restore of the directory an entry that was lost by it may take to be relisted.
const relistTimeout = 2 * time.Second

// SetReachable records whether the directory can be read. The Controller calls it with each change.
func (t *Table) SetReachable(ok bool, now time.Time) {
	if t.directoryDown && ok {
		t.directoryUpAt = now
	}
	t.directoryDown = !ok
}

// NoteRestored records that the directory was restored from a backup, so that entries are relisted as after an outage. The Controller
// calls it before it learns what the directory holds now.
func (t *Table) NoteRestored(now time.Time) { t.directoryUpAt = now }

// directoryUnreliable reports whether entries may be missing only because of an outage of the directory.
func (t *Table) directoryUnreliable(now time.Time) bool {
	return t.directoryDown || (!t.directoryUpAt.IsZero() && now.Sub(t.directoryUpAt) < relistTimeout)
}

// Sweep removes the entries that were not relisted after an outage and returns their IDs. The Controller calls it every
// sweepInterval.
func (t *Table) Sweep(now time.Time) (gone []string) {
	t.unlisted.forget(now)
	t.cold.forget(now)
	if t.directoryUnreliable(now) {
		return nil
	}
	for id, r := range t.records {
		if r.missing {
			t.remove(r, now)
			gone = append(gone, id)
		}
	}
	return gone
}
