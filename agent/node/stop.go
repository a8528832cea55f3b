package node

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/wire"
)

// Drain begins a graceful shutdown: waiting offers go back to their routers as not run, granted ones still
// count as accepted, running ones end.
func (c *Core) Drain(now time.Time) {
	if !c.drainStart.IsZero() {
		return
	}
	c.drainStart, c.lastAnswerEnd = now, now
	c.log(event.Stopping, "running", len(c.offers))
	c.refuseQueued(now)
	c.broadcast(&wire.Leave{Detail: "graceful shutdown"})
}

// Leaving takes in whether the platform lists this VM as leaving.
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

func (c *Core) refuseQueued(now time.Time) {
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Draining, "target is leaving")))
	c.report.due = true
	c.report.sentAt = time.Time{}
}

// Drained reports whether a shutdown is complete: nothing runs or is granted, and every ended answer was
// read or kept long enough.
func (c *Core) Drained(now time.Time) bool {
	if c.drainStart.IsZero() || len(c.offers) > 0 {
		return false
	}
	return !c.answers.HasReaders() || now.Sub(c.lastAnswerEnd) >= drainRetention
}
