package engine

import (
	"container/list"
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// blockTokens is the number of tokens in one block of the prefix cache.
	blockTokens ident.Tokens = ident.BlockBytes / ident.TokenBytes
	// eventsMax bounds the cache events kept for readers; a reader that falls behind further sees a gap.
	eventsMax = 1024
)

// CacheEvent is one change of the prefix cache.
type CacheEvent struct {
	Seq     ident.Seq     `json:"seq"`
	Added   []ident.Block `json:"added"`
	Removed []ident.Block `json:"removed"`

	at time.Time
}

// CacheContents is the complete content of the prefix cache after event Seq.
type CacheContents struct {
	Seq    ident.Seq     `json:"seq"`
	Blocks []ident.Block `json:"blocks"`
}

// prefixCache is a cache of prompt blocks that evicts the least recently used block.
type prefixCache struct {
	// sizeMax is the largest number of cached blocks.
	sizeMax int
	lru     *list.List // of ident.Block, the most recently used first
	index   map[ident.Block]*list.Element
	// seq is the number of the last event, published or lost.
	seq    ident.Seq
	events []CacheEvent
	// eventLoss is the share of events that are never published.
	eventLoss float64
	rnd       *rand.Rand
}

func newPrefixCache(sizeMax int, eventLoss float64, rnd *rand.Rand) *prefixCache {
	return &prefixCache{
		sizeMax: sizeMax, lru: list.New(), index: map[ident.Block]*list.Element{},
		eventLoss: eventLoss, rnd: rnd,
	}
}

// match returns the number of leading blocks that are cached, and marks them as used.
func (p *prefixCache) match(blocks []ident.Block) int {
	n := 0
	for n < len(blocks) && p.index[blocks[n]] != nil {
		n++
	}
	p.touch(blocks[:n])
	return n
}

// touch marks blocks as used. The first becomes the most recent, so that a chain of blocks is evicted from its end.
func (p *prefixCache) touch(blocks []ident.Block) {
	for i := len(blocks) - 1; i >= 0; i-- {
		p.lru.MoveToFront(p.index[blocks[i]])
	}
}

// add caches the blocks of one prompt and publishes the change as an event.
func (p *prefixCache) add(blocks []ident.Block, at time.Time) {
	blocks = blocks[:min(len(blocks), p.sizeMax)]
	e := CacheEvent{Added: []ident.Block{}, Removed: []ident.Block{}, at: at}
	for _, b := range blocks {
		if p.index[b] == nil {
			p.index[b] = p.lru.PushFront(b)
			e.Added = append(e.Added, b)
		}
	}
	p.touch(blocks)
	for p.lru.Len() > p.sizeMax {
		b := p.lru.Remove(p.lru.Back()).(ident.Block)
		delete(p.index, b)
		e.Removed = append(e.Removed, b)
	}
	if len(e.Added)+len(e.Removed) > 0 {
		p.publish(e)
	}
}

// publish numbers an event and keeps it for readers, except for the share that is to be lost.
func (p *prefixCache) publish(e CacheEvent) {
	p.seq++
	e.Seq = p.seq
	if p.rnd.Float64() < p.eventLoss {
		return
	}
	if len(p.events) == eventsMax {
		p.events = p.events[1:]
	}
	p.events = append(p.events, e)
}

// clear drops the contents and all kept events. It uses up one event number, so that readers see a gap.
func (p *prefixCache) clear() {
	p.lru.Init()
	clear(p.index)
	p.events = nil
	p.seq++
}

// eventsAfter returns the published events after seq that are not newer than asOf.
func (p *prefixCache) eventsAfter(seq ident.Seq, asOf time.Time) []CacheEvent {
	out := []CacheEvent{}
	for _, e := range p.events {
		if e.Seq > seq && !e.at.After(asOf) {
			out = append(out, e)
		}
	}
	return out
}

func (p *prefixCache) contents() CacheContents {
	c := CacheContents{Seq: p.seq, Blocks: make([]ident.Block, 0, p.lru.Len())}
	for e := p.lru.Front(); e != nil; e = e.Next() {
		c.Blocks = append(c.Blocks, e.Value.(ident.Block))
	}
	return c
}
