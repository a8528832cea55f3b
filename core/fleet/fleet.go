// Package fleet tracks which registered targets may be used. A router that sends requests to targets itself
// (router/direct) passes it the registrations that it lists and watches in the platform's store, and gets the
// changes of targets as events. The store loses entries during an outage, so an entry that is absent is not taken
// for removed at once.
package fleet

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// ReappearTimeout is the time after an outage of the store within which expired entries reappear. The platform
// states about two seconds; an entry that is still missing then was removed. An outage may not be noticed before its
// removals arrive, so every removal without notice is held that long.
const ReappearTimeout = 2 * time.Second

// removalMargin is the part of the time set by WithRemovalBound that is reserved for the delay of the removal on
// its way to the router, and of requests on their way to the target.
const removalMargin = 400 * time.Millisecond

// Target is the registration of one target.
type Target struct {
	ID      ident.TargetID
	Service ident.Service
	// Address is an IP address and a port.
	Address string
	Centre  ident.DataCentre
	Version ident.Version
	// Slots is the number of requests that the target runs at a time, at least 1.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
	// Boot identifies the start of the target's process; after a restart the process has no state of the earlier
	// one.
	Boot ident.Boot
	// Rev is the revision of the registration in the store; empty if it is not known. A change of it alone is not
	// reported.
	Rev store.Rev
	// ColdRemaining is the time for which the target is still slow after its start, as stated when it
	// registered, or last became cold again.
	ColdRemaining time.Duration
}

// Change is the kind of an event.
type Change uint8

// Kinds of events.
const (
	// Up means that the target is new, was restarted, changed, or is registered again.
	Up Change = iota
	// Leaving means that the target gets no new requests.
	Leaving
	// Missing means that the registration was removed without notice; the target is used only where no other has
	// free slots.
	Missing
	// Deregistered means that the target is no longer registered.
	Deregistered
)

var changeNames = [...]string{Up: "up", Leaving: "leaving", Missing: "missing", Deregistered: "gone"}

// String returns the name used in log lines.
func (c Change) String() string { return changeNames[c] }

// Event is a change of one target.
type Event struct {
	Target Target
	Change Change
	// Cold is true for an Up target that may be cold from now on: it is registered anew, again or by another process, or
	// its registration states a longer time than before.
	Cold bool
}

// Fleet is one router's view of the targets. It is not safe for concurrent use.
type Fleet struct {
	targets map[ident.TargetID]*entry
	// removed holds the targets that were removed, so that an older copy of a registration does not bring one back.
	removed map[ident.TargetID]removal
	// announced holds the targets that announced that they leave; see announce.go.
	announced map[ident.TargetID]Announcement
	// unreachable is true while the store cannot be reached; reachableSince is the end of the last outage.
	unreachable    bool
	reachableSince time.Time
	// removalHold is the time for which a removal without notice is held: ReappearTimeout, or less if
	// WithRemovalBound allows no more.
	removalHold time.Duration
	// missing is the number of entries that are absent from the store.
	missing int
}

// removedMax limits the removed targets that are remembered; the oldest is forgotten first.
const removedMax = 4096

// removal is what remains of a removed registration, and the time of the removal.
type removal struct {
	rev     store.Rev
	boot    ident.Boot
	leaving bool
	at      time.Time
}

