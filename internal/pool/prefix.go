package pool

import (
	"slices"

	"cornelmux/internal/endpoint"
	"cornelmux/pkg/routing"
)

const (
	// maxPrefixBlocks bounds the prefix blocks that are remembered per endpoint.
	maxPrefixBlocks = 4096
	// singleBlocks is how many leading blocks of a prompt are looked up one by one. Those after them are joined by groupedBlocks, so
	// that a prompt of many small parts costs about as much as others; of a shared prefix, less than one group isn't recognized.
	singleBlocks  = 32
	groupedBlocks = 32
)

// blockKey identifies a prefix block by its routing.PrefixBlock.ID; each model caches its own.
type blockKey struct {
	model string
	block uint64
}

// prefixCache holds the blocks that an endpoint has probably cached, in the order of their last use.
type prefixCache struct {
	limit  int
	blocks map[blockKey]*cachedBlock
	// newest and oldest are the ends of the list; nil if it is empty.
	newest, oldest *cachedBlock
}

// cachedBlock is a block in the list of a prefixCache.
type cachedBlock struct {
	key          blockKey
	newer, older *cachedBlock
}

// newPrefixCache returns an empty prefixCache for up to limit blocks, at least 1.
func newPrefixCache(limit int) *prefixCache {
	return &prefixCache{limit: limit, blocks: map[blockKey]*cachedBlock{}}
}

// has reports whether the block is remembered.
func (c *prefixCache) has(k blockKey) bool {
	_, ok := c.blocks[k]
	return ok
}

// use notes the use of a block. If as many are remembered as there is room for, it first forgets the one that was not used for the longest time.
func (c *prefixCache) use(k blockKey) {
	var b *cachedBlock
	if len(c.blocks) >= c.limit {
		b = c.oldest
		c.unlink(b)
		delete(c.blocks, b.key)
	}
	if known, ok := c.blocks[k]; ok {
		b = known
		c.unlink(b)
	} else {
		if b == nil {
			b = &cachedBlock{}
		}
		b.key, c.blocks[k] = k, b
	}
	c.link(b)
}

// link puts a block at the newest end of the list. use calls it.
func (c *prefixCache) link(b *cachedBlock) {
	b.newer, b.older = nil, c.newest
	if c.newest != nil {
		c.newest.newer = b
	} else {
		c.oldest = b
	}
	c.newest = b
}

// unlink takes a block out of the list. use calls it.
func (c *prefixCache) unlink(b *cachedBlock) {
	if b.newer != nil {
		b.newer.older = b.older
	} else {
		c.newest = b.older
	}
	if b.older != nil {
		b.older.newer = b.newer
	} else {
		c.oldest = b.newer
	}
}

// joinBlocks returns the blocks of a prompt as they are looked up and remembered, the request's own last. Table.Choose and
// addPrefixBlocks call it.
func joinBlocks(blocks []routing.PrefixBlock) []routing.PrefixBlock {
	if len(blocks) <= singleBlocks+1 {
		return blocks
	}
	shared, own := blocks[:len(blocks)-1], blocks[len(blocks)-1]
	out := slices.Clone(shared[:singleBlocks])
	for group := range slices.Chunk(shared[singleBlocks:], groupedBlocks) {
		out = append(out, joinGroup(group))
	}
	return append(out, own)
}

// joinGroup returns one block in place of a group. joinBlocks calls it.
func joinGroup(group []routing.PrefixBlock) routing.PrefixBlock {
	joined := group[0]
	for _, b := range group[1:] {
		joined.ID = endpoint.Mix(joined.ID) ^ b.ID
		joined.Tokens += b.Tokens
	}
	return joined
}
