package direct

import (
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// use says how a version that no order names is used.
type versionUse uint8

const (
	// used versions get requests.
	used versionUse = iota
	// strange versions get none until the orders were read after they were first seen.
	unverified
	// barred versions were taken back, and get none until they are ordered again.
	barred
)

// version is what is known of a version that no order names.
type versionState struct {
	use versionUse
	// seen is the time at which it was first seen.
	firstSeen time.Time
}

// mayUse reports whether a target gets requests at all; r.mu is held.
func (r *Router) usable(t fleet.Target) bool {
	return r.versions[t.Service][t.Version].use == used && r.cell.Contains(t.ID, r.targetCounts[t.Service])
}

// meet takes in that a target is up; r.mu is held. A version that comes beside others may be on trial, and its
// targets may be seen before the order is.
func (r *Router) observeVersion(t fleet.Target) {
	if m, ok := r.rollouts[t.Service]; ok && t.Version == m.Request().To {
		m.warmAt[t.ID] = time.Now().Add(t.ColdRemaining)
		return
	}
	vs := r.serviceVersions(t.Service)
	if _, ok := vs[t.Version]; ok {
		return
	}
	if len(vs) == 0 {
		vs[t.Version] = versionState{use: used}
		return
	}
	vs[t.Version] = versionState{use: unverified, firstSeen: time.Now()}
	select {
	case r.relist <- struct{}{}:
	default: // a list is asked for already
	}
}

// uses returns the versions of a service; r.mu is held.
func (r *Router) serviceVersions(s ident.Service) map[ident.Version]versionState {
	vs := r.versions[s]
	if vs == nil {
		vs = map[ident.Version]versionState{}
		r.versions[s] = vs
	}
	return vs
}

// settleVersions lets strange versions be used that were seen before the reading of the orders began; r.mu is not
// held.
func (r *Router) verifyVersions(began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, vs := range r.versions {
		changed := false
		for v, u := range vs {
			if u.use == unverified && u.firstSeen.Before(began) {
				changed, vs[v] = true, versionState{use: used}
			}
		}
		if changed {
			r.updatePool(s)
		}
	}
}

// regroup puts the targets of a service into the pool anew; r.mu is held.
func (r *Router) updatePool(s ident.Service) {
	p := r.table.Load()
	for _, t := range r.targets {
		switch {
		case t.Service != s || t.Leaving:
		case r.usable(t):
			r.pool(s).Update(r.poolTarget(t, p))
		default:
			r.pool(s).Drain(t.ID)
		}
	}
	r.schedule(time.Now(), r.pool(s))
}