// entry is a registration and the time since which it is absent.
type entry struct {
	Target
	// missingSince is the time since which the entry is absent from the store; zero while it is present.
	missingSince time.Time
	// registeredReady is true if the registration itself does not say that the target leaves.
	registeredReady bool
	// coldStated is the time for which the last registration states that the target is cold.
	coldStated time.Duration
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// WithRemovalBound sets the time after which a removed target must get no more requests.
func WithRemovalBound(d time.Duration) Option {
	return func(f *Fleet) { f.removalHold = min(ReappearTimeout, max(d-removalMargin, 0)) }
}

// New returns a fleet without targets.
func New(opts ...Option) *Fleet {
	f := &Fleet{targets: map[ident.TargetID]*entry{}, removed: map[ident.TargetID]removal{}, announced: map[ident.TargetID]Announcement{}, removalHold: ReappearTimeout}
	for _, o := range opts {
		o(f)
	}
	return f
}

// StoreUnreachable records that the store cannot be reached.
func (f *Fleet) StoreUnreachable() { f.unreachable = true }

// ApplyList replaces the registrations with a complete list read at now.
func (f *Fleet) ApplyList(now time.Time, list []Target) (out []Event) {
	if f.unreachable {
		f.unreachable, f.reachableSince = false, now
	}
	seen := make(map[ident.TargetID]bool, len(list))
	for _, t := range list {
		seen[t.ID] = true
		out = append(out, f.Put(t)...)
	}
	for _, id := range f.ids() {
		if !seen[id] {
			out = append(out, f.Remove(now, id)...)
		}
	}
	return out
}

// Put adds or replaces one registration. A copy that is older than what is known of the target, or that is the last
// one of a removed target, is ignored: it comes from a router that is behind, or from a store that was restored.
func (f *Fleet) Put(t Target) []Event {
	if f.outdated(t) {
		return nil
	}
	ready := !t.Leaving
	t.Leaving = t.Leaving || f.hasAnnounced(t)
	e, ok := f.targets[t.ID]
	if !ok {
		delete(f.removed, t.ID)
		f.targets[t.ID] = &entry{Target: t, registeredReady: ready, coldStated: t.ColdRemaining}
		if t.Leaving {
			return []Event{{Target: t, Change: Leaving}}
		}
		return []Event{{Target: t, Change: Up, Cold: true}}
	}
	old, reappeared := e.Target, !e.missingSince.IsZero()
	stated := t.ColdRemaining
	again := stated > e.coldStated
	if t.Boot == old.Boot && !again && !reappeared {
		t.ColdRemaining = old.ColdRemaining // keep the first value: it counts down, which is no change
	}
	if reappeared {
		f.missing--
	}
	e.Target, e.missingSince, e.registeredReady, e.coldStated = t, time.Time{}, ready, stated
	old.Rev = t.Rev
	switch {
	case t.Leaving && !old.Leaving:
		return []Event{{Target: t, Change: Leaving}}
	case (reappeared || again || t != old) && !t.Leaving:
		return []Event{{Target: t, Change: Up, Cold: reappeared || again || t.Boot != old.Boot}}
	}
	return nil
}

// Remove records the removal of a registration. An entry that was not leaving may have expired during an outage
// of the store; Expire removes it once the hold has passed.
func (f *Fleet) Remove(now time.Time, id ident.TargetID) []Event {
	e, ok := f.targets[id]
	if !ok {
		return nil
	}
	if !e.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince = now
			f.missing++
			return []Event{{Target: e.Target, Change: Missing}}
		}
		return nil
	}
	f.forget(now, e)
	return []Event{{Target: e.Target, Change: Deregistered}}
}

// outdated reports whether a registration is older than what is known of its target. A process that announced its
// shutdown does not become ready again, so after a restore of the store such a registration is from the copy.
func (f *Fleet) outdated(t Target) bool {
	if e, ok := f.targets[t.ID]; ok {
		return store.Before(t.Rev, e.Rev) || store.Restored(e.Rev, t.Rev) && e.Leaving && !t.Leaving && t.Boot == e.Boot
	}
	r, ok := f.removed[t.ID]
	if !ok || t.Rev == "" {
		return false
	}
	if store.Restored(r.rev, t.Rev) {
		return t.Boot == r.boot && (r.leaving || store.Copied(r.rev, t.Rev))
	}
	return t.Rev == r.rev || store.Before(t.Rev, r.rev)
}

// forget removes an entry and remembers its revision.
func (f *Fleet) forget(now time.Time, e *entry) {
	delete(f.targets, e.ID)
	if e.Boot == 0 {
		delete(f.announced, e.ID)
	}
	if e.Rev == "" {
		return
	}
	if len(f.removed) >= removedMax {
		oldest, at := ident.TargetID(""), now
		for id, r := range f.removed {
			if !r.at.After(at) {
				oldest, at = id, r.at
			}
		}
		delete(f.removed, oldest)
	}
	f.removed[e.ID] = removal{rev: e.Rev, boot: e.Boot, leaving: e.Leaving, at: now}
}

// Expire removes the entries that did not reappear in time.
func (f *Fleet) Expire(now time.Time) (out []Event) {
	if f.unreachable || f.missing == 0 || now.Sub(f.reachableSince) < ReappearTimeout {
		return nil
	}
	for _, id := range f.ids() {
		if e := f.targets[id]; !e.missingSince.IsZero() && now.Sub(e.missingSince) >= f.removalHold {
			f.forget(now, e)
			f.missing--
			out = append(out, Event{Target: e.Target, Change: Deregistered})
		}
	}
	return out
}

// Len returns the number of known targets.
func (f *Fleet) Len() int { return len(f.targets) }

func (f *Fleet) ids() []ident.TargetID {
	ids := make([]ident.TargetID, 0, len(f.targets))
	for id := range f.targets {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}
