// Package comeback recognises requests that a caller sends again after a refusal. Each attempt has an id of its own and
// often reaches another router, but it states the time that the caller still waits, which is shorter than that of a
// first attempt.
//
// Load pattern: seconds of more requests than the targets can serve, in which most of the refused callers return. The
// time in which an answer is on time began with their first attempt, so it is over when they are back, and without this
// package they would take the slots of requests that can still be on time.
package comeback

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// samples is the number of recent requests of a route from which the time of a first attempt is learnt, and
	// refresh the number of requests after which it is learnt again.
	samples = 64
	refresh = 8
	// firstQuantile is the quantile of the stated times that stands for a first attempt. A higher one would follow a
	// few callers that state very long times.
	firstQuantile = 0.9
	// retryRatio is the part of that time below which a request is a retry. Callers vary the time of a first
	// attempt by up to 15%, and a retry follows after a refusal and a wait.
	retryRatio = 0.8
	// routesMax bounds the routes that are followed.
	routesMax = 4096
)

// Detector learns which times the callers of each route state. It is not safe for concurrent use.
type Detector struct {
	routes map[ident.Route]*window
}

// window holds the times that were stated last on one route.
type window struct {
	stated [samples]time.Duration
	// count is the number of requests so far.
	count int
	// first is the time of a first attempt; zero until it is known.
	first time.Duration
}

// New returns a detector that has seen no requests.
func New() *Detector { return &Detector{routes: map[ident.Route]*window{}} }

// Observe records the time that a caller states and returns the time since its first attempt; zero if this is the
// first one or if that is not known.
func (d *Detector) Observe(r ident.Route, stated time.Duration) (age time.Duration) {
	w, ok := d.routes[r]
	if !ok {
		if stated <= 0 || len(d.routes) >= routesMax {
			return 0
		}
		w = &window{}
		d.routes[r] = w
	}
	if stated <= 0 {
		return 0
	}
	w.record(stated)
	if w.first == 0 || float64(stated) >= retryRatio*float64(w.first) {
		return 0
	}
	return w.first - stated
}

// Keep forgets the routes for which keep returns false.
func (d *Detector) Keep(keep func(ident.Route) bool) {
	for r := range d.routes {
		if !keep(r) {
			delete(d.routes, r)
		}
	}
}

func (w *window) record(stated time.Duration) {
	w.stated[w.count%samples] = stated
	w.count++
	if w.count%refresh != 0 {
		return
	}
	recent := w.stated
	sorted := recent[:min(w.count, samples)]
	slices.Sort(sorted)
	w.first = sorted[int(firstQuantile*float64(len(sorted)-1))]
}
