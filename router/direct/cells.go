package direct

import (
	"time"

	"hickoryvane.example/core/cells"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/route"
)

// farTime is the interval between beacons to a router of another cell. They tell that the sender runs, which
// counts within peerKeep; what is urgent is sent at once.
const otherCellInterval = 5 * time.Second

// divide computes the cells anew from the routers that may be running; r.mu is held.
func (r *Router) assignCells(now time.Time) {
	ids := []ident.ProcessID{r.cfg.Name}
	for id, p := range r.peers {
		if now.Sub(p.lastSeen) < peerTTL {
			ids = append(ids, id)
		}
	}
	all := cells.Assign(ids)
	own := all[r.cfg.Name]
	r.cellPeers = 0
	for id, p := range r.peers {
		c, ok := all[id]
		p.otherCell = ok && c != own
		if p.otherCell {
			r.limiter.RemoveRouter(id)
		} else {
			r.cellPeers++
		}
	}
	if own == r.cell {
		return
	}
	r.log.Log(event.CellChanged, "cell", own.Index, "cells", own.Count, "routers", len(ids), "near", r.cellPeers)
	r.cell = own
	if p := r.table.Load(); p != nil {
		r.applyLimits(now, p)
	}
	for s := range r.pools {
		r.updatePool(s)
	}
}

// limit applies the limits of the accounts, of which the routers of a cell share their part; r.mu is held.
func (r *Router) applyLimits(now time.Time, p *route.Table) {
	part := r.cell.LimitShare()
	for _, a := range p.Accounts {
		l := quota.Limit{Rate: ident.Tokens(float64(a.Rate) * part), Burst: ident.Tokens(float64(a.Burst) * part)}
		if a.Rate > 0 {
			l.Rate = max(l.Rate, 1) // zero means no limit
		}
		r.limiter.SetLimit(now, a.Name, l, 1/float64(r.cellPeers+1))
	}
}

// sizesOf returns the number of targets of each service in a list.
func countTargets(list []fleet.Target) map[ident.Service]int {
	sizes := map[ident.Service]int{}
	for _, t := range list {
		sizes[t.Service]++
	}
	return sizes
}

// resize counts the targets of each service; r.mu is held. A service whose cells are joined or divided by it is
// grouped anew.
func (r *Router) updateTargetCounts() {
	sizes := make(map[ident.Service]int, len(r.targetCounts))
	for _, t := range r.targets {
		sizes[t.Service]++
	}
	old := r.targetCounts
	r.targetCounts = sizes
	for s, n := range sizes {
		if r.cell.Count > 1 && r.cell.ForService(n) != r.cell.ForService(old[s]) {
			r.updatePool(s)
		}
	}
}
