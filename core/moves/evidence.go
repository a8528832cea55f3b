package moves

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// routeClass is the unit in which versions are compared: a route on a hardware class. An empty field stands for
// all.
type routeClass struct {
	route ident.Route
	class ident.Class
}

// versionPair holds the counters of both versions over one span.
type versionPair struct{ old, new Counts }

func (p versionPair) requests() float64 { return float64(p.old.Requests + p.new.Requests) }

func (p versionPair) newShare() float64 { return float64(p.new.Requests) / max(p.requests(), 1) }

// Evidence is the merged evidence of a rollout. It is a pure function of the set of gossip entries.
type Evidence struct {
	// startedUnix is the earliest start of the rollout that an agent saw, in Unix seconds; zero without evidence.
	startedUnix int64
	newest      epoch
	// pairs holds the counters by span for each route on each class, for each route, and in total.
	pairs map[routeClass]map[span]*versionPair
	// reports is the number of agents with evidence.
	reports int
	// malformed counts malformed entries, which are skipped.
	malformed int
	// uneven is true when the targets of the two versions differ in speed or load, so that only much slower answers
	// count as slow.
	uneven bool
}

// aheadEpochsMax is the number of epochs by which the clock of an agent may be ahead.
const aheadEpochsMax = 2

// MergeEvidence merges the evidence entries of a rollout. Entries for versions other than from and to are skipped,
// and so are those of agents whose clock is ahead by more than aheadEpochsMax: they would make all other evidence
// look old.
func MergeEvidence(now time.Time, entries []wire.GossipEntry, from, to ident.Version) Evidence {
	ev := Evidence{pairs: map[routeClass]map[span]*versionPair{}}
	var reports []report
	for _, e := range entries {
		rep, err := decodeReport(e.Value)
		if err != nil {
			ev.malformed++
			continue
		}
		if rep.version != from && rep.version != to || rep.newest > epochOf(now)+aheadEpochsMax {
			continue
		}
		reports = append(reports, rep)
		ev.newest = max(ev.newest, rep.newest)
		if ev.startedUnix == 0 || rep.startedUnix < ev.startedUnix {
			ev.startedUnix = rep.startedUnix
		}
	}
	ev.reports = len(reports)
	for _, rep := range reports {
		ev.merge(rep, rep.version == to)
	}
	return ev
}

func (ev *Evidence) merge(rep report, isNew bool) {
	for p, c := range rep.counts {
		s := respan(p.span, ev.newest)
		for _, k := range []routeClass{{p.route, rep.class}, {route: p.route}, {}} {
			counts := ev.pair(k, s)
			if isNew {
				counts.new.merge(*c)
			} else {
				counts.old.merge(*c)
			}
		}
	}
}

func (ev *Evidence) pair(k routeClass, s span) *versionPair {
	if ev.pairs[k] == nil {
		ev.pairs[k] = map[span]*versionPair{}
	}
	if ev.pairs[k][s] == nil {
		ev.pairs[k][s] = &versionPair{}
	}
	return ev.pairs[k][s]
}

// confirmTime returns the time within which each agent has published what it has counted by now, and the entry has
// arrived.
func (ev *Evidence) confirmTime() time.Duration {
	return PublishInterval(ev.reports) + UrgentPublishInterval
}

// spans returns the spans of a route and class, the oldest first.
func (ev *Evidence) spans(k routeClass) []span {
	out := make([]span, 0, len(ev.pairs[k]))
	for s := range ev.pairs[k] {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b span) int { return cmp.Compare(a.Start, b.Start) })
	return out
}

// total returns the counters of a route and class over all spans.
func (ev *Evidence) total(k routeClass) (p versionPair) {
	for _, q := range ev.pairs[k] {
		p.old.merge(q.old)
		p.new.merge(q.new)
	}
	return p
}

// routeClasses returns all routes and classes in a fixed order.
func (ev *Evidence) routeClasses() []routeClass {
	out := make([]routeClass, 0, len(ev.pairs))
	for k := range ev.pairs {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b routeClass) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.class, b.class))
	})
	return out
}

// routes returns the routes that have traffic, in a fixed order.
func (ev *Evidence) routes() (out []ident.Route) {
	for _, k := range ev.routeClasses() {
		if k.route != "" && k.class == "" {
			out = append(out, k.route)
		}
	}
	return out
}

// RequestCounts returns the requests counted for the old and the new version on a route, or on all routes if r is
// empty.
func (ev *Evidence) RequestCounts(r ident.Route) (old, canary uint64) {
	p := ev.total(routeClass{route: r})
	return p.old.Requests, p.new.Requests
}
