package facts

import (
	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// NewRankedEntry returns an entry of a ranked kind for a process without a Gossiper of its own. Two values of
// the same rank are ordered by their hash, which is stored in Boot.
func NewRankedEntry(kind, key string, origin ident.ProcessID, rank uint64, value []byte) wire.GossipEntry {
	return wire.GossipEntry{
		Kind: kind, Key: key, Origin: origin, Boot: ident.Boot(xxhash.Sum64(value)), Seq: rank, Value: value,
	}
}
