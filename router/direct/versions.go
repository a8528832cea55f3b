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

// version is what is known of a version that no order names.
type version struct {
	use use
	// seen is the time at which it was first seen.
	seen time.Time
}

// mayUse reports whether a target gets requests at all; r.mu is held.
func (r *Router) mayUse(t fleet.Target) bool {
	return r.versions[t.Service][t.Version].use == used && r.cell.Holds(t.ID, r.sizes[t.Service])
}

// meet takes in that a target is up; r.mu is held. A version that comes beside others may be on trial, and its
// targets may be seen before the order is.
func (r *Router) meet(t fleet.Target) {
	if m, ok := r.moves[t.Service]; ok && t.Version == m.Request().To {
		m.warm[t.ID] = time.Now().Add(t.Cold)
		return
	}
	vs := r.uses(t.Service)
	if _, ok := vs[t.Version]; ok {
		return
	}
	if len(vs) == 0 {
		vs[t.Version] = version{use: used}
		return
	}
	vs[t.Version] = version{use: strange, seen: time.Now()}
	select {
	case r.strange <- struct{}{}:
	default: // a list is asked for already
	}
}

// uses returns the versions of a service; r.mu is held.
func (r *Router) uses(s ident.Service) map[ident.Version]version {
	vs := r.versions[s]
	if vs == nil {
		vs = map[ident.Version]version{}
		r.versions[s] = vs
	}
	return vs
}

// settleVersions lets strange versions be used that were seen before the reading of the orders began; r.mu is not
// held.
func (r *Router) settleVersions(began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, vs := range r.versions {
		changed := false
		for v, u := range vs {
			if u.use == strange && u.seen.Before(began) {
				changed, vs[v] = true, version{use: used}
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
			r.pool(s).Change(r.member(t, p))
		default:
			r.pool(s).Leave(t.ID)
		}
	}
	r.next(time.Now(), r.pool(s))
}
