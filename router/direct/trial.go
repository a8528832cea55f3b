package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// assign chooses the version for a request, and reports whether it goes to targets that are apart.
func (r *Router) assign(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[c.service]
	if !ok || m.State() != moves.Running {
		return false
	}
	takes, _ := r.pool(c.service).Duration(c.length(), c.job.Stride) // plain calls end within the margin of a move
	return m.Assign(time.Now(), r.known(time.Now()), c.route.Name, takes)
}

// unassign takes back the choice for a request that was turned away.
func (r *Router) unassign(c *call, trial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.moves[c.service]; ok && m.State() == moves.Running {
		m.Drop(c.route.Name, trial)
	}
}

// witness counts the end of a request at a target as evidence on its version.
func (r *Router) witness(c *call, v *visit) {
	if v.end == notRun || v.end == left {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[c.service]
	if !ok {
		return
	}
	now := time.Now()
	e := moves.Ended{Route: c.route.Name, Version: v.target.Version, Target: v.target.ID, Failed: v.end == failed, Lost: v.end == lost, Took: v.first}
	if v.held != nil && v.held.status >= 500 {
		e.Failed = true
	}
	if now.Before(m.warm[v.target.ID]) {
		e.Took = 0
	}
	m.Add(now, e)
}

// tellMoves returns the running moves for a beacon; r.mu is held.
func (r *Router) tellMoves(now time.Time) (out []wire.HeartbeatRollout) {
	for s, m := range r.moves {
		if m.State() != moves.Running {
			continue
		}
		o := m.Order()
		b := wire.HeartbeatRollout{Service: s, Version: o.To, DurationMillis: o.Length.Milliseconds(), AgeMillis: m.Age(now).Milliseconds(), Evidence: m.Value()}
		if v := m.Bad(); v != nil {
			b.BadReason = string(v.Reason)
		}
		out = append(out, b)
	}
	return out
}

// hearMoves takes in the moves that another router knows of; r.mu is held.
func (r *Router) hearMoves(now time.Time, b *wire.Heartbeat) {
	for _, x := range b.Rollouts {
		ord := moves.Order{Service: x.Service, To: x.Version, Length: time.Duration(x.DurationMillis) * time.Millisecond}
		age := time.Duration(x.AgeMillis) * time.Millisecond
		m, ok := r.moves[x.Service]
		if !ok && age < ord.Length {
			m, ok = r.startMove(now, ord, string(b.Process)), true
			r.regroup(x.Service)
		}
		if !ok || m.Order() != ord || m.State() != moves.Running {
			continue
		}
		m.Older(now, age)
		if err := m.Merge(b.Process, b.Boot, x.Evidence); err != nil {
			r.log.Log(event.BadFrame, "peer", b.Process, "error", err)
		}
		if x.BadReason != "" {
			m.Condemn(moves.Verdict{Reason: moves.Reason(x.BadReason), At: now})
		}
	}
}
