package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
)

// WatchPacer is a store whose watch calls take longer or shorter by mode.
type WatchPacer interface {
	SetWatchMode(m scout.Mode)
}

// WithWatchPacer makes the router set the mode of the watches of its store.
func WithWatchPacer(p WatchPacer) Option { return func(r *Router) { r.pacer = p } }

// scoutInterval is the interval at which the scouts are chosen and their claims are checked, below the time after
// which a lost scout has to be replaced.
const scoutInterval = 250 * time.Millisecond

// followScouts chooses the mode of the watches, and lists the registrations of targets again if a scout knows of
// changes that the own watch did not report; r.mu is held.
func (r *Router) followScouts(now time.Time) {
	if r.pacer == nil {
		return
	}
	peers := r.scoutPeers(now)
	if m := scout.ModeOf(rankOf(r.cfg.Name), r.storeReachable.Load(), peers); m != r.watchMode {
		r.log.Log(event.WatchModeChanged, "mode", m, "before", r.watchMode, "near", len(peers))
		r.watchMode = m
		r.pacer.SetWatchMode(m)
		if m != scout.Follower { // the calls in progress may last long
			kind, _ := r.catalogue.ConfigObject()
			r.restartWatch(kind)
			r.restartWatch(r.catalogue.TargetKind())
			r.restartWatch(r.catalogue.EvacuationKind())
		}
	}
	if r.watchMode != scout.Follower {
		return
	}
	if p, ok := r.lag.Check(now, r.targetPosition(), peers); ok {
		r.log.Log(event.WatchBehind, "peer", p.ID, "rev", r.targetRev, "objects", len(r.targetObjects), "newer", p.Position.Rev, "there", p.Position.Count)
		r.restartWatch(r.catalogue.TargetKind())
	}
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

// targetPosition returns what this router knows of the registrations of targets; r.mu is held.
func (r *Router) targetPosition() scout.Position {
	return scout.Position{Rev: r.targetRev, Count: len(r.targetObjects)}
}

// recordTargetRev records the revision of a registration that was read from the store; r.mu is held.
func (r *Router) recordTargetRev(rev store.Rev) {
	if r.targetRev == "" || store.Before(r.targetRev, rev) {
		r.targetRev = rev
	}
}

// reportWrongClaims logs the routers that claimed a later revision than the store had at the time of a list; r.mu is
// held.
func (r *Router) reportWrongClaims(asOf store.Rev) {
	for _, p := range r.lag.Listed(asOf, r.scoutPeers(time.Now())) {
		r.log.Log(event.PeerRejected, "peer", p.ID, "rev", asOf, "claimed", p.Position.Rev)
	}
}
