package moves

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// cell is a unit of comparison: a route on a hardware class. An empty part stands for all.
type routeClass struct {
	route ident.Route
	class ident.Class
}

// pair holds the counters of both versions over one span.
type versionPair struct{ old, new Counts }

func (p versionPair) requests() float64 { return float64(p.old.Requests + p.new.Requests) }

// Evidence is the merged evidence of a move. It is a pure function of the set of facts.
type Evidence struct {
	// started is the earliest start that an agent saw, in Unix seconds; zero without evidence.
	startedUnix int64
	newest      epoch
	// cells holds the counters per cell and span, for routes on classes, routes, and in all.
	pairs map[routeClass]map[span]*versionPair
	// bad counts malformed facts that were left out.
	malformed int
	// uneven is true when the targets of the versions differ in speed or load, so that only answers that are
	// much slower count as slow.
	uneven bool
}

// aheadMax is the number of epochs by which the clock of an agent may be ahead.
const aheadEpochsMax = 2

// Gather merges the evidence facts of a move. Facts with other versions than the move's are left out,
// and so are those of agents whose clock is ahead by more than aheadMax epochs: they would make all
// other evidence look old.
func MergeEvidence(now time.Time, fs []wire.GossipEntry, from, to ident.Version) Evidence {
	ev := Evidence{pairs: map[routeClass]map[span]*versionPair{}}
	var reps []report
	for _, f := range fs {
		rep, err := decodeReport(f.Value)
		if err != nil {
			ev.malformed++
			continue
		}
		if rep.version != from && rep.version != to || rep.newest > epochOf(now)+aheadEpochsMax {
			continue
		}
		reps = append(reps, rep)
		ev.newest = max(ev.newest, rep.newest)
		if ev.startedUnix == 0 || rep.startedUnix < ev.startedUnix {
			ev.startedUnix = rep.startedUnix
		}
	}
	for _, rep := range reps {
		ev.merge(rep, rep.version == to)
	}
	return ev
}

func (ev *Evidence) merge(rep report, isNew bool) {
	for p, c := range rep.counts {
		s := respan(p.span, ev.newest)
		for _, k := range []routeClass{{p.route, rep.class}, {route: p.route}, {}} {
			at := ev.pair(k, s)
			if isNew {
				at.new.merge(*c)
			} else {
				at.old.merge(*c)
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

// spans returns the spans of a cell, the oldest first.
func (ev *Evidence) spans(k routeClass) []span {
	out := make([]span, 0, len(ev.pairs[k]))
	for s := range ev.pairs[k] {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b span) int { return cmp.Compare(a.Start, b.Start) })
	return out
}

// total returns the counters of a cell over all spans.
func (ev *Evidence) total(k routeClass) (p versionPair) {
	for _, q := range ev.pairs[k] {
		p.old.merge(q.old)
		p.new.merge(q.new)
	}
	return p
}

// list returns all cells in a fixed order.
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

// routes returns the routes with traffic in a fixed order.
func (ev *Evidence) routes() (out []ident.Route) {
	for _, k := range ev.routeClasses() {
		if k.route != "" && k.class == "" {
			out = append(out, k.route)
		}
	}
	return out
}

// Requests returns the requests counted for the old and the new version on a route, or on all
// routes if it is empty.
func (ev *Evidence) RequestCounts(r ident.Route) (old, trial uint64) {
	p := ev.total(routeClass{route: r})
	return p.old.Requests, p.new.Requests
}
