package active

import (
	"encoding/json"
	"math/rand/v2"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
)

// KindVMList is the kind of gossip entries with the platform's list of VMs, as a watcher read it; the key is the
// region of the watcher.
const KindVMList = "vms"

// KindLoaded is the kind of gossip entries with the version that a target reports; the key is the target.
const KindLoaded = "loaded"

// NewTable returns the table of gossip entries of a daemon. It ranks the values of the kinds that have a single
// value across all origins: the configuration by its generation, the list of VMs by the time at which it was
// read. Recorded conclusions never change, so all have the same rank.
func NewTable(self ident.ProcessID, boot ident.Boot, rnd *rand.Rand) *facts.Gossiper {
	return facts.New(self, boot, rnd,
		facts.WithRank(facts.KindConfig, configRank),
		facts.WithRank(KindVMList, vmListRank),
		facts.WithRank(KindRecord, func([]byte) (uint64, bool) { return 1, true }),
	)
}

// configRank returns the generation of an encoded configuration.
func configRank(value []byte) (uint64, bool) {
	var v struct {
		Generation uint64 `json:"generation"`
	}
	err := json.Unmarshal(value, &v)
	return v.Generation, err == nil && v.Generation > 0
}

// vmListRank returns the time at which an encoded list of VMs was read.
func vmListRank(value []byte) (uint64, bool) {
	var v struct {
		At uint64 `json:"at"`
	}
	err := json.Unmarshal(value, &v)
	return v.At, err == nil && v.At > 0
}
