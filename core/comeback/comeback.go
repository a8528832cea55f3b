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
	// samples is the number of recent requests of a source from which the time of a first attempt is learnt, and
	// refresh the number of requests after which it is learnt again.
	samples = 64
	refresh = 8
	// firstQuantile is the quantile of the stated times that stands for a first attempt. A higher one would follow a
	// few callers that state very long times.
	firstQuantile = 0.9
	// retryRatio is the part of that time below which a request is a retry. Callers vary the time of a first
	// attempt by up to 15%, and a retry follows after a refusal and a wait.
	retryRatio = 0.8
	// sourcesMax bounds the sources that are followed; when there are more, all are learnt anew.
	sourcesMax = 4096
)

// Source is where requests come from that state similar times: one account on one route, so that an account with longer
// times does not make the requests of others count as retries.
type Source struct {
	Route   ident.Route
	Account ident.AccountID
}

// Detector learns which times the callers of each source state. It is not safe for concurrent use.
type Detector struct {
	sources map[Source]*window
}

// window holds the times that were stated last by one source.
type window struct {
	stated [samples]time.Duration
	// count is the number of requests so far.
	count int
	// first is the time of a first attempt; zero until it is known.
	first time.Duration
}

// New returns a detector that has seen no requests.
func New() *Detector { return &Detector{sources: map[Source]*window{}} }

// Observe records the time that a caller states and returns the time since its first attempt; zero if this is the
// first one or if that is not known.
func (d *Detector) Observe(from Source, stated time.Duration) (age time.Duration) {
	if stated <= 0 {
		return 0
	}
	w, ok := d.sources[from]
	if !ok {
		if len(d.sources) >= sourcesMax {
			clear(d.sources)
		}
		w = &window{}
		d.sources[from] = w
	}
	w.record(stated)
	if w.first == 0 || float64(stated) >= retryRatio*float64(w.first) {
		return 0
	}
	return w.first - stated
}

// Sources returns the number of sources that are followed.
func (d *Detector) Sources() int { return len(d.sources) }

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
