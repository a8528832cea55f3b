// Package cells partitions a large deployment into cells that work independently.
//
// Load pattern: hundreds of routers in front of thousands of targets. Reports between all pairs of routers would be
// seconds old, or cost more than the requests. So routers, targets and the limits of accounts are divided into
// cells of some tens of routers; the routers of a cell report to each other as in a small deployment. Callers
// are distributed over routers by a hash, so the cells get about equal load. Each router (router/direct) computes
// its cell from the list of routers and uses only the targets of that cell.
package cells

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// routersMin is the least number of routers in a cell: the size of the largest deployment that was measured
	// as a single cell.
	routersMin = 24
	// targetsMin is the least number of targets of a service in a cell. For smaller services cells are merged.
	targetsMin = 16
)

// Cell is one of the cells of a deployment.
type Cell struct {
	// Index counts from 0 to Count-1; Count is a power of two.
	Index, Count int
}

// Assign assigns routers to cells; all routers compute the same result from the same list. The names are sorted
// by a hash, so that a router that joins or leaves moves only routers at the borders between cells, and each
// cell has routers of all data centres.
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

// ForService returns the cell for a service with the given number of targets.
func (c Cell) ForService(targets int) Cell {
	for c.Count > 1 && targets < c.Count*targetsMin {
		c.Index, c.Count = c.Index/2, c.Count/2
	}
	return c
}

// Contains reports whether routers of the cell use a target of a service with the given number of targets.
func (c Cell) Contains(t ident.TargetID, targets int) bool {
	c = c.ForService(targets)
	if c.Count <= 1 {
		return true
	}
	return int(xxhash.Sum64String(string(t))>>32*uint64(c.Count)>>32) == c.Index
}

// LimitShare returns the fraction of a limit that the routers of the cell share.
func (c Cell) LimitShare() float64 { return 1 / float64(c.Count) }
