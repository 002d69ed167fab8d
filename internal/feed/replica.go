package feed

import (
	"cmp"
	"slices"
)

// maxTombstones is the maximum number of deleted keys that a replica remembers.
const maxTombstones = 2048

// Replica is a VM's copy of the store: the newest item of each key, with tombstones of deleted keys.
type Replica struct {
	items map[string]Item
	// prunedRevision is the highest of the store's revisions of the tombstones that were dropped; 0 if none was.
	prunedRevision uint64
}

// NewReplica returns an empty Replica.
func NewReplica() *Replica { return &Replica{items: map[string]Item{}} }

// Put stores an item, also a deleted one, and reports true, or false if the replica has the same or a newer revision of its
// key. applyItem calls it.
func (r *Replica) Put(i Item) bool {
	if old, ok := r.items[i.Key]; ok && old.Revision >= i.Revision {
		return false
	}
	r.items[i.Key] = i
	return true
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
			r.items[k] = Item{Key: k, Revision: revision, Deleted: true}
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
		r.prunedRevision = max(r.prunedRevision, i.Revision)
	}
}

// Since returns the items that changed after the revision, also tombstones, in the order of their changes, without the
// secret of the datagrams. It returns false if tombstones since then were dropped; the items are not sent then, and a VM
// that lacks them reads the store. The Controller calls it to forward changes and to reply to a request for them.
func (r *Replica) Since(revision uint64) ([]Item, bool) {
	if revision < r.prunedRevision {
		return nil, false
	}
	var out []Item
	for _, i := range r.items {
		if i.Revision > revision && i.Key != secretKey {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, true
}
