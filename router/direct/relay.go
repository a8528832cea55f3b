package direct

import (
	"context"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/router/follow"
	"hickoryvane.example/router/relay"
)

const (
	// relayInterval is the interval at which a router that lacks data asks another router for it, well below
	// the time within which a change has to be in force.
	relayInterval = 250 * time.Millisecond
	// joinTime limits the time for which a router that starts waits for the other routers' configurations, and
	// joinInterval is the interval at which it looks for them.
	joinTime     = 500 * time.Millisecond
	joinInterval = 20 * time.Millisecond
	// lagMax is the time for which another router may have a newer configuration before it is asked for it.
	// Normally the store delivers a change to all routers within some ten milliseconds of each other.
	lagMax = 400 * time.Millisecond
	// failedSourceTime is the time for which a router whose snapshot could not be read is asked only if there is no other.
	failedSourceTime = 2 * time.Second
)

// replaceTargetObjects replaces the registrations of targets that are kept for snapshots by those of a list.
func (r *Router) replaceTargetObjects(l []store.Object, asOf store.Rev) {
	r.mu.Lock()
	defer r.mu.Unlock()
	clear(r.targetObjects)
	r.feed.Reset()
	for _, o := range l {
		r.keepTargetObject(o)
	}
	r.follower.Listed(asOf, r.scoutPeers(time.Now()))
}

// updateTargetObject applies a change of one registration to those kept for snapshots.
func (r *Router) updateTargetObject(c store.Change) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c.Deleted {
		r.recordTargetRev(c.Object.Rev)
		delete(r.targetObjects, c.Object.Name)
		return
	}
	r.keepTargetObject(c.Object)
}

// keepTargetObject keeps a registration for snapshots, unless not even its name could be read; r.mu is held.
func (r *Router) keepTargetObject(o store.Object) {
	if o.Name == "" {
		return
	}
	r.recordTargetRev(o.Rev)
	r.targetObjects[o.Name] = o
}

// snapshot returns what this router knows of the store, for other routers; ok is false before it has a configuration.
func (r *Router) snapshot(targets bool) (s relay.Snapshot, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Config = r.configObject
	if targets {
		s.Targets, s.TargetRev, s.NewestTarget = make([]store.Object, 0, len(r.targetObjects)), r.targetsAsOf(), r.targetRev
		for _, o := range r.targetObjects {
			s.Targets = append(s.Targets, o)
		}
	}
	for _, m := range r.rollouts {
		if m.object.Name != "" {
			s.Rollouts = append(s.Rollouts, m.object)
		}
	}
	return s, s.Config.Name != ""
}

// relaySnapshots reads the snapshot of another router while the store cannot be reached or delivers its changes
// late.
func (r *Router) relaySnapshots(ctx context.Context) error {
	r.join(ctx)
	for ctx.Err() == nil {
		follow.Pause(ctx, relayInterval)
		now := time.Now()
		admin, newer := r.snapshotSource(now)
		behind := r.observeNewer(now, newer)
		if admin == "" || r.storeReachable.Load() && r.table.Load() != nil && behind < lagMax {
			continue
		}
		if err := r.fetchSnapshot(ctx, admin); err != nil {
			r.recordNotRead(now, admin, err)
		}
	}
	return nil
}

// observeNewer records whether a peer has a newer configuration, and returns for how long one has had it.
func (r *Router) observeNewer(now time.Time, newer bool) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !newer {
		r.behindSince = time.Time{}
	} else if r.behindSince.IsZero() {
		r.behindSince = now
	}
	return r.behindFor(now)
}

// recordNotRead records that a snapshot could not be read, and logs it, as a warning if its configuration is needed.
func (r *Router) recordNotRead(now time.Time, admin string, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failedSources[admin] = now
	behind, newest := r.behindFor(now), ident.Generation(0)
	if behind == 0 {
		r.log.Log(event.PeerUnreachable, "peer", admin, "error", err)
		return
	}
	for _, p := range r.peers {
		newest = max(newest, p.generation)
	}
	r.log.Log(event.ConfigBehind, "peer", admin, "newer", newest, "behind", behind, "error", err)
}

