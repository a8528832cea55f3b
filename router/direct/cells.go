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

// otherCellInterval is the interval between heartbeats to a router of another cell. They show that the sender
// is running, which the receiver has to learn within peerTTL; urgent heartbeats are sent at once.
const otherCellInterval = 5 * time.Second

// assignCells recomputes the cells from the routers that may be running, and updates limits and pools if the cell
// of this router changed; r.mu is held.
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
			r.limiter.AddRouter(now, id)
		}
	}
	for _, p := range r.pools {
		p.SetSharers(r.nearRouters(now))
	}
	defer r.startLimits(now)
	r.updateSenders()
	if own == r.cell {
		return
	}
	r.log.Log(event.CellChanged, "cell", own.Index, "cells", own.Count, "routers", len(ids), "near", r.cellPeers)
	r.cell = own
	if table := r.table.Load(); table != nil {
		r.applyLimits(now, table)
	}
	for s := range r.pools {
		r.updatePool(s)
	}
}

// nearRouters returns the other routers of the cell that may have requests at targets; r.mu is held.
func (r *Router) nearRouters(now time.Time) (ids []ident.ProcessID) {
	for id, p := range r.peers {
		if !p.otherCell && now.Sub(p.lastSeen) < peerTTL {
			ids = append(ids, id)
		}
	}
	return ids
}

// applyLimits sets the limits of the accounts. Each cell gets an equal fraction of them, which the routers of
// the cell share. Accounts of the first configuration that this process reads may have been used before; those that a
// later one adds have not; r.mu is held.
func (r *Router) applyLimits(now time.Time, table *route.Table) {
	fraction, unused := r.cell.LimitShare(), 0.0
	if r.table.Load() != nil {
		unused = 1 / float64(r.cellPeers+1)
	}
	for _, a := range table.Accounts {
		l := quota.Limit{Rate: ident.Tokens(float64(a.Rate) * fraction), Burst: ident.Tokens(float64(a.Burst) * fraction)}
		if a.Rate > 0 {
			l.Rate = max(l.Rate, 1) // zero means no limit
		}
		r.limiter.SetLimit(now, a.Name, l, unused)
	}
}

// startLimits grants a starting router its share of the accounts' limits, once the number of routers is known; r.mu is
// held.
func (r *Router) startLimits(now time.Time) {
	if r.routersListed {
		r.limiter.Start(now, 1/float64(r.cellPeers+1))
	}
}

// countTargets returns the number of targets of each service in a list.
func countTargets(list []fleet.Target) map[ident.Service]int {
	counts := map[ident.Service]int{}
	for _, t := range list {
		counts[t.Service]++
	}
	return counts
}

// updateTargetCounts counts the targets of each service; r.mu is held. If the number of targets changes how cells
// are joined or divided for a service, the pool of the service is updated.
func (r *Router) updateTargetCounts() {
	counts := make(map[ident.Service]int, len(r.targetCounts))
	for _, t := range r.targets {
		counts[t.Service]++
	}
	old := r.targetCounts
	r.targetCounts = counts
	for s, n := range counts {
		if r.cell.Count > 1 && r.cell.ForService(n) != r.cell.ForService(old[s]) {
			r.updatePool(s)
		}
	}
}
