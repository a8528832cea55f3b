package prefix

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// Part is a part of a prompt that other prompts may have in common.
type Part struct {
	ID ident.PromptPart
	// Tokens is the length of the part, not negative; zero if the caller does not state it.
	Tokens ident.Tokens
}

// String returns the id, for log lines.
func (p Part) String() string { return string(p.ID) }

// Link is a part in its chain.
type Link struct {
	// Block identifies the part with all parts before it.
	Block  ident.Block
	Tokens ident.Tokens
}

// Chain returns the links of the parts of a prompt, in their order.
func Chain(parts []Part) []Link {
	links := make([]Link, 0, len(parts))
	var before ident.Block
	for _, p := range parts {
		b := binary.LittleEndian.AppendUint64(make([]byte, 0, 64), uint64(before))
		before = ident.Block(xxhash.Sum64(append(b, p.ID...)))
		links = append(links, Link{Block: before, Tokens: p.Tokens})
	}
	return links
}
