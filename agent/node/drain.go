package node

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/wire"
)

// Drain begins a graceful shutdown: queued offers are refused as not run, granted ones may still be dispatched, and
// running requests finish.
func (c *Core) Drain(now time.Time) {
	if !c.drainStart.IsZero() {
		return
	}
	c.drainStart, c.lastAnswerEnd = now, now
	c.log(event.Stopping, "running", len(c.offers))
	c.refuseQueued(now)
	c.broadcast(&wire.Leave{Detail: "graceful shutdown"})
}

// SetLeaving records whether the platform lists this VM as leaving; if so, queued offers are refused.
func (c *Core) SetLeaving(now time.Time, leaving bool) {
	if leaving == c.vmLeaving {
		return
	}
	c.vmLeaving = leaving
	c.report.due = true
	if leaving {
		c.log(event.TargetLeaving, "target", c.decl.Name)
		c.refuseQueued(now)
	}
}

// refuseQueued refuses the queued offers because the target is leaving, and makes a load report due at once.
func (c *Core) refuseQueued(now time.Time) {
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Draining, "target is leaving")))
	c.report.due = true
	c.report.sentAt = time.Time{}
}

// Drained reports whether a shutdown is complete: no offer is left, and every ended answer has been read or was
// kept for drainRetention.
func (c *Core) Drained(now time.Time) bool {
	if c.drainStart.IsZero() || len(c.offers) > 0 {
		return false
	}
	return !c.answers.HasReaders() || now.Sub(c.lastAnswerEnd) >= drainRetention
}
