package scout

import (
	"time"

	"hickoryvane.example/core/store"
)

// Changes that scouts pass on.
//
// Load pattern: tens of targets whose registrations change about every second (starts, stops, states). If each router
// watches them, every change costs one call per router. So scouts pass the changes on in their heartbeats, and followers
// gather what their own watches report for longer. A follower applies what it is passed only if nothing is missing before
// it; otherwise it is behind and lists again; see Lag.

const (
	// feedTime is the time for which a change is passed on, some heartbeats.
	feedTime = 1500 * time.Millisecond
	// feedBytesMax limits the changes in one heartbeat: a quarter of the registrations of the largest deployment that
	// start or stop at once. It keeps a scout with 35 peers below a third of a link of 10 Mbit/s for that time.
	feedBytesMax = 4 << 10
	// changeBytes is what a change takes beside its name and value.
	changeBytes = 32
	// feedMax is the number of changes that are kept to be passed on, as many as could fit.
	feedMax = feedBytesMax / changeBytes
)

// Feed is what a router passes on and what it was passed. The zero value is ready for use.
type Feed struct {
	recent []fedChange
	// from and to are the positions between which everything was passed by others since the last list.
	from, to store.Rev
}

// fedChange is a change, the time at which it was read, and the position of the router before it.
type fedChange struct {
	store.Change
	at     time.Time
	before store.Rev
}

// Reset forgets everything, as a list replaces it.
func (f *Feed) Reset() { *f = Feed{} }

// Record records a change that the own watch reported; before is the position of the router without it.
func (f *Feed) Record(now time.Time, before store.Rev, c store.Change) {
	if f.recent = append(f.expire(now), fedChange{Change: c, at: now, before: before}); len(f.recent) > feedMax {
		f.recent = f.recent[1:]
	}
}

// expire returns the changes that are still to be passed on.
func (f *Feed) expire(now time.Time) []fedChange {
	for len(f.recent) > 0 && now.Sub(f.recent[0].at) >= feedTime {
		f.recent = f.recent[1:]
	}
	return f.recent
}

// Recent returns the changes to pass on and the position before them.
func (f *Feed) Recent(now time.Time) (since store.Rev, out []store.Change) {
	size := 0
	l := f.expire(now)
	first := len(l)
	for first > 0 && size < feedBytesMax {
		c := l[first-1]
		if size += changeBytes + len(c.Object.Name) + len(c.Object.Value); size > feedBytesMax {
			break
		}
		first--
	}
	for _, c := range l[first:] {
		out = append(out, c.Change)
	}
	if len(out) > 0 {
		since = l[first].before
	}
	return since, out
}

// Fresh returns those of the changes of another router that a router at a position has to apply: all later ones if it
// knows everything before the first one, or else none. Changes after the newest revision that a third router has seen are
// left to the next heartbeats: a faulty router that claims revisions which the store does not have would otherwise make
// others believe that they are ahead of all others.
func (f *Feed) Fresh(own, since, confirmed store.Rev, changes []store.Change) (out []store.Change) {
	if own == "" || since == "" || store.Before(own, since) || store.Restored(own, since) {
		return nil
	}
	newest := own
	for _, c := range changes {
		if store.Restored(since, c.Object.Rev) { // a list has to tell what the restore removed
			return nil
		}
		if confirmed == "" || store.Before(confirmed, c.Object.Rev) {
			break
		}
		if store.Before(newest, c.Object.Rev) {
			out, newest = append(out, c), c.Object.Rev
		}
	}
	if len(out) > 0 {
		if f.from == "" {
			f.from = own
		}
		f.to = newest
	}
	return out
}

// Covered reports whether a change that the own watch reports was passed by others before.
func (f *Feed) Covered(c store.Change) bool {
	return f.to != "" && store.Before(f.from, c.Object.Rev) && !store.Before(f.to, c.Object.Rev)
}
