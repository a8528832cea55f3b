package direct

import (
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/follow"
)

// WithWatchPacer makes the router set the mode of the watches of its store.
func WithWatchPacer(p follow.Pacer) Option { return func(r *Router) { r.pacer = p } }

// followScouts passes what this router and its peers know of the registrations of targets to the follower; r.mu is held.
func (r *Router) followScouts(now time.Time) {
	own := follow.Own{
		Rank: rankOf(r.cfg.Name), Reachable: r.storeReachable.Load(), Kind: r.catalogue.TargetKind(),
		Position: scout.Position{Rev: r.targetRev, Count: len(r.targetObjects)},
	}
	r.follower.Scout(now, own, r.scoutPeers(now))
}

// scoutPeers returns the routers of the own cell that were heard lately; r.mu is held.
func (r *Router) scoutPeers(now time.Time) (out []scout.Peer) {
	for id, p := range r.peers {
		if !p.otherCell && p.up && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			out = append(out, scout.Peer{ID: id, Rank: p.phase, Reachable: p.storeReachable, Position: p.position})
		}
	}
	return out
}

// recordTargetRev records the revision of a registration that was read from the store; r.mu is held.
func (r *Router) recordTargetRev(rev store.Rev) {
	if r.targetRev == "" || store.Before(r.targetRev, rev) {
		r.targetRev = rev
	}
}

// recordTargetChange applies a change that the own watch reported, unless scouts passed it on before.
func (r *Router) recordTargetChange(c store.Change) {
	r.mu.Lock()
	covered := r.feed.Covered(c)
	if !covered {
		r.feed.Record(time.Now(), r.targetRev, c)
	}
	r.mu.Unlock()
	if !covered {
		r.applyTargetChange(c)
	}
}

func (r *Router) applyTargetChange(c store.Change) {
	r.updateTargetObject(c)
	t, ok := fleet.Target{}, false
	if !c.Deleted {
		t, ok = r.decodeTarget(c.Object)
	}
	r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
		if ok {
			return f.Put(t)
		}
		return f.Remove(time.Now(), ident.TargetID(c.Object.Name))
	})
}

// addChanges adds the latest changes of registrations to the heartbeats of a scout; r.mu is held.
func (r *Router) addChanges(now time.Time, m *wire.Heartbeat) {
	if r.follower.Mode() != scout.Scout {
		return
	}
	since, l := r.feed.Recent(now)
	m.ChangesSince = string(since)
	for _, c := range l {
		h := wire.HeartbeatChange{Name: c.Object.Name, Rev: string(c.Object.Rev), Deleted: c.Deleted}
		if !c.Deleted {
			h.Value = c.Object.Value
		}
		m.Changes = append(m.Changes, h)
	}
}

// mergeChanges applies the changes of registrations that a scout passes on, if this router is a follower.
func (r *Router) mergeChanges(b *wire.Heartbeat) {
	if len(b.Changes) == 0 || b.Process == r.cfg.Name || !b.StoreReachable || r.follower.Mode() != scout.Follower {
		return
	}
	l := make([]store.Change, 0, len(b.Changes))
	for _, h := range b.Changes {
		o := store.Object{Kind: r.catalogue.TargetKind(), Name: h.Name, Rev: store.Rev(h.Rev), Value: h.Value}
		l = append(l, store.Change{Object: o, Deleted: h.Deleted})
	}
	r.mu.Lock()
	confirmed := store.Rev("")
	for _, p := range r.scoutPeers(time.Now()) {
		if p.ID != b.Process && p.Reachable && (confirmed == "" || store.Before(confirmed, p.Position.Rev)) {
			confirmed = p.Position.Rev
		}
	}
	l = r.feed.Fresh(r.targetRev, store.Rev(b.ChangesSince), confirmed, l)
	r.mu.Unlock()
	for _, c := range l {
		r.applyTargetChange(c)
	}
}
