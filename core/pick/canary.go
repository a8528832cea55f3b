package pick

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// routesMax bounds the routes per pool for which turns are counted.
const routesMax = 1024

// turnCounts counts the turns of a pool by route and hardware class.
type turnCounts map[ident.Route]map[ident.Class]int

// considerCanary considers the targets of one unproven class when it is that class's turn, that is, when no other
// class has had fewer turns on the route. By estimates alone, idle fast classes would get nearly all requests: in
// the recorded trace brunner-good the slowest class ran 0 of 42, so the rollout could not be proven on it.
// More than an equal share would overload a slow class and make its answers look slow. All targets of the pool
// are scanned, which are few (a router connects to at most 12 per pool).
func (s *selection) considerCanary(pl *pool, useRemote bool) {
	lists := [][]*target{pl.local}
	if useRemote {
		lists = append(lists, pl.remote)
	}
	class, ok := s.takeTurn(pl, lists)
	if !ok || !slices.Contains(s.request.UnprovenClasses, class) {
		return
	}
	for _, list := range lists {
		for _, t := range list {
			if t.Class == class {
				s.consider(t, false)
			}
		}
	}
}

// takeTurn returns the class with the fewest turns on the request's route among those with a usable target, and
// counts the turn.
func (s *selection) takeTurn(pl *pool, lists [][]*target) (class ident.Class, found bool) {
	counts := pl.turnsOf(s.request.Route)
	for _, list := range lists {
		for _, t := range list {
			if !s.excluded(t) && (!found || counts[t.Class] < counts[class]) {
				class, found = t.Class, true
			}
		}
	}
	counts[class]++
	return class, found
}

// turnsOf returns the counters of a route; beyond routesMax routes the counters of a new route are not stored.
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
