package direct

import (
	"slices"
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/follow"
)

// evacuationListTimeout limits the time for which the first list of targets waits for the evacuations, below the bound
// within which an evacuation is in force.
const evacuationListTimeout = 3 * time.Second

// evacuationHandler handles the evacuations of data centres.
func (r *Router) evacuationHandler() follow.Handler {
	return follow.Handler{
		Kind: r.catalogue.EvacuationKind(),
		OnList: func(l []store.Object, asOf store.Rev) {
			list := make(map[ident.DataCentre]store.Rev, len(l))
			for _, o := range l {
				if c, ok := r.evacuatedCentre(o); ok {
					list[c] = o.Rev
				}
			}
			r.updateEvacuations("store", func(e *avail.Evacuations) { e.List(time.Now(), list, asOf) })
			r.evacuationsOnce.Do(func() { close(r.evacuationsListed) })
		},
		OnChange: func(c store.Change) {
			centre, ok := r.evacuatedCentre(c.Object)
			if !ok {
				return
			}
			r.updateEvacuations("store", func(e *avail.Evacuations) {
				if c.Deleted {
					e.Remove(centre, c.Object.Rev)
				} else {
					e.Put(centre, c.Object.Rev)
				}
			})
		},
	}
}

// evacuatedCentre returns the data centre that an object is about; ok is false if the deployment has no such one.
func (r *Router) evacuatedCentre(o store.Object) (c ident.DataCentre, ok bool) {
	c, err := r.catalogue.DecodeEvacuation(o)
	if _, ok = r.regions[c]; err != nil || !ok {
		r.log.Log(event.EvacuationInvalid, "key", o.Kind, "name", o.Name, "rev", o.Rev, "error", err)
		return c, false
	}
	return c, true
}

// awaitEvacuationList waits until the evacuations were read, so that a new process sends nothing to a data centre that
// is evacuated.
func (r *Router) awaitEvacuationList() {
	t := time.NewTimer(evacuationListTimeout)
	defer t.Stop()
	select {
	case <-r.evacuationsListed:
	case <-t.C:
		r.evacuationsOnce.Do(func() { close(r.evacuationsListed) }) // later lists do not wait again
	}
}

// updateEvacuations changes the evacuations by f.
func (r *Router) updateEvacuations(source string, f func(*avail.Evacuations)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.evacuations)
	r.applyEvacuations(time.Now(), source)
}

// applyEvacuations puts the evacuations that are known in force; r.mu is held.
func (r *Router) applyEvacuations(now time.Time, source string) {
	r.evacuations.Expire(now)
	old, centres := r.evacuated, r.evacuations.InForce()
	if slices.Equal(old, centres) {
		return
	}
	r.evacuated = centres
	for _, c := range centres {
		if !slices.Contains(old, c) {
			r.log.Log(event.EvacuationBegan, "centre", c, "source", source)
		}
	}
	for _, c := range old {
		if !slices.Contains(centres, c) {
			r.log.Log(event.EvacuationEnded, "centre", c, "source", source)
		}
	}
	for _, p := range r.pools {
		p.SetEvacuated(now, centres)
		r.schedule(now, p)
	}
}

// addEvacuations adds what is known of evacuations; r.mu is held.
func (r *Router) addEvacuations(now time.Time, m *wire.Heartbeat) {
	for _, e := range r.evacuations.Reports(now) {
		m.Evacuations = append(m.Evacuations, wire.HeartbeatEvacuation{Centre: e.Centre, Rev: string(e.Rev), Lifted: e.Lifted, HoldMillis: e.Hold.Milliseconds()})
	}
}

// mergeEvacuations applies what another router knows of evacuations; r.mu is held.
func (r *Router) mergeEvacuations(now time.Time, b *wire.Heartbeat) {
	for _, e := range b.Evacuations {
		if _, ok := r.regions[e.Centre]; ok {
			r.evacuations.Merge(now, avail.Evacuation{Centre: e.Centre, Rev: store.Rev(e.Rev), Lifted: e.Lifted, Hold: time.Duration(e.HoldMillis) * time.Millisecond})
		}
	}
	if len(b.Evacuations) > 0 {
		r.applyEvacuations(now, string(b.Process))
	}
}
