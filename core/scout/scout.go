// Package scout decides how a router of a larger deployment follows the registrations and the configuration in the
// platform's store. Router (router/direct) passes it what its peers report, and gets the mode of its own watches and
// whether to list again.
//
// Load pattern: calls of the store are counted and priced, and a watch call has to end often because a connection can
// go silent without being closed. If every router does that, the calls grow with the routers. So a few scouts among
// the routers that report to each other watch with short calls; the others, the followers, watch with long calls. A
// change reaches the watches of all at once. Only when its watch has gone silent does a follower learn from the
// heartbeats of the scouts that it is behind, and lists again. All routers choose the scouts alike from the peers that
// they hear; a router that hears no scout is one itself, so the failure of a scout costs nothing but calls.
package scout

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// Mode is the way in which a router watches the store.
type Mode uint8

// Modes.
const (
	// Alone is the mode of routers with few peers: each notices a silent watch by itself.
	Alone Mode = iota
	// Scout watches with short calls, for the others as well.
	Scout
	// Follower watches with long calls.
	Follower
)

var modeNames = [...]string{Alone: "alone", Scout: "scout", Follower: "follower"}

// String returns the name used in log lines.
func (m Mode) String() string { return modeNames[m] }

const (
	// scouts is the number of scouts; a second one covers the time until the loss of the first is noticed.
	scouts = 2
	// aloneMax is the number of peers up to which all routers watch alone.
	aloneMax = 7
	// lagMax is the time for which a follower may be behind a peer: a watch gathers changes for up to a second, and
	// reports arrive some hundred milliseconds later.
	lagMax = 1200 * time.Millisecond
	// shortestListGap is the shortest time between two lists because of a lag.
	shortestListGap = 2 * time.Second
)

// Position is what a router knows of the objects of a kind: the newest revision that it has seen and their number.
type Position struct {
	Rev   store.Rev
	Count int
}

// Behind reports whether q has seen changes that p has not.
func (p Position) Behind(q Position) bool {
	return store.Before(p.Rev, q.Rev) || p.Rev == q.Rev && p.Count != q.Count
}

// Peer is another router, as its last heartbeat shows it.
type Peer struct {
	ID ident.ProcessID
	// Rank orders the routers, alike at all of them.
	Rank uint64
	// Reachable is true while the peer reaches the store.
	Reachable bool
	// Position is what the peer knows of the registrations of targets.
	Position Position
}

// ModeOf returns the mode of a router with the given rank. reachable is true while it reaches the store; peers are
// those that it has heard lately.
func ModeOf(rank uint64, reachable bool, peers []Peer) Mode {
	if len(peers) <= aloneMax {
		return Alone
	}
	ahead := 0
	for _, p := range peers {
		if p.Reachable && p.Rank < rank {
			ahead++
		}
	}
	if !reachable || ahead < scouts {
		return Scout
	}
	return Follower
}

// Lag decides when a follower lists again because it is behind. The zero value is ready for use.
type Lag struct {
	since, listedAt time.Time
	// ignored holds the positions that peers claimed and a list did not confirm.
	ignored map[ident.ProcessID]Position
}

// Check reports whether the router has to list again, given its own position, and the peer that it is behind.
func (l *Lag) Check(now time.Time, own Position, peers []Peer) (Peer, bool) {
	i := slices.IndexFunc(peers, func(p Peer) bool {
		return p.Reachable && own.Behind(p.Position) && l.ignored[p.ID] != p.Position
	})
	switch {
	case i < 0:
		l.since = time.Time{}
		return Peer{}, false
	case l.since.IsZero():
		l.since = now
	}
	if now.Sub(l.since) < lagMax || now.Sub(l.listedAt) < shortestListGap {
		return Peer{}, false
	}
	l.since, l.listedAt = time.Time{}, now
	return peers[i], true
}

// Listed records that a list that began after Check is complete, with the revision of the store at its time. It
// returns the peers that claimed a later revision than the store has.
func (l *Lag) Listed(asOf store.Rev, peers []Peer) (wrong []Peer) {
	for _, p := range peers {
		if !store.Before(asOf, p.Position.Rev) {
			continue
		}
		if l.ignored == nil {
			l.ignored = map[ident.ProcessID]Position{}
		}
		l.ignored[p.ID] = p.Position
		wrong = append(wrong, p)
	}
	slices.SortFunc(wrong, func(a, b Peer) int { return cmp.Compare(a.ID, b.ID) })
	return wrong
}
