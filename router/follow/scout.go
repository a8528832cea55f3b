package follow

import (
	"context"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
)

// Seed returns the objects of a kind as another router knows them, and the revision from which to watch; ok is false if
// they have to be listed.
type Seed func(ctx context.Context) (l []store.Object, rev store.Rev, ok bool)

// Pacer is a store whose watch calls take longer or shorter by mode, and whose long lists can begin at another router.
type Pacer interface {
	// SetWatchMode sets the mode. Calls that wait longer than it allows are made again.
	SetWatchMode(m scout.Mode)
	// SetSeed sets where long lists of a kind are read.
	SetSeed(kind string, f Seed)
	// Confirmed returns the revision up to which all changes of a kind were reported; empty before the first list.
	Confirmed(kind string) store.Rev
}

// ScoutInterval is the interval at which the scouts are chosen and their claims are checked, below the time after
// which a lost scout has to be replaced.
const ScoutInterval = 250 * time.Millisecond

// Own is what a router knows of itself.
type Own struct {
	// Rank orders the routers, alike at all of them.
	Rank uint64
	// Reachable is true while the router reaches the store.
	Reachable bool
	// Position is what the router knows of the objects of Kind, whose changes have to be noticed by all routers.
	Kind     string
	Position scout.Position
}

// Scout chooses the mode of the watches, and lists the objects of own.Kind again if a scout knows of changes that the
// own watch did not report.
func (f *Follower) Scout(now time.Time, own Own, peers []scout.Peer) {
	if f.pacer == nil {
		return
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if m := scout.ModeOf(own.Rank, own.Reachable, peers); m != f.mode {
		f.log.Log(event.WatchModeChanged, "mode", m, "before", f.mode, "near", len(peers))
		f.mode = m
		f.pacer.SetWatchMode(m)
	}
	if f.mode != scout.Follower {
		return
	}
	if p, ok := f.lag.Check(now, own.Position, peers); ok {
		f.log.Log(event.WatchBehind, "peer", p.ID, "rev", own.Position.Rev, "objects", own.Position.Count, "newer", p.Position.Rev, "there", p.Position.Count)
		f.restart(own.Kind)
	}
}

// Mode returns the mode of the watches.
func (f *Follower) Mode() scout.Mode {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.mode
}

// Listed logs the peers that claimed a later revision than the store had at the time of a list.
func (f *Follower) Listed(asOf store.Rev, peers []scout.Peer) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, p := range f.lag.Listed(asOf, peers) {
		f.log.Log(event.PeerRejected, "peer", p.ID, "rev", asOf, "claimed", p.Position.Rev)
	}
}
