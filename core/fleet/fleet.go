// Package fleet decides which registered targets may be used. Registrations come from a list and a watch
// of the platform's store, which loses entries while it is away.
package fleet

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Return is the time after an outage of the store within which lapsed entries come back. The platform
// states about two seconds; an entry that is missing after it is gone. An outage need not be noticed
// before its removals arrive, so every removal that was not announced is held that long.
const ReappearTimeout = 2 * time.Second

// margin is the part of the time within which a removed target gets no more requests that is left for the
// way of the removal to the router, and of requests to the target.
const removalMargin = 400 * time.Millisecond

// Target is the registration of one target.
type Target struct {
	ID      ident.TargetID
	Service ident.Service
	// Address is an IP number and a port.
	Address string
	Centre  ident.DataCentre
	Version ident.Version
	// Slots is the number of requests that the target runs at a time, at least 1.
	Slots int
	// Leaving targets get no new requests.
	Leaving bool
	// Born is the start of the target's process; a later one knows nothing of what came before.
	Boot ident.Boot
	// Cold is the time for which the target is still slow after its start, as stated when it registered.
	ColdRemaining time.Duration
}

// Change says what happened to a target.
type Change uint8

// Changes.
const (
	// Up means that the target is new or was started again.
	Up Change = iota
	// Leaving means that the target gets no new requests.
	Leaving
	// Missing means that the registration was removed without notice; the target is used only where no
	// other has room.
	Missing
	// Gone means that the target is no longer registered.
	Deregistered
)

var changeNames = [...]string{Up: "up", Leaving: "leaving", Missing: "missing", Deregistered: "gone"}

// String returns the name used in log lines.
func (c Change) String() string { return changeNames[c] }

// Event is a change of one target.
type Event struct {
	Target Target
	Change Change
}

// Fleet is the knowledge of one router. It is not safe for concurrent use.
type Fleet struct {
	targets map[ident.TargetID]*entry
	// away is true while the store cannot be reached; back is the time of the last return.
	unreachable    bool
	reachableSince time.Time
	// hold is the time for which a removal without notice is held: Return, or less if the bound for removed
	// targets allows no more.
	removalHold time.Duration
	// missing is the number of entries that are absent from the store.
	missing int
}

type entry struct {
	Target
	// missing is the time since which the entry is absent from the store; zero while it is there.
	missingSince time.Time
}

// Option sets one property of a Fleet.
type Option func(*Fleet)

// Within sets the time within which a removed target gets no more requests.
func WithRemovalBound(d time.Duration) Option {
	return func(f *Fleet) { f.removalHold = min(ReappearTimeout, max(d-removalMargin, 0)) }
}

// New returns a fleet without targets.
func New(opts ...Option) *Fleet {
	f := &Fleet{targets: map[ident.TargetID]*entry{}, removalHold: ReappearTimeout}
	for _, o := range opts {
		o(f)
	}
	return f
}

// Away records that the store cannot be reached.
func (f *Fleet) StoreUnreachable() { f.unreachable = true }

// Listed takes in a whole list of registrations read at now.
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

// Put takes in one registration.
func (f *Fleet) Put(t Target) []Event {
	e, ok := f.targets[t.ID]
	if !ok {
		f.targets[t.ID] = &entry{Target: t}
		if t.Leaving {
			return []Event{{t, Leaving}}
		}
		return []Event{{t, Up}}
	}
	old, back := e.Target, !e.missingSince.IsZero()
	if t.Boot == old.Boot {
		t.ColdRemaining = old.ColdRemaining // it only passes
	}
	if back {
		f.missing--
	}
	e.Target, e.missingSince = t, time.Time{}
	switch {
	case t.Leaving && !old.Leaving:
		return []Event{{t, Leaving}}
	case (back || t != old) && !t.Leaving:
		return []Event{{t, Up}}
	}
	return nil
}

// Drop takes in the removal of a registration. An entry that was not leaving may have lapsed during an
// outage of the store; Expire ends it once Return has passed.
func (f *Fleet) Remove(now time.Time, id ident.TargetID) []Event {
	e, ok := f.targets[id]
	if !ok {
		return nil
	}
	if !e.Leaving {
		if e.missingSince.IsZero() {
			e.missingSince = now
			f.missing++
			return []Event{{e.Target, Missing}}
		}
		return nil
	}
	delete(f.targets, id)
	return []Event{{e.Target, Deregistered}}
}

// Expire ends the entries that did not come back in time.
func (f *Fleet) Expire(now time.Time) (out []Event) {
	if f.unreachable || f.missing == 0 || now.Sub(f.reachableSince) < ReappearTimeout {
		return nil
	}
	for _, id := range f.ids() {
		if e := f.targets[id]; !e.missingSince.IsZero() && now.Sub(e.missingSince) >= f.removalHold {
			delete(f.targets, id)
			f.missing--
			out = append(out, Event{e.Target, Deregistered})
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
