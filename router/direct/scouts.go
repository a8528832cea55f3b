package direct

import (
	"time"

	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/router/follow"
)

// WithWatchPacer makes the router set the mode of the watches of its store.
func WithWatchPacer(p follow.Pacer) Option { return func(r *Router) { r.pacer = p } }

// followScouts passes what this router and its peers know of the registrations of targets to the follower; r.mu is held.
func (r *Router) followScouts(now time.Time) {
	kind, _ := r.catalogue.ConfigObject()
	own := follow.Own{
		Rank: rankOf(r.cfg.Name), Reachable: r.storeReachable.Load(), Kind: r.catalogue.TargetKind(),
		Position: scout.Position{Rev: r.targetRev, Count: len(r.targetObjects)},
	}
	r.follower.Scout(now, own, r.scoutPeers(now), kind)
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
