package sched

import "time"

// When a late request may take a free slot.
//
// Load pattern: seconds of twice the capacity at many routers, of which each has a few waiting requests. At any moment some
// routers have only late ones, and these would take the slots that requests at other routers need in order to be on time.
// So a late request takes a slot only while there are more free slots than requests that can still be on time, over all
// routers.

// urgent returns the number of own waiting jobs that can still be on time.
func (p *Pool) urgent(now time.Time) (n int) {
	for _, j := range p.waiting {
		if !p.isLate(now, j) {
			n++
		}
	}
	return n
}

// countLateRoom returns the number of free slots that jobs which can still be on time do not need.
func (p *Pool) countLateRoom(now time.Time) int {
	n := p.freeSlots(now) - p.urgent(now)
	for _, r := range p.peers {
		n -= r.Urgent
	}
	return n
}

// lateMayRun reports whether a late job may be placed on a target with regard to those that can still be on time: there are
// enough free slots, or a stream on that target would hardly be on time either.
func (p *Pool) lateMayRun(now time.Time, j *Job, t *target) bool {
	return p.lateRoom > 0 || p.classOf(now, j).timeliness != overdue || p.steadyChance(j, p.gapOf(t)) < unsteadyChance
}

// unsteadyChance is the chance of a stream without a long pause below which a target is left to late jobs.
const unsteadyChance = 0.5
