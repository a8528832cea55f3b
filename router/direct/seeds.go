package direct

import (
	"context"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/router/follow"
	"hickoryvane.example/router/relay"
)

const (
	// seedTime limits the time for which the first list of a process waits for that of another router. The first routers
	// of a region need up to two seconds for thousands of registrations. relistTime is the same for later lists, whose
	// changes have to be in force within some seconds.
	seedTime   = 4 * time.Second
	relistTime = time.Second
	// seedInterval is the interval at which it looks for one.
	seedInterval = 100 * time.Millisecond
)

// seedTargets returns the registrations of targets as a router of the region knows them. It is used for long lists only.
func (r *Router) seedTargets(ctx context.Context) (l []store.Object, rev store.Rev, ok bool) {
	limit := seedTime
	if r.targetsListed.Load() {
		limit = relistTime
	}
	for end := time.Now().Add(limit); time.Now().Before(end) && ctx.Err() == nil; follow.Pause(ctx, seedInterval) {
		admins, itself := r.seeders(time.Now())
		if itself {
			return nil, "", false
		}
		if len(admins) == 0 {
			continue
		}
		s, err := r.snapshots.Fetch(ctx, admins[r.intN(len(admins))], true)
		if err != nil || !r.usableSeed(s) {
			r.log.Log(event.SeedRejected, "rev", s.TargetRev, "targets", len(s.Targets), "error", err)
			continue
		}
		r.log.Log(event.Seeded, "rev", s.TargetRev, "targets", len(s.Targets))
		return s.Targets, s.TargetRev, true
	}
	return nil, "", false
}

// seeders returns the admin addresses of the routers whose registrations can be used; itself is true if this router has
// to list them.
func (r *Router) seeders(now time.Time) (admins []string, itself bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var heard []scout.Seeder
	for id, p := range r.peers {
		if p.up && !p.otherCell && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			heard = append(heard, scout.Seeder{ID: id, Rank: p.phase, Region: p.region, Listed: p.storeReachable && p.admin != "", Position: p.position})
		}
	}
	if scout.ListsItself(rankOf(r.cfg.Name), r.cfg.Region, heard) {
		return nil, true
	}
	for _, s := range scout.Seeders(r.cfg.Region, scout.Position{Rev: r.targetRev, Count: len(r.targetObjects)}, heard) {
		admins = append(admins, r.peers[s.ID].admin)
	}
	return admins, false
}

// usableSeed reports whether a snapshot has registrations from which a watch can go on, and all that this router has read.
func (r *Router) usableSeed(s relay.Snapshot) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(s.Targets) > 0 && s.TargetRev != "" && !store.Before(s.NewestTarget, r.targetRev)
}

// intN returns a random number below n.
func (r *Router) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rnd.IntN(n)
}

// targetsAsOf returns the revision up to which this router knows all registrations, empty if it cannot tell; r.mu is held.
// targetRev is no such revision: the pages of a list are read one after the other.
func (r *Router) targetsAsOf() store.Rev {
	if r.pacer == nil {
		return ""
	}
	return r.pacer.Confirmed(r.catalogue.TargetKind())
}
