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
	if !c.drainAt.IsZero() {
		return
	}
	c.drainAt, c.lastEnd = now, now
	c.log(event.Stopping, "running", len(c.offers))
	c.giveBack(now)
	c.broadcast(&wire.Leave{Detail: "graceful shutdown"})
}

// Leaving takes in whether the platform lists this VM as leaving.
func (c *Core) Leaving(now time.Time, leaving bool) {
	if leaving == c.leaving {
		return
	}
	c.leaving = leaving
	c.report.due = true
	if leaving {
		c.log(event.TargetLeaving, "target", c.decl.Name)
		c.giveBack(now)
	}
}

func (c *Core) giveBack(now time.Time) {
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Draining, "target is leaving")))
	c.report.due = true
	c.report.sent = time.Time{}
}

// Drained reports whether a shutdown is complete: nothing runs or is granted, and every ended answer was
// read or kept long enough.
func (c *Core) Drained(now time.Time) bool {
	if c.drainAt.IsZero() || len(c.offers) > 0 {
		return false
	}
	return !c.keep.HasReaders() || now.Sub(c.lastEnd) >= drainKeep
}
