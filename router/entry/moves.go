package entry

import (
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

// controlLease is the name of the lease under which ends of moves are recorded and orders are given.
const controlLease = "control"

// moveTick lets the moves and the lease run.
func (c *Core) moveTick(now time.Time) {
	if c.tasks.dirty && now.Sub(c.tasks.absorbed) >= moves.JudgeGap {
		c.tasks.dirty, c.tasks.absorbed = false, now
		c.publish(now, c.moves.Absorb(now, c.facts))
	}
	c.publish(now, c.moves.Tick(now))
	if !c.tasks.watching || !c.drainAt.IsZero() {
		return
	}
	for _, call := range c.lease.Tick(now) {
		c.act(LeaseCall{Call: call})
	}
	c.record(now)
	c.order(now)
	c.sweepTick(now)
}

// duty starts or stops the watching of the object API for the region.
func (c *Core) duty() {
	on := false
	for _, id := range c.member.StoreWatchers(c.region) {
		on = on || id == c.self
	}
	if on != c.tasks.watching {
		c.tasks.watching = on
		c.act(Watch{On: on})
	}
}

// publish does what the machines of moves ask for.
func (c *Core) publish(now time.Time, acts []moves.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case moves.Publish:
			c.facts.Set(now, a.Sort, a.Key, a.Value)
			if a.Sort == facts.KindBadVersion {
				c.log(event.MoveBad, "key", a.Key)
			}
		case moves.Record:
			c.log(event.MoveEnded, "move", a.End.Move, "state", string(a.End.State), "reason", string(a.End.Reason))
		}
	}
	if len(acts) > 0 {
		c.sendFacts(c.facts.PushUrgent(now))
	}
}

// record writes decided ends to the object API while this router holds the lease.
func (c *Core) record(now time.Time) {
	fence, _, held := c.lease.Held(now)
	for _, e := range c.moves.Pending() {
		n := c.enders[e.Move]
		if n == nil {
			n = moves.NewEnder(c.self, c.boot, e)
			c.enders[e.Move] = n
		}
		n.Change(e)
		for _, call := range n.Tick(now, fence, held) {
			c.act(EndCall{Move: e.Move, Call: call})
		}
	}
}

// LeaseResult takes in the result of a LeaseCall.
func (c *Core) LeaseResult(now time.Time, seq ident.Seq, o store.Object, err error) {
	_, _, before := c.lease.Held(now)
	c.lease.Result(now, seq, o, err)
	fence, _, after := c.lease.Held(now)
	if after && !before {
		c.log(event.LeaseTaken, "lease", controlLease, "fence", fence)
	}
	if before && !after {
		c.log(event.LeaseLost, "lease", controlLease)
	}
}

// EndResult takes in the result of an EndCall.
func (c *Core) EndResult(now time.Time, move ident.Move, seq ident.Seq, o store.Object, err error) {
	n := c.enders[move]
	if n == nil || !n.Result(now, seq, o, err) {
		return
	}
	c.recorded(now, *n.Recorded())
	delete(c.enders, move)
}

// MoveRead takes in an object of sort "move" that this router read from the object API.
func (c *Core) MoveRead(now time.Time, value []byte) {
	if e, err := moves.DecodeEnd(value); err == nil {
		c.recorded(now, e)
	}
}

// recorded spreads the recorded end of a move.
func (c *Core) recorded(now time.Time, e moves.End) {
	c.moves.Recorded(now, e)
	if _, known := c.facts.Get(active.SortRecord, string(e.Move)); !known {
		c.facts.Set(now, active.SortRecord, string(e.Move), e.Encode())
		c.sendFacts(c.facts.PushUrgent(now))
	}
}
