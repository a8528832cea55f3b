package direct

import (
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// versionUse states how a version that is not being rolled out is used.
type versionUse uint8

const (
	// used versions receive requests. It is the zero value, so that it holds for a version that is being rolled
	// out, too; canaryOnly restricts the requests of that one.
	used versionUse = iota
	// unverified versions receive none until the rollout requests have been read after the version was first
	// seen.
	unverified
	// barred versions were rolled back, and receive none until a new rollout of them is requested.
	barred
)

// versionState is the state of a version that is not being rolled out.
type versionState struct {
	use versionUse
	// firstSeen is the time at which a target of the version was first seen.
	firstSeen time.Time
}

// usable reports whether a target receives requests at all: its version is in use, and it is in this router's
// cell; r.mu is held.
func (r *Router) usable(t fleet.Target) bool {
	return r.versions[t.Service][t.Version].use == used && r.cell.Contains(t.ID, r.targetCounts[t.Service])
}

// observeVersion records the version of a target that is up; r.mu is held. A version that appears beside others
// may be a canary version, whose targets may be seen before the rollout request is.
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
	default: // a list is already requested
	}
}

// serviceVersions returns the versions of a service that are not being rolled out; r.mu is held.
func (r *Router) serviceVersions(s ident.Service) map[ident.Version]versionState {
	vs := r.versions[s]
	if vs == nil {
		vs = map[ident.Version]versionState{}
		r.versions[s] = vs
	}
	return vs
}

// verifyVersions allows the use of unverified versions that were first seen before began, the time at which the
// rollout requests were last listed; r.mu is not held.
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

// updatePool updates the targets of a service in its pool; r.mu is held.
func (r *Router) updatePool(s ident.Service) {
	table := r.table.Load()
	for _, t := range r.targets {
		switch {
		case t.Service != s || t.Leaving:
		case r.usable(t):
			r.pool(s).Update(r.poolTarget(t, table))
		default:
			r.pool(s).Drain(t.ID)
		}
	}
	r.schedule(time.Now(), r.pool(s))
}
