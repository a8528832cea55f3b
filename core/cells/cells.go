// Package cells divides a large deployment into parts that work alone.
//
// Load pattern: hundreds of routers before thousands of targets. Reports between all pairs of routers would be
// seconds old, or cost more than the requests. So routers, targets and the limits of accounts are divided into
// cells of some tens of routers; those of a cell report to each other as in a small deployment. Callers are
// spread over routers by a hash, so the cells get about equal load.
package cells

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// routersMin is the least number of routers in a cell: the largest deployment that was measured as one.
	routersMin = 24
	// targetsMin is the least number of targets of a service in a cell. The cells of smaller services are
	// joined.
	targetsMin = 16
)

// Cell is the part to which a router belongs.
type Cell struct {
	// Index counts from 0 to Count-1; Count is a power of two.
	Index, Count int
}

// Of returns the cells of routers, which all compute alike from the same list. The names are sorted by a hash, so
// that a router that comes or goes moves only routers at the borders between cells, and that each cell has
// routers of all data centres.
func Assign(routers []ident.ProcessID) map[ident.ProcessID]Cell {
	count := 1
	for len(routers) >= 2*count*routersMin {
		count *= 2
	}
	sorted := slices.Clone(routers)
	slices.SortFunc(sorted, func(a, b ident.ProcessID) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(string(a)), xxhash.Sum64String(string(b))), cmp.Compare(a, b))
	})
	out := make(map[ident.ProcessID]Cell, len(sorted))
	for i, id := range sorted {
		out[id] = Cell{Index: i * count / len(sorted), Count: count}
	}
	return out
}

// Joined returns the cell of a service with the given number of targets.
func (c Cell) ForService(targets int) Cell {
	for c.Count > 1 && targets < c.Count*targetsMin {
		c.Index, c.Count = c.Index/2, c.Count/2
	}
	return c
}

// Holds reports whether routers of the cell use a target of a service with the given number of targets.
func (c Cell) Contains(t ident.TargetID, targets int) bool {
	c = c.ForService(targets)
	if c.Count <= 1 {
		return true
	}
	return int(xxhash.Sum64String(string(t))>>32*uint64(c.Count)>>32) == c.Index
}

// Part is the part of a limit that the routers of the cell share.
func (c Cell) LimitShare() float64 { return 1 / float64(c.Count) }