// join waits until all registered routers were heard, but not longer than joinTime, and takes over a configuration that
// is newer than the store's: a store that was restored from an older copy may have an older one than routers that run.
func (r *Router) join(ctx context.Context) {
	jctx, cancel := context.WithTimeout(ctx, joinTime)
	defer cancel()
	for jctx.Err() == nil {
		follow.Pause(jctx, joinInterval)
		now := time.Now()
		if admin, newer := r.snapshotSource(now); newer {
			if err := r.fetchSnapshot(jctx, admin); err != nil {
				r.recordNotRead(now, admin, err)
			}
			continue
		}
		if r.table.Load() != nil && r.heardAll() {
			break
		}
	}
	r.joined.Store(true)
	r.logReady()
}

// heardAll reports whether the routers were listed and each of them has told its configuration.
func (r *Router) heardAll() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.peers {
		if p.generation == 0 {
			return false
		}
	}
	return r.routersListed
}

// snapshotSource returns the admin address of the best router to ask, and whether that router has a newer
// configuration. A router that has a configuration can help a new process also without the store.
func (r *Router) snapshotSource(now time.Time) (admin string, newer bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	table := r.table.Load()
	var best *peer
	for _, x := range r.peers {
		if x.admin == "" || x.generation == 0 || now.Sub(x.lastSeen) >= r.peerTimeout(x) {
			continue
		}
		if !x.storeReachable && table != nil && r.targetsListed.Load() && x.generation <= table.Generation {
			continue
		}
		if best == nil || r.betterSource(now, x, best) {
			best = x
		}
	}
	if best == nil {
		return "", false
	}
	return best.admin, table == nil || best.generation > table.Generation
}

// betterSource reports whether a snapshot of x is better than one of y. A router that reads the targets from the store
// itself needs the newest configuration only. Of equal ones, those that did not fail lately are better, and then the
// nearer ones, as links between regions are slow; r.mu is held.
func (r *Router) betterSource(now time.Time, x, y *peer) bool {
	if x.generation != y.generation && (r.storeReachable.Load() || x.storeReachable == y.storeReachable) {
		return x.generation > y.generation
	}
	if x.storeReachable != y.storeReachable {
		return x.storeReachable
	}
	if a, b := r.failedLately(now, x), r.failedLately(now, y); a != b {
		return b
	}
	return r.distance(x) < r.distance(y)
}

// failedLately reports whether the snapshot of a peer could not be read lately; r.mu is held.
func (r *Router) failedLately(now time.Time, p *peer) bool {
	at, ok := r.failedSources[p.admin]
	if ok && now.Sub(at) >= failedSourceTime {
		delete(r.failedSources, p.admin)
		ok = false
	}
	return ok
}

// distance orders peers: those of the own data centre, of the own region, and the others.
func (r *Router) distance(p *peer) int {
	switch {
	case p.centre == r.cfg.Centre:
		return 0
	case p.region == r.cfg.Region:
		return 1
	}
	return 2
}

// fetchSnapshot reads the snapshot of another router and applies it as data that is older than the store's.
func (r *Router) fetchSnapshot(ctx context.Context, admin string) (err error) {
	began := time.Now()
	s, err := r.snapshots.Fetch(ctx, admin, !r.storeReachable.Load()) // the registrations of the store are newer
	if err != nil {
		return err
	}
	r.applyConfig(s.Config, admin)
	for _, o := range s.Rollouts {
		r.applyRollout(o, admin)
	}
	r.verifyVersions(began)
	if s.Targets == nil || r.storeReachable.Load() {
		return nil // the store has answered, and its list is newer
	}
	list := r.decodeTargets(s.Targets)
	r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
		events := f.ApplyList(time.Now(), list)
		f.StoreUnreachable()
		return events
	})
	if !r.targetsListed.Swap(true) {
		r.logReady()
		r.log.Log(event.StoreReadFromPeer, "peer", admin, "targets", len(list), "rev", s.Config.Rev)
	}
	return nil
}
