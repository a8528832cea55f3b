package direct

import (
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/dial"
)

// overfill is the multiple of its slots that is assumed to be in use at a target: reports are up to two seconds old, and
// several routers may fill the same free slot.
const overfill = 2

// limitIdle divides the connections that targets accept among the routers. Those in use are bounded by the slots, so
// each router may keep an equal share of the rest idle; r.mu is held.
func (r *Router) limitIdle(now time.Time) {
	table := r.table.Load()
	if table == nil {
		return
	}
	limits, n := make(map[string]int, len(r.targets)), r.routerCount(now)
	for _, t := range r.targets {
		s := table.Services[t.Service]
		if s.MaxConns > 0 {
			slots := t.Slots
			if s.Slots > 0 {
				slots = s.Slots
			}
			limits[t.Address] = max(s.MaxConns-overfill*slots, 0) / n
		}
	}
	r.conns.SetIdleMax(limits)
}

// targetConns implements sched.Connections with the idle connections of a router, whose mu is held.
type targetConns struct{ r *Router }

// Idle implements sched.Connections.
func (c targetConns) Idle(now time.Time, id ident.TargetID, maxIdle time.Duration) bool {
	return c.r.conns.Idle(now, c.r.targets[id].Address, maxIdle)
}

// maxIdle returns the idle time up to which a connection may be reused for the request: only an id tells an earlier
// answer on it from that to this request.
func (c *call) maxIdle() time.Duration {
	switch {
	case c.ID == "":
		return 0
	case c.route.Repeatable():
		return dial.MaxRest
	}
	return dial.MaxIdleUnsafe
}
