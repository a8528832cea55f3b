package direct

import (
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// use says how a version that no order names is used.
type use uint8

const (
	// used versions get requests.
	used use = iota
	// strange versions get none until the orders were read after they were first seen.
	strange
	// barred versions were taken back, and get none until they are ordered again.
	barred
)

// mayUse reports whether a target gets requests at all; r.mu is held.
func (r *Router) mayUse(t fleet.Target) bool {
	return r.versions[t.Service][t.Version] == used && r.cell.Holds(t.ID, r.sizes[t.Service])
}

// meet takes in that a target is up; r.mu is held. A version that comes beside others may be on trial, and its
// targets may be seen before the order is.
func (r *Router) meet(t fleet.Target) {
	if m, ok := r.moves[t.Service]; ok && t.Version == m.Order().To {
		m.warm[t.ID] = time.Now().Add(t.Cold)
		return
	}
	vs := r.uses(t.Service)
	if _, ok := vs[t.Version]; ok {
		return
	}
	vs[t.Version] = used
	if len(vs) > 1 {
		vs[t.Version] = strange
		select {
		case r.strange <- struct{}{}:
		default: // a list is asked for already
		}
	}
}

// uses returns the versions of a service; r.mu is held.
func (r *Router) uses(s ident.Service) map[ident.Version]use {
	vs := r.versions[s]
	if vs == nil {
		vs = map[ident.Version]use{}
		r.versions[s] = vs
	}
	return vs
}

// settleVersions lets strange versions be used, as the orders were read; r.mu is not held.
func (r *Router) settleVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, vs := range r.versions {
		changed := false
		for v, u := range vs {
			if u == strange {
				changed, vs[v] = true, used
			}
		}
		if changed {
			r.regroup(s)
		}
	}
}

// regroup puts the targets of a service into the pool anew; r.mu is held.
func (r *Router) regroup(s ident.Service) {
	p := r.plan.Load()
	for _, t := range r.targets {
		switch {
		case t.Service != s || t.Leaving:
		case r.mayUse(t):
			r.pool(s).Put(r.member(t, p), false)
		default:
			r.pool(s).Leave(t.ID)
		}
	}
	r.next(time.Now(), r.pool(s))
}
