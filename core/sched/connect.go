package sched

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Targets to which a connection is open.
//
// Load pattern: tens of routers, each with few requests a second per target, so that a connection is often closed before
// the next request to the same target. Opening one costs the target about 1 ms of a slot and the request a round trip.
// Among targets with about equal expected time, a target to which a connection is idle is preferred. The bonus is below
// the cost of one more request at a target with slots in the usual number, so that it does not pile requests up.

// connectionBonus is subtracted from the score of a target to which the job can use an idle connection: the cost at the
// target and a round trip within a region.
const connectionBonus = 3 * time.Millisecond

// Connections knows the idle connections of this router to targets.
type Connections interface {
	// Idle reports whether there is a connection that was idle for less than maxIdle.
	Idle(now time.Time, t ident.TargetID, maxIdle time.Duration) bool
}

// UseConnections makes the pool prefer targets to which a connection is idle.
func (p *Pool) UseConnections(c Connections) { p.connections = c }

// connectionBonus returns what is subtracted from the score of the target for the job.
func (p *Pool) connectionBonus(now time.Time, t *target, j *Job) time.Duration {
	if p.connections == nil || j.MaxIdle <= 0 || !p.connections.Idle(now, t.ID, j.MaxIdle) {
		return 0
	}
	return connectionBonus
}
