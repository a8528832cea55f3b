package poison

import (
	"slices"
	"strconv"
	"time"

	"hickoryvane.example/core/ident"
)

// Entry is what one process publishes to the others by gossip; one of its fields is set.
type Entry struct {
	Crash *Crash `json:",omitempty"`
	Pass  *Pass  `json:",omitempty"`
	Block *Block `json:",omitempty"`
}

// Key identifies the subject of an entry; a newer entry replaces an older one with the same key.
func (e Entry) Key() string {
	number := func(n uint64) string { return strconv.FormatUint(n, 16) }
	switch {
	case e.Crash != nil:
		return "crash/" + string(e.Crash.Target) + "/" + number(uint64(e.Crash.At.UnixNano()))
	case e.Pass != nil:
		return "pass/" + number(uint64(e.Pass.Feature))
	case e.Block != nil:
		key := "block"
		for _, f := range e.Block.Features {
			key += "/" + number(uint64(f))
		}
		return key
	}
	return ""
}

// MergeEntry applies an entry of another process.
func (d *Detector) MergeEntry(now time.Time, e Entry) {
	switch {
	case e.Crash != nil:
		d.MergeCrash(*e.Crash)
	case e.Pass != nil:
		d.MergePass(e.Pass.Feature, e.Pass.At)
	case e.Block != nil:
		d.MergeBlock(now, *e.Block)
	}
}

// Accused returns those of the features that were running at more than one crash or are blocked.
func (d *Detector) Accused(features []ident.Fingerprint) (out []ident.Fingerprint) {
	for _, f := range features {
		if _, found := slices.BinarySearch(d.accused, f); found || d.inBlock(f) {
			out = append(out, f)
		}
	}
	return out
}

// blocksMax limits the blocks of a prompt that count as features, from its beginning.
const blocksMax = 32

// FeaturesOf returns the features of a request with the given content and blocks of its prompt.
func FeaturesOf(content ident.Fingerprint, blocks []ident.Block) []ident.Fingerprint {
	out := []ident.Fingerprint{content}
	for _, b := range blocks[:min(len(blocks), blocksMax)] {
		out = append(out, ident.Fingerprint(b))
	}
	return out
}
