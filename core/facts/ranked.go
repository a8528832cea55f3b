package facts

import (
	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Ranked returns a fact of a ranked sort for a process without a table of its own. Two values of the same
// rank are ordered by their hash, which stands in place of the boot.
func NewRankedEntry(sort, key string, origin ident.ProcessID, rank uint64, value []byte) wire.GossipEntry {
	return wire.GossipEntry{
		Kind: sort, Key: key, Origin: origin, Boot: ident.Boot(xxhash.Sum64(value)), Seq: rank, Value: value,
	}
}
