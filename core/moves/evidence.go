package moves

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// cell is a unit of comparison: a route on a hardware class. An empty part stands for all.
type cell struct {
	route ident.Route
	class ident.Class
}

// pair holds the counters of both versions over one span.
type pair struct{ old, new Counts }

func (p pair) requests() float64 { return float64(p.old.Requests + p.new.Requests) }

// Evidence is the merged evidence of a move. It is a pure function of the set of facts.
type Evidence struct {
	// started is the earliest start that an agent saw, in Unix seconds; zero without evidence.
	started int64
	newest  epoch
	// cells holds the counters per cell and span, for routes on classes, routes, and in all.
	cells map[cell]map[span]*pair
	// bad counts malformed facts that were left out.
	bad int
	// uneven is true when the targets of the versions differ in speed or load, so that only answers that are
	// much slower count as slow.
	uneven bool
}

// aheadMax is the number of epochs by which the clock of an agent may be ahead.
const aheadMax = 2

// Gather merges the evidence facts of a move. Facts with other versions than the move's are left out,
// and so are those of agents whose clock is ahead by more than aheadMax epochs: they would make all
// other evidence look old.
func Gather(now time.Time, fs []wire.GossipEntry, from, to ident.Version) Evidence {
	ev := Evidence{cells: map[cell]map[span]*pair{}}
	var reps []report
	for _, f := range fs {
		rep, err := decode(f.Value)
		if err != nil {
			ev.bad++
			continue
		}
		if rep.version != from && rep.version != to || rep.newest > epochOf(now)+aheadMax {
			continue
		}
		reps = append(reps, rep)
		ev.newest = max(ev.newest, rep.newest)
		if ev.started == 0 || rep.started < ev.started {
			ev.started = rep.started
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
		for _, k := range []cell{{p.route, rep.class}, {route: p.route}, {}} {
			at := ev.at(k, s)
			if isNew {
				at.new.merge(*c)
			} else {
				at.old.merge(*c)
			}
		}
	}
}

func (ev *Evidence) at(k cell, s span) *pair {
	if ev.cells[k] == nil {
		ev.cells[k] = map[span]*pair{}
	}
	if ev.cells[k][s] == nil {
		ev.cells[k][s] = &pair{}
	}
	return ev.cells[k][s]
}

// spans returns the spans of a cell, the oldest first.
func (ev *Evidence) spans(k cell) []span {
	out := make([]span, 0, len(ev.cells[k]))
	for s := range ev.cells[k] {
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b span) int { return cmp.Compare(a.Start, b.Start) })
	return out
}

// total returns the counters of a cell over all spans.
func (ev *Evidence) total(k cell) (p pair) {
	for _, q := range ev.cells[k] {
		p.old.merge(q.old)
		p.new.merge(q.new)
	}
	return p
}

// list returns all cells in a fixed order.
func (ev *Evidence) list() []cell {
	out := make([]cell, 0, len(ev.cells))
	for k := range ev.cells {
		out = append(out, k)
	}
	slices.SortFunc(out, func(a, b cell) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.class, b.class))
	})
	return out
}

// routes returns the routes with traffic in a fixed order.
func (ev *Evidence) routes() (out []ident.Route) {
	for _, k := range ev.list() {
		if k.route != "" && k.class == "" {
			out = append(out, k.route)
		}
	}
	return out
}

// Requests returns the requests counted for the old and the new version on a route, or on all
// routes if it is empty.
func (ev *Evidence) Requests(r ident.Route) (old, trial uint64) {
	p := ev.total(cell{route: r})
	return p.old.Requests, p.new.Requests
}
