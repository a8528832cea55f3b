package avail

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

// Evacuations of data centres.
//
// Load pattern: an operator empties one or all data centres while the store is away, is restored from an older copy, or
// while routers restart. The store alone decides once it has answered; until then what other routers know counts, and
// the newer revision wins. A restored store that lacks an evacuation lifts it only after a while, in which the operator
// can write it again.

// EvacuationHold is the time for which an evacuation stays in force after the store was restored from a copy without it.
const EvacuationHold = 10 * time.Second

// Evacuation is what a router knows of the evacuation of one data centre, as reported to other routers.
type Evacuation struct {
	Centre ident.DataCentre
	// Rev is the revision of the object, or one at which the object did not exist any more if Lifted is true.
	Rev    store.Rev
	Lifted bool
	// Hold is the time after which the evacuation ends because a restored store lacks it; zero if the store has it.
	Hold time.Duration
}

// Evacuations is one router's view of the evacuations. It is not safe for concurrent use. The callers pass only data
// centres of the deployment, which bounds its size.
type Evacuations struct {
	known map[ident.DataCentre]*evacuation
	// asOf is the revision of the last list; empty before the first one.
	asOf store.Rev
}

type evacuation struct {
	rev    store.Rev
	lifted bool
	// until is the end of the hold; zero while the store has the evacuation or has not answered yet.
	until time.Time
}

// NewEvacuations returns a view without evacuations.
func NewEvacuations() *Evacuations {
	return &Evacuations{known: map[ident.DataCentre]*evacuation{}}
}

// List applies the evacuations that the store had at the revision asOf, with their revisions.
func (e *Evacuations) List(now time.Time, list map[ident.DataCentre]store.Rev, asOf store.Rev) {
	e.asOf = asOf
	for c, rev := range list {
		if v := e.known[c]; v == nil || !v.lifted || !store.Before(asOf, v.rev) {
			e.known[c] = &evacuation{rev: rev}
		}
	}
	for c, v := range e.known {
		_, listed := list[c]
		switch {
		case listed || v.lifted || store.Before(asOf, v.rev):
		case store.Restored(v.rev, asOf):
			v.hold(now, EvacuationHold)
		default:
			v.rev, v.lifted = asOf, true
		}
	}
}

// hold makes the evacuation end after d unless it already ends at some time.
func (v *evacuation) hold(now time.Time, d time.Duration) {
	if v.until.IsZero() {
		v.until = now.Add(d)
	}
}

// Put applies a change of the store: the object was written.
func (e *Evacuations) Put(c ident.DataCentre, rev store.Rev) {
	if v := e.known[c]; v == nil || !store.Before(rev, v.rev) {
		e.known[c] = &evacuation{rev: rev}
	}
}

// Remove applies a change of the store: the object was deleted.
func (e *Evacuations) Remove(c ident.DataCentre, rev store.Rev) {
	if v := e.known[c]; v != nil && store.Before(rev, v.rev) {
		rev = v.rev
	}
	e.known[c] = &evacuation{rev: rev, lifted: true}
}

// Merge applies what another router reports.
func (e *Evacuations) Merge(now time.Time, m Evacuation) {
	v := e.known[m.Centre]
	switch {
	case v != nil && store.Before(m.Rev, v.rev):
		return
	case v != nil && m.Rev == v.rev:
		if m.Lifted {
			v.lifted = true
		} else if m.Hold > 0 && !v.lifted {
			v.hold(now, m.Hold)
		}
		return
	case m.Lifted:
		e.known[m.Centre] = &evacuation{rev: m.Rev, lifted: true}
		return
	case e.asOf != "" && !store.Restored(m.Rev, e.asOf) && !store.Before(e.asOf, m.Rev):
		e.known[m.Centre] = &evacuation{rev: e.asOf, lifted: true} // the list is newer and lacks it
		return
	}
	v = &evacuation{rev: m.Rev}
	switch {
	case m.Hold > 0:
		v.hold(now, m.Hold)
	case store.Restored(m.Rev, e.asOf):
		v.hold(now, EvacuationHold)
	}
	e.known[m.Centre] = v
}

// Expire ends the evacuations whose hold has passed.
func (e *Evacuations) Expire(now time.Time) {
	for _, v := range e.known {
		if !v.lifted && !v.until.IsZero() && !now.Before(v.until) {
			v.lifted = true
		}
	}
}

// InForce returns the evacuated data centres in order.
func (e *Evacuations) InForce() (out []ident.DataCentre) {
	for c, v := range e.known {
		if !v.lifted {
			out = append(out, c)
		}
	}
	slices.Sort(out)
	return out
}

// Reports returns what is known, for other routers.
func (e *Evacuations) Reports(now time.Time) (out []Evacuation) {
	for c, v := range e.known {
		m := Evacuation{Centre: c, Rev: v.rev, Lifted: v.lifted}
		if !v.lifted && !v.until.IsZero() {
			m.Hold = max(v.until.Sub(now), time.Millisecond)
		}
		out = append(out, m)
	}
	return out
}
