package pick

import (
	"sort"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/wire"
)

// BlocksMax bounds the cached blocks recorded per target, about 65,000 tokens; the block reported first is
// evicted first. 216 targets (18 models, 12 connections each) with distinct blocks take 23 MB; with 2,048
// blocks per target they would take 45 MB, too much of a router's 128 MB.
const BlocksMax = 1024

// cache is the reported content of one target's prefix cache.
type cache struct {
	prefix.Contents
	// seq is the sequence number of the last report; trusted is false from a gap until a reset.
	seq     ident.Seq
	trusted bool
}

func newCache(size int) cache { return cache{Contents: prefix.NewContents(size), trusted: true} }

// applyCache applies a trusted cache report of a target.
func (pl *pool) applyCache(t *target, r *wire.Cache) {
	for _, b := range r.Removed {
		if t.cache.Remove(b) {
			pl.removeHolder(t, b)
		}
	}
	for _, b := range r.Added {
		if t.cache.Has(b) {
			continue
		}
		if old, ok := t.cache.Add(b); ok {
			pl.removeHolder(t, old)
		}
		pl.addHolder(t, b)
	}
}

// removeFromIndex removes a target from the index of block holders.
func (pl *pool) removeFromIndex(t *target) {
	for b := range t.cache.All() {
		pl.removeHolder(t, b)
	}
}

// addHolder records the target as a holder of a block; when the list is full, the oldest holder is replaced.
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

// longestPrefixHolders returns the holders of the longest cached prefix of the blocks.
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
