package pick

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// routesMax bounds the routes for which turns are counted per pool.
const routesMax = 1024

// spread counts the turns of a pool by route and hardware class.
type turnCounts map[ident.Route]map[ident.Class]int

// trial considers the targets of one unproved class when it is that class's turn: when no other class had
// fewer such turns on the route. By their estimates alone, idle fast classes would get nearly all requests: in
// the recorded trace brunner-good the slowest class ran 0 of 42, so that the move could not be proved there.
// More than an even part would overload a slow class, whose answers would then look slow. All targets of the
// pool are looked at, which are few (a router connects to at most 12 per pool).
func (c *selection) considerCanary(pl *pool, far bool) {
	lists := [][]*target{pl.local}
	if far {
		lists = append(lists, pl.remote)
	}
	class, ok := c.takeTurn(pl, lists)
	if !ok || !slices.Contains(c.request.UnprovenClasses, class) {
		return
	}
	for _, list := range lists {
		for _, t := range list {
			if t.Class == class {
				c.consider(t, false)
			}
		}
	}
}

// turn returns the class with the fewest turns on the request's route among those with a usable target, and
// counts the turn.
func (c *selection) takeTurn(pl *pool, lists [][]*target) (class ident.Class, found bool) {
	counts := pl.turnsOf(c.request.Route)
	for _, list := range lists {
		for _, t := range list {
			if !c.excluded(t) && (!found || counts[t.Class] < counts[class]) {
				class, found = t.Class, true
			}
		}
	}
	counts[class]++
	return class, found
}

// counts returns the counters of a route; those of a route beyond the bound are not kept.
func (pl *pool) turnsOf(r ident.Route) map[ident.Class]int {
	m := pl.turns[r]
	if m == nil {
		m = map[ident.Class]int{}
		if len(pl.turns) < routesMax {
			pl.turns[r] = m
		}
	}
	return m
}
