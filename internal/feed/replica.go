package feed

import (
	"cmp"
	"slices"
)

const (
	// maxTombstones is the maximum number of deleted keys that a replica remembers.
	maxTombstones = 2048
	// maxLastValueBytes bounds the last value that a tombstone keeps; a longer one is forgotten.
	maxLastValueBytes = 2 << 10
)

// Replica is a VM's copy of the store in one era: the newest item of each key, with tombstones of deleted keys.
type Replica struct {
	items map[string]Item
	// completeSince is the store's revision after which no deletion is missing: tombstones up to it were dropped, or keys were deleted
	// before the replica was read.
	completeSince uint64
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica { return &Replica{items: map[string]Item{}} }

// Put stores an item, also a deleted one, and reports true, or false if the replica has the same or a newer revision of its
// key. applyItem calls it.
func (r *Replica) Put(i Item) bool {
	old, ok := r.items[i.Key]
	if ok && old.Revision >= i.Revision {
		return false
	}
	if i.Deleted && i.LastValue == nil {
		i.LastValue = old.lastValue()
	}
	r.items[i.Key] = i
	return true
}

// lastValue returns the value that a tombstone of the item's key keeps.
func (i Item) lastValue() []byte {
	if len(i.Value) > maxLastValueBytes {
		return nil
	}
	return i.Value
}

// BeginAt notes that the replica is read from the store at the revision, so that deletions before it may be missing. It is called for
// each full scan.
func (r *Replica) BeginAt(revision uint64) { r.completeSince = max(r.completeSince, revision) }

// Keys returns the keys that aren't deleted.
func (r *Replica) Keys() []string {
	var keys []string
	for k, i := range r.items {
		if !i.Deleted {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	return keys
}

// KeepOnly marks every key outside keys as deleted; keys are those that the store had at the revision. Items that
// changed later stay. It is called at the end of a full scan.
func (r *Replica) KeepOnly(keys []string, revision uint64) {
	present := map[string]bool{}
	for _, k := range keys {
		present[k] = true
	}
	for k, i := range r.items {
		if !present[k] && !i.Deleted && i.Revision <= revision {
			r.items[k] = Item{Key: k, LastValue: i.lastValue(), Revision: revision, Deleted: true, Era: i.Era}
		}
	}
	r.prune()
}

// prune drops the oldest tombstones beyond maxTombstones. KeepOnly calls it.
func (r *Replica) prune() {
	var deleted []Item
	for _, i := range r.items {
		if i.Deleted {
			deleted = append(deleted, i)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, i := range deleted[:len(deleted)-maxTombstones] {
		delete(r.items, i.Key)
		r.completeSince = max(r.completeSince, i.Revision)
	}
}

// Since returns the items that changed after the revision, also tombstones, in the order of their changes, without the
// secret of the datagrams. It returns false if deletions since then may be missing: a VM that lacks the changes then also needs the
// Keys. The Controller calls it to forward changes and to reply to a request for them.
func (r *Replica) Since(revision uint64) ([]Item, bool) {
	var out []Item
	for _, i := range r.items {
		if i.Revision > revision && i.Key != secretKey {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, revision >= r.completeSince
}
