package pick

import (
	"sort"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// BlocksMax bounds the cached blocks remembered per target, about 65,000 tokens; the block reported first
// is dropped first. 216 targets (18 models, 12 connections each) with different blocks take 23 MB; 2,048
// blocks took 45 MB, too much of the 128 MB of a router.
const BlocksMax = 1024

// cache is the known content of one target's prefix cache.
type cache struct {
	// seq is the number of the last report; trusted is false from a gap until a reset.
	seq     ident.Seq
	trusted bool
	// held maps a block to its position in ring; ring entries that held does not confirm are void.
	positions map[ident.Block]int
	ring      []ident.Block
	next      int
	capacity  int
}

func newCache(size int) cache {
	return cache{positions: map[ident.Block]int{}, capacity: max(size, 1), trusted: true}
}

func (c *cache) reset() {
	clear(c.positions)
	c.ring, c.next = c.ring[:0], 0
}

// add remembers a block and returns the one that was dropped for it, if any.
func (c *cache) add(b ident.Block) (dropped ident.Block, ok bool) {
	if len(c.ring) < c.capacity {
		c.positions[b] = len(c.ring)
		c.ring = append(c.ring, b)
		return 0, false
	}
	old := c.ring[c.next]
	if i, held := c.positions[old]; held && i == c.next {
		delete(c.positions, old)
		dropped, ok = old, true
	}
	c.ring[c.next] = b
	c.positions[b] = c.next
	c.next = (c.next + 1) % c.capacity
	return dropped, ok
}

// prefix returns how many of the blocks, from the first, the target holds. Blocks are chained and engines
// drop the end of a chain first, so a binary search finds the end of the held part.
func (c *cache) prefix(blocks []ident.Block) int {
	if len(c.positions) == 0 {
		return 0
	}
	return sort.Search(len(blocks), func(i int) bool {
		_, ok := c.positions[blocks[i]]
		return !ok
	})
}

// apply takes in a trusted report of a target.
func (pl *pool) applyCache(t *target, r *wire.Cache) {
	for _, b := range r.Removed {
		if _, ok := t.cache.positions[b]; ok {
			delete(t.cache.positions, b)
			pl.removeHolder(t, b)
		}
	}
	for _, b := range r.Added {
		if _, ok := t.cache.positions[b]; ok {
			continue
		}
		if old, ok := t.cache.add(b); ok {
			pl.removeHolder(t, old)
		}
		pl.addHolder(t, b)
	}
}

// forget removes a target from the index of blocks.
func (pl *pool) removeFromIndex(t *target) {
	for b := range t.cache.positions {
		pl.removeHolder(t, b)
	}
}

// hold names the target as a holder of a block; when the names are full, the first one gives way.
func (pl *pool) addHolder(t *target, b ident.Block) {
	h := pl.holders[b]
	for i := range h {
		if h[i] == nil {
			h[i] = t
			pl.holders[b] = h
			return
		}
	}
	copy(h[:], h[1:])
	h[holdersMax-1] = t
	pl.holders[b] = h
}

func (pl *pool) removeHolder(t *target, b ident.Block) {
	h := pl.holders[b]
	n := 0
	for _, o := range h {
		if o != nil && o != t {
			h[n] = o
			n++
		}
	}
	clear(h[n:])
	if n == 0 {
		delete(pl.holders, b)
		return
	}
	pl.holders[b] = h
}

// longest returns the holders of the longest held prefix of the blocks.
func (pl *pool) longestPrefixHolders(blocks []ident.Block) (h [holdersMax]*target) {
	if len(pl.holders) == 0 {
		return h
	}
	n := sort.Search(len(blocks), func(i int) bool {
		_, ok := pl.holders[blocks[i]]
		return !ok
	})
	if n > 0 {
		h = pl.holders[blocks[n-1]]
	}
	return h
}
