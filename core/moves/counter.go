package moves

import (
	"encoding/binary"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// ErrMalformedEvidence means that the value of an evidence entry is malformed.
var ErrMalformedEvidence = errors.New("malformed evidence")

const (
	// routesMax bounds the routes counted per agent; further routes are not counted.
	routesMax = 64
	// crashesMax bounds the crashes remembered per agent, so that each crash counts once.
	crashesMax = 64
	// spansMax bounds the spans per route in an evidence entry.
	spansMax = fineEpochs + coarseSpans + 2
)

// routeSpan is the key by which one agent counts outcomes.
type routeSpan struct {
	route ident.Route
	span  span
}

// OutcomeCounter counts the outcomes at one agent, of the old or the new version, during a rollout. Each boot of an
// agent has its own counter and therefore its own gossip entry.
type OutcomeCounter struct {
	version   ident.Version
	class     ident.Class
	startedAt time.Time
	newest    epoch
	counts    map[routeSpan]*Counts
	routes    map[ident.Route]bool
	crashes   map[uint64]bool
	dirty     bool
	// urgent is true when a failure was counted since the last EncodeEvidence, dirty when any outcome was.
	urgent bool
}

// NewOutcomeCounter returns an empty counter for an agent whose target runs version v on hardware class c.
// startedAt is when the agent saw the rollout start; the earliest of all agents determines JudgeConfig.Duration.
func NewOutcomeCounter(v ident.Version, c ident.Class, startedAt time.Time) *OutcomeCounter {
	return &OutcomeCounter{
		version: v, class: c, startedAt: startedAt, counts: map[routeSpan]*Counts{},
		routes: map[ident.Route]bool{}, crashes: map[uint64]bool{},
	}
}

// EvidenceKey is the key of an agent's evidence entry for a rollout.
func EvidenceKey(rollout ident.Rollout, b ident.Boot) string {
	return string(rollout) + "/" + time.Unix(0, int64(b)).UTC().Format("20060102T150405.000000000")
}

// Add counts an outcome unless it is excluded or belongs to a crash that was counted already.
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

// advance moves counters into the spans that apply when newest is the newest epoch.
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

// respan returns the span that contains s when newest is the newest epoch.
func respan(s span, newest epoch) span {
	if s.Len == 0 {
		return s
	}
	return spanOf(s.Start, newest)
}

const (
	// minPublishInterval is the shortest time between two publications of an evidence entry when no outcome failed.
	minPublishInterval = 2 * time.Second
	// publishIntervalPerAgent is the interval per agent of the service, which bounds the gossip traffic: 36 agents
	// that publish 700 bytes every 2 s cause 76 KB/s at the busiest of 200 processes, and 27 KB/s if they publish
	// every 5 s.
	publishIntervalPerAgent = 140 * time.Millisecond
	// UrgentPublishInterval is the shortest time between two publications when an outcome failed.
	UrgentPublishInterval = 500 * time.Millisecond
)

// PublishInterval returns the time between two publications of an evidence entry for a service with n agents.
func PublishInterval(n int) time.Duration {
	return max(minPublishInterval, time.Duration(n)*publishIntervalPerAgent)
}

// Changed reports whether outcomes were counted since the last EncodeEvidence; urgent is true when one of them
// failed. Agents publish the entry after UrgentPublishInterval when urgent, and after PublishInterval otherwise.
func (r *OutcomeCounter) Changed() (changed, urgent bool) { return r.dirty, r.urgent }

// EncodeEvidence returns the value of the evidence entry and resets what Changed reports.
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
