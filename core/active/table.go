package active

import (
	"encoding/json"
	"math/rand/v2"

	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
)

// SortList is the sort of facts that hold the platform's list of VMs, as a watcher read it; the key is the
// region of the watcher.
const KindVMList = "vms"

// SortLoaded is the sort of facts with the version that a target reports; the key is the target.
const KindLoaded = "loaded"

// NewTable returns the table of facts of a daemon, with the order of the sorts that have one value over
// all origins: the configuration by its generation, the list of VMs by the time of its reading, and the
// recorded ends, which never change.
func NewTable(self ident.ProcessID, boot ident.Boot, rnd *rand.Rand) *facts.Gossiper {
	return facts.New(self, boot, rnd,
		facts.WithRank(facts.KindConfig, configRank),
		facts.WithRank(KindVMList, vmListRank),
		facts.WithRank(KindRecord, func([]byte) (uint64, bool) { return 1, true }),
	)
}

func configRank(value []byte) (uint64, bool) {
	var v struct {
		Generation uint64 `json:"generation"`
	}
	err := json.Unmarshal(value, &v)
	return v.Generation, err == nil && v.Generation > 0
}

func vmListRank(value []byte) (uint64, bool) {
	var v struct {
		At uint64 `json:"at"`
	}
	err := json.Unmarshal(value, &v)
	return v.At, err == nil && v.At > 0
}
