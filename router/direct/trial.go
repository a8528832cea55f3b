package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// assign chooses the version for a request, and reports whether it goes to targets that are apart.
func (r *Router) assignCanary(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[c.service]
	if !ok || m.State() != moves.Running {
		return false
	}
	takes, _ := r.pool(c.service).StreamDuration(c.expectedOutput(), c.job.Stride) // plain calls end within the margin of a move
	return m.AssignCanary(time.Now(), r.routerCount(time.Now()), c.route.Name, takes)
}

// unassign takes back the choice for a request that was turned away.
func (r *Router) undoAssign(c *call, trial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.rollouts[c.service]; ok && m.State() == moves.Running {
		m.UndoAssign(c.route.Name, trial)
	}
}

// witness counts the end of a request at a target as evidence on its version.
func (r *Router) recordEvidence(c *call, v *attempt) {
	if v.result == notRun || v.result == abandoned {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[c.service]
	if !ok {
		return
	}
	now := time.Now()
	e := moves.RouterOutcome{Route: c.route.Name, Version: v.target.Version, Target: v.target.ID, Failed: v.result == targetFailed, AnswerLost: v.result == answerLost, TimeToFirstEvent: v.timeToFirstEvent}
	if v.answer != nil && v.answer.status >= 500 {
		e.Failed = true
	}
	if now.Before(m.warmAt[v.target.ID]) {
		e.TimeToFirstEvent = 0
	}
	m.Add(now, e)
}

// tellMoves returns the running moves for a beacon; r.mu is held.
func (r *Router) rolloutReports(now time.Time) (out []wire.HeartbeatRollout) {
	for s, m := range r.rollouts {
		if m.State() != moves.Running {
			continue
		}
		o := m.Request()
		b := wire.HeartbeatRollout{Service: s, Version: o.To, DurationMillis: o.Duration.Milliseconds(), AgeMillis: m.Age(now).Milliseconds(), Evidence: m.EncodeOutcomes()}
		if v := m.Verdict(); v != nil {
			b.BadReason = string(v.Reason)
		}
		out = append(out, b)
	}
	return out
}

// hearMoves takes in the moves that another router knows of; r.mu is held.
func (r *Router) mergeRollouts(now time.Time, b *wire.Heartbeat) {
	for _, x := range b.Rollouts {
		ord := moves.Request{Service: x.Service, To: x.Version, Duration: time.Duration(x.DurationMillis) * time.Millisecond}
		age := time.Duration(x.AgeMillis) * time.Millisecond
		m, ok := r.rollouts[x.Service]
		if !ok && age < ord.Duration {
			m, ok = r.startRollout(now, ord, string(b.Process)), true
			r.updatePool(x.Service)
		}
		if !ok || m.Request() != ord || m.State() != moves.Running {
			continue
		}
		m.MergeAge(now, age)
		if err := m.SetPeerOutcomes(b.Process, b.Boot, x.Evidence); err != nil {
			r.log.Log(event.MalformedFrame, "peer", b.Process, "error", err)
		}
		if x.BadReason != "" {
			m.SetVerdict(moves.Verdict{Reason: moves.Reason(x.BadReason), JudgedAt: now})
		}
	}
}
