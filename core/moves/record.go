package moves

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// ErrEvidence means that the value of an evidence fact is malformed.
var ErrMalformedEvidence = errors.New("malformed evidence")

const (
	// routesMax bounds the routes counted per agent; further ones are not counted.
	routesMax = 64
	// crashesMax bounds the crashes remembered per agent so that each counts once.
	crashesMax = 64
	// spansMax bounds the spans per route that a value may hold.
	spansMax = fineEpochs + coarseSpans + 2
)

// place is where an outcome is counted at one agent.
type routeSpan struct {
	route ident.Route
	span  span
}

// Recorder counts the outcomes of one agent's version during a move. It counts the old version as
// well. Each boot of an agent has its own recorder, and so its own fact.
type OutcomeCounter struct {
	version   ident.Version
	class     ident.Class
	startedAt time.Time
	newest    epoch
	counts    map[routeSpan]*Counts
	routes    map[ident.Route]bool
	crashes   map[uint64]bool
	dirty     bool
	// failed is true when a failure was counted since the last Value.
	urgent bool
}

// NewRecorder returns an empty recorder for an agent whose target runs version on class. started is
// when the agent saw the move start; the earliest of all agents sets the window of the plan.
func NewOutcomeCounter(v ident.Version, c ident.Class, started time.Time) *OutcomeCounter {
	return &OutcomeCounter{
		version: v, class: c, startedAt: started, counts: map[routeSpan]*Counts{},
		routes: map[ident.Route]bool{}, crashes: map[uint64]bool{},
	}
}

// EvidenceKey is the key of an agent's evidence fact for a move.
func EvidenceKey(m ident.Rollout, b ident.Boot) string {
	return string(m) + "/" + time.Unix(0, int64(b)).UTC().Format("20060102T150405.000000000")
}

// Add counts an outcome unless it is excused or belongs to a crash that was counted.
func (r *OutcomeCounter) Add(now time.Time, o Outcome) {
	if o.Excluded || o.Crash != 0 && r.crashes[o.Crash] {
		return
	}
	if o.Crash != 0 && len(r.crashes) < crashesMax {
		r.crashes[o.Crash] = true
	}
	if !r.routes[o.Route] && len(r.routes) >= routesMax {
		return
	}
	r.routes[o.Route] = true
	r.advance(epochOf(now))
	p := routeSpan{o.Route, spanOf(epochOf(now), r.newest)}
	c := r.counts[p]
	if c == nil {
		c = &Counts{}
		r.counts[p] = c
	}
	c.add(o)
	r.dirty, r.urgent = true, r.urgent || o.Failed
}

// advance moves counters into the spans that hold at a newer epoch.
func (r *OutcomeCounter) advance(newest epoch) {
	if newest <= r.newest {
		return
	}
	r.newest = newest
	for p, c := range r.counts {
		q := routeSpan{p.route, respan(p.span, newest)}
		if q == p {
			continue
		}
		delete(r.counts, p)
		if d := r.counts[q]; d != nil {
			d.merge(*c)
		} else {
			r.counts[q] = c
		}
	}
}

// respan returns the span into which s falls at a newer epoch.
func respan(s span, newest epoch) span {
	if s.Len == 0 {
		return s
	}
	return spanOf(s.Start, newest)
}

const (
	// publishGap is the shortest time between two writes of one evidence fact without a failure.
	minPublishInterval = 2 * time.Second
	// publishAgent is the time by which each agent of the service extends it: 36 agents that wrote 700
	// bytes every 2 s cost the busiest of 200 processes 76 KB/s, and 27 KB/s every 5 s.
	publishIntervalPerAgent = 140 * time.Millisecond
	// UrgentGap is the shortest time between two writes when an outcome failed.
	UrgentPublishInterval = 500 * time.Millisecond
)

// Interval returns the time between two writes of an evidence fact for a service with n agents.
func PublishInterval(n int) time.Duration {
	return max(minPublishInterval, time.Duration(n)*publishIntervalPerAgent)
}

// Changed reports whether outcomes were counted since the last Value; urgent is true when one of
// them failed. Daemons write the fact after UrgentGap when urgent and after Interval otherwise.
func (r *OutcomeCounter) Changed() (changed, urgent bool) { return r.dirty, r.urgent }

// Value returns the value of the evidence fact.
func (r *OutcomeCounter) EncodeEvidence() []byte {
	r.dirty, r.urgent = false, false
	b := appendText(nil, string(r.version))
	b = appendText(b, string(r.class))
	b = binary.AppendUvarint(b, uint64(r.startedAt.Unix()))
	b = binary.AppendUvarint(b, uint64(r.newest))
	for _, p := range sortedRouteSpans(r.counts) {
		b = appendText(b, string(p.route))
		b = binary.AppendUvarint(b, uint64(p.span.Start))
		b = binary.AppendUvarint(b, uint64(p.span.Len))
		b = appendCounts(b, *r.counts[p])
	}
	return b
}
