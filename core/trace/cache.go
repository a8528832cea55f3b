package trace

import (
	"container/list"

	"hickoryvane.example/core/ident"
)

// blockTokens is the length of a prompt block in tokens.
const blockTokens = ident.BlockBytes / ident.TokenBytes

// prefixes is the prefix cache of an engine: the blocks used last.
type prefixCache struct {
	blocksMax int
	lru       *list.List
	elements  map[ident.Block]*list.Element
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{blocksMax: size, lru: list.New(), elements: map[ident.Block]*list.Element{}}
}

// match returns the number of leading tokens of a prompt that are cached, and marks them as used.
func (p *prefixCache) match(blocks []ident.Block) (n ident.Tokens) {
	for _, b := range blocks {
		e, ok := p.elements[b]
		if !ok {
			break
		}
		p.lru.MoveToFront(e)
		n += blockTokens
	}
	return n
}

// add stores the blocks of a prompt and returns which entered and which left.
func (p *prefixCache) add(blocks []ident.Block) (added, removed []ident.Block) {
	for _, b := range blocks {
		if e, ok := p.elements[b]; ok {
			p.lru.MoveToFront(e)
			continue
		}
		p.elements[b] = p.lru.PushFront(b)
		added = append(added, b)
	}
	for p.lru.Len() > p.blocksMax {
		b := p.lru.Remove(p.lru.Back()).(ident.Block)
		delete(p.elements, b)
		removed = append(removed, b)
	}
	return added, removed
}
