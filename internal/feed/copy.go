package feed

import (
	"cmp"
	"slices"
)

// maxTombstones bounds the deleted keys that a copy remembers.
const maxTombstones = 2048

// Copy is what a VM knows of the store: the newest item of each key, deleted ones included.
type Copy struct {
	items map[string]Item
	// horizon is the revision from which on no deletion was forgotten.
	horizon uint64
}

// NewCopy makes an empty Copy.
func NewCopy() *Copy { return &Copy{items: map[string]Item{}} }

// Put takes in an item unless the copy has a newer one, and reports whether it did.
func (c *Copy) Put(i Item) bool {
	if known, ok := c.items[i.Key]; ok && known.Revision >= i.Revision {
		return false
	}
	c.items[i.Key] = i
	return true
}

// Keep takes in that the store held just these keys at the revision; every other key was deleted by then.
func (c *Copy) Keep(keys []string, revision uint64) {
	held := map[string]bool{}
	for _, k := range keys {
		held[k] = true
	}
	for k, i := range c.items {
		if !held[k] && !i.Deleted && i.Revision <= revision {
			c.items[k] = Item{Key: k, Revision: revision, Deleted: true}
		}
	}
	c.prune()
}

// prune forgets the oldest deletions where there are too many.
func (c *Copy) prune() {
	var deleted []Item
	for _, i := range c.items {
		if i.Deleted {
			deleted = append(deleted, i)
		}
	}
	if len(deleted) <= maxTombstones {
		return
	}
	slices.SortFunc(deleted, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	for _, i := range deleted[:len(deleted)-maxTombstones] {
		delete(c.items, i.Key)
		c.horizon = max(c.horizon, i.Revision)
	}
}

// Since returns the items that changed after the revision, in the order of their changes; false where deletions since
// then were forgotten. The secret isn't among them.
func (c *Copy) Since(revision uint64) ([]Item, bool) {
	if revision < c.horizon {
		return nil, false
	}
	var out []Item
	for _, i := range c.items {
		if i.Revision > revision && i.Key != secretKey {
			out = append(out, i)
		}
	}
	slices.SortFunc(out, func(a, b Item) int { return cmp.Compare(a.Revision, b.Revision) })
	return out, true
}
