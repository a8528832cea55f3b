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
func (c *Core) rolloutTick(now time.Time) {
	if c.periodic.rolloutsChanged && now.Sub(c.periodic.lastRolloutUpdate) >= moves.MinJudgeInterval {
		c.periodic.rolloutsChanged, c.periodic.lastRolloutUpdate = false, now
		c.performRolloutActions(now, c.rollouts.HandleEntries(now, c.gossipTable))
	}
	c.performRolloutActions(now, c.rollouts.Tick(now))
	if !c.periodic.watchingStore || !c.drainStart.IsZero() {
		return
	}
	for _, call := range c.lease.Tick(now) {
		c.emit(LeaseCall{Call: call})
	}
	c.recordConclusions(now)
	c.sendCommands(now)
	c.sweepTick(now)
}

// duty starts or stops the watching of the object API for the region.
func (c *Core) updateStoreWatch() {
	on := false
	for _, id := range c.members.StoreWatchers(c.region) {
		on = on || id == c.self
	}
	if on != c.periodic.watchingStore {
		c.periodic.watchingStore = on
		c.emit(WatchStore{Enabled: on})
	}
}

// publish does what the machines of moves ask for.
func (c *Core) performRolloutActions(now time.Time, acts []moves.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case moves.PublishEntry:
			c.gossipTable.Set(now, a.Kind, a.Key, a.Value)
			if a.Kind == facts.KindBadVersion {
				c.log(event.VersionJudgedBad, "key", a.Key)
			}
		case moves.RecordConclusion:
			c.log(event.RolloutConcluded, "move", a.Conclusion.Rollout, "state", string(a.Conclusion.State), "reason", string(a.Conclusion.Reason))
		}
	}
	if len(acts) > 0 {
		c.sendGossip(c.gossipTable.PushUrgent(now))
	}
}

// record writes decided ends to the object API while this router holds the lease.
func (c *Core) recordConclusions(now time.Time) {
	fence, _, held := c.lease.Held(now)
	for _, e := range c.rollouts.UnrecordedConclusions() {
		n := c.conclusionWriters[e.Rollout]
		if n == nil {
			n = moves.NewConclusionWriter(c.self, c.boot, e)
			c.conclusionWriters[e.Rollout] = n
		}
		n.Supersede(e)
		for _, call := range n.Tick(now, fence, held) {
			c.emit(ConclusionCall{Rollout: e.Rollout, Call: call})
		}
	}
}

// LeaseResult takes in the result of a LeaseCall.
func (c *Core) HandleLeaseResult(now time.Time, seq ident.Seq, o store.Object, err error) {
	_, _, before := c.lease.Held(now)
	c.lease.HandleResult(now, seq, o, err)
	fence, _, after := c.lease.Held(now)
	if after && !before {
		c.log(event.LeaseAcquired, "lease", controlLease, "fence", fence)
	}
	if before && !after {
		c.log(event.LeaseLost, "lease", controlLease)
	}
}

// EndResult takes in the result of an EndCall.
func (c *Core) HandleConclusionResult(now time.Time, move ident.Rollout, seq ident.Seq, o store.Object, err error) {
	n := c.conclusionWriters[move]
	if n == nil || !n.HandleResult(now, seq, o, err) {
		return
	}
	c.publishConclusion(now, *n.Recorded())
	delete(c.conclusionWriters, move)
}

// MoveRead takes in an object of sort "move" that this router read from the object API.
func (c *Core) HandleRolloutRead(now time.Time, value []byte) {
	if e, err := moves.DecodeConclusion(value); err == nil {
		c.publishConclusion(now, e)
	}
}

// recorded spreads the recorded end of a move.
func (c *Core) publishConclusion(now time.Time, e moves.Conclusion) {
	c.rollouts.SetRecorded(now, e)
	if _, known := c.gossipTable.Get(active.KindRecord, string(e.Rollout)); !known {
		c.gossipTable.Set(now, active.KindRecord, string(e.Rollout), e.Encode())
		c.sendGossip(c.gossipTable.PushUrgent(now))
	}
}
