package pick

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// holdersMax bounds the targets recorded per block. A block that more targets hold is likely to be found at
	// the random samples as well.
	holdersMax = 3
	// typicalDecay is the factor by which the pool's typical rates decay with each report.
	typicalDecay = 0.95
)

type poolKey struct {
	service ident.Service
	version ident.Version
}

// pool holds the targets that run one version of a service.
type pool struct {
	// local and remote hold the usable targets of the router's region and of the other regions.
	local  []*target
	remote []*target
	// size counts all targets of the pool, usable or not.
	size int
	// holders lists targets whose cache holds a block.
	holders map[ident.Block][holdersMax]*target
	turns   turnCounts
	// prefillRate and drainRate are typical rates in tokens per second, used for targets without a known rate.
	prefillRate float64
	drainRate   float64
}

// addToPool adds a target to the pool of its service and version.
func (p *Picker) addToPool(t *target) {
	k := poolKey{t.Service, t.Version}
	if p.pools[k] == nil {
		p.pools[k] = &pool{holders: map[ident.Block][holdersMax]*target{}, turns: turnCounts{}}
	}
	t.pool = p.pools[k]
	t.pool.size++
	t.remote = t.Region != p.region
	t.listIndex = -1
	for b := range t.cache.All() {
		t.pool.addHolder(t, b)
	}
	p.updateListing(t)
}

// removeFromPool removes a target from its pool, and deletes the pool when it is empty.
func (p *Picker) removeFromPool(t *target) {
	t.pool.unlist(t)
	t.pool.removeFromIndex(t)
	if t.pool.size--; t.pool.size == 0 {
		delete(p.pools, poolKey{t.Service, t.Version})
	}
}

// updateListing lists the target exactly when it is usable. A target that becomes unusable has its trust reduced,
// so that it gets few requests at first when it is listed again.
func (p *Picker) updateListing(t *target) {
	switch listed := t.listIndex >= 0; {
	case listed && !t.usable():
		t.pool.unlist(t)
		t.trust = min(t.trust, trustReadmitted)
	case !listed && t.usable():
		l := t.pool.usableList(t)
		t.listIndex = len(*l)
		*l = append(*l, t)
	}
}

func (pl *pool) usableList(t *target) *[]*target {
	if t.remote {
		return &pl.remote
	}
	return &pl.local
}

func (pl *pool) unlist(t *target) {
	if t.listIndex < 0 {
		return
	}
	l := pl.usableList(t)
	last := len(*l) - 1
	(*l)[t.listIndex] = (*l)[last]
	(*l)[t.listIndex].listIndex = t.listIndex
	(*l)[last] = nil
	*l = (*l)[:last]
	t.listIndex = -1
}

// updateTypicalRates averages the rates of a report into the typical rates of the pool.
func (pl *pool) updateTypicalRates(l *wire.Load) {
	pl.prefillRate = decayingAverage(pl.prefillRate, l.PrefillRate)
	pl.drainRate = decayingAverage(pl.drainRate, l.DrainRate)
}

func decayingAverage(old, v float64) float64 {
	switch {
	case v <= 0:
		return old
	case old <= 0:
		return v
	}
	return old*typicalDecay + v*(1-typicalDecay)
}
