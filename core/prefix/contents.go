// Package prefix estimates which parts of prompts a target still holds, so that it need not read them again. Parts are
// chained: one counts only if the target holds all parts before it.
//
// Routers with agents (core/pick) keep the Contents that engines report. Routers without agents (core/sched) have a
// Model, which derives the contents from what their requests read at the targets.
package prefix

import (
	"iter"
	"sort"

	"hickoryvane.example/core/ident"
)

// Contents is a bounded set of blocks; the one added first is evicted first.
type Contents struct {
	// positions maps a block to its index in ring; a ring entry without a matching position is stale.
	positions map[ident.Block]int
	ring      []ident.Block
	next      int
	capacity  int
}

// NewContents returns an empty set of at most size blocks, at least 1.
func NewContents(size int) Contents {
	return Contents{positions: map[ident.Block]int{}, capacity: max(size, 1)}
}

// Reset removes all blocks.
func (c *Contents) Reset() {
	clear(c.positions)
	c.ring, c.next = c.ring[:0], 0
}

// Has reports whether a block is in the set.
func (c *Contents) Has(b ident.Block) bool {
	_, ok := c.positions[b]
	return ok
}

// Add adds a block that is not in the set and returns the one that was evicted for it, if any.
func (c *Contents) Add(b ident.Block) (evicted ident.Block, ok bool) {
	if len(c.ring) < c.capacity {
		c.positions[b] = len(c.ring)
		c.ring = append(c.ring, b)
		return 0, false
	}
	old := c.ring[c.next]
	if i, found := c.positions[old]; found && i == c.next {
		delete(c.positions, old)
		evicted, ok = old, true
	}
	c.ring[c.next] = b
	c.positions[b] = c.next
	c.next = (c.next + 1) % c.capacity
	return evicted, ok
}

// Remove removes a block and reports whether it was in the set.
func (c *Contents) Remove(b ident.Block) bool {
	if !c.Has(b) {
		return false
	}
	delete(c.positions, b)
	return true
}

// Leading returns the number of leading blocks that are in the set. Blocks are chained and engines evict the end of a
// chain first, so a binary search finds the end of the cached prefix.
func (c *Contents) Leading(blocks []ident.Block) int {
	if len(c.positions) == 0 {
		return 0
	}
	return sort.Search(len(blocks), func(i int) bool { return !c.Has(blocks[i]) })
}

// All returns the blocks. The set must not change while they are read.
func (c *Contents) All() iter.Seq[ident.Block] {
	return func(yield func(ident.Block) bool) {
		for i, b := range c.ring {
			if position, ok := c.positions[b]; ok && position == i && !yield(b) {
				return
			}
		}
	}
}
