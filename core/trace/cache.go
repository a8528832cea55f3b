package trace

import (
	"container/list"

	"hickoryvane.example/core/ident"
)

// blockTokens is the length of a prompt block in tokens.
const blockTokens = ident.BlockBytes / ident.TokenBytes

// prefixes is the prefix cache of an engine: the blocks used last.
type prefixes struct {
	size  int
	order *list.List
	at    map[ident.Block]*list.Element
}

func newPrefixes(size int) *prefixes {
	return &prefixes{size: size, order: list.New(), at: map[ident.Block]*list.Element{}}
}

// match returns the number of leading tokens of a prompt that are cached, and marks them as used.
func (p *prefixes) match(blocks []ident.Block) (n ident.Tokens) {
	for _, b := range blocks {
		e, ok := p.at[b]
		if !ok {
			break
		}
		p.order.MoveToFront(e)
		n += blockTokens
	}
	return n
}

// add stores the blocks of a prompt and returns which entered and which left.
func (p *prefixes) add(blocks []ident.Block) (added, removed []ident.Block) {
	for _, b := range blocks {
		if e, ok := p.at[b]; ok {
			p.order.MoveToFront(e)
			continue
		}
		p.at[b] = p.order.PushFront(b)
		added = append(added, b)
	}
	for p.order.Len() > p.size {
		b := p.order.Remove(p.order.Back()).(ident.Block)
		delete(p.at, b)
		removed = append(removed, b)
	}
	return added, removed
}
