package pick

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// holdersMax bounds the targets remembered per block. A block that more targets hold is found at
	// the random members as well.
	holdersMax = 3
	// typicalFade is the part of the pool's typical speeds that is kept with each report.
	typicalFade = 0.95
)

type poolKey struct {
	service ident.Service
	version ident.Version
}

// pool holds the targets that run one version of a service.
type pool struct {
	// own and far hold the usable targets of the router's region and of the others.
	own []*target
	far []*target
	// size counts all members, usable or not.
	size int
	// holders names targets that hold a block.
	holders map[ident.Block][holdersMax]*target
	spread  spread
	// prefill and drain are typical speeds, for targets of which nothing is learnt.
	prefill float64
	drain   float64
}

// join adds a target to the pool of its service and version.
func (p *Picker) join(t *target) {
	k := poolKey{t.Service, t.Version}
	if p.pools[k] == nil {
		p.pools[k] = &pool{holders: map[ident.Block][holdersMax]*target{}, spread: spread{}}
	}
	t.pool = p.pools[k]
	t.pool.size++
	t.remote = t.Region != p.region
	t.slot = -1
	for i, b := range t.cache.ring {
		if at, ok := t.cache.held[b]; ok && at == i {
			t.pool.hold(t, b)
		}
	}
	p.place(t)
}

// leave removes a target from its pool, and the pool when it was the last.
func (p *Picker) leave(t *target) {
	t.pool.unlist(t)
	t.pool.forget(t)
	if t.pool.size--; t.pool.size == 0 {
		delete(p.pools, poolKey{t.Service, t.Version})
	}
}

// place lists the target exactly when it is usable. One that becomes usable again is admitted gently.
func (p *Picker) place(t *target) {
	switch listed := t.slot >= 0; {
	case listed && !t.usable():
		t.pool.unlist(t)
		t.trust = min(t.trust, trustAgain)
	case !listed && t.usable():
		l := t.pool.list(t)
		t.slot = len(*l)
		*l = append(*l, t)
	}
}

func (pl *pool) list(t *target) *[]*target {
	if t.remote {
		return &pl.far
	}
	return &pl.own
}

func (pl *pool) unlist(t *target) {
	if t.slot < 0 {
		return
	}
	l := pl.list(t)
	last := len(*l) - 1
	(*l)[t.slot] = (*l)[last]
	(*l)[t.slot].slot = t.slot
	(*l)[last] = nil
	*l = (*l)[:last]
	t.slot = -1
}

// learn takes the typical speeds from a report.
func (pl *pool) learn(l *wire.Load) {
	pl.prefill = blend(pl.prefill, l.PrefillRate)
	pl.drain = blend(pl.drain, l.DrainRate)
}

func blend(old, v float64) float64 {
	switch {
	case v <= 0:
		return old
	case old <= 0:
		return v
	}
	return old*typicalFade + v*(1-typicalFade)
}
