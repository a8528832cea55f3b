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

// controlLease is the name of the lease under which conclusions of rollouts are recorded and commands are sent.
const controlLease = "control"

// rolloutTick advances the rollouts and the lease.
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

// updateStoreWatch starts or stops watching the object API for the region.
func (c *Core) updateStoreWatch() {
	watching := false
	for _, id := range c.members.StoreWatchers(c.region) {
		watching = watching || id == c.self
	}
	if watching != c.periodic.watchingStore {
		c.periodic.watchingStore = watching
		c.emit(WatchStore{Enabled: watching})
	}
}

// performRolloutActions performs the actions that the state machines of rollouts request.
func (c *Core) performRolloutActions(now time.Time, acts []moves.Action) {
	for _, a := range acts {
		switch a := a.(type) {
		case moves.PublishEntry:
			c.gossipTable.Set(now, a.Kind, a.Key, a.Value)
			if a.Kind == facts.KindBadVersion {
				v := moves.DecodeVerdict(a.Value)
				c.log(event.VersionJudgedBad, "key", a.Key, "reason", string(v.Reason), "route", v.Route, "class", v.Class, "score", v.Score, "counts", v.Counts)
			}
		case moves.RecordConclusion:
			c.log(event.RolloutConcluded, "move", a.Conclusion.Rollout, "state", string(a.Conclusion.State), "reason", string(a.Conclusion.Reason))
		}
	}
	if len(acts) > 0 {
		c.sendGossip(c.gossipTable.PushUrgent(now))
	}
}

// recordConclusions writes conclusions of rollouts to the object API while this router holds the lease.
func (c *Core) recordConclusions(now time.Time) {
	fence, _, held := c.lease.Held(now)
	for _, e := range c.rollouts.UnrecordedConclusions() {
		cw := c.conclusionWriters[e.Rollout]
		if cw == nil {
			cw = moves.NewConclusionWriter(c.self, c.boot, e)
			c.conclusionWriters[e.Rollout] = cw
		}
		cw.Supersede(e)
		for _, call := range cw.Tick(now, fence, held) {
			c.emit(ConclusionCall{Rollout: e.Rollout, Call: call})
		}
	}
}

// HandleLeaseResult handles the result of a LeaseCall.
func (c *Core) HandleLeaseResult(now time.Time, seq ident.Seq, o store.Object, err error) {
	_, _, heldBefore := c.lease.Held(now)
	c.lease.HandleResult(now, seq, o, err)
	fence, _, heldAfter := c.lease.Held(now)
	if heldAfter && !heldBefore {
		c.log(event.LeaseAcquired, "lease", controlLease, "fence", fence)
	}
	if heldBefore && !heldAfter {
		c.log(event.LeaseLost, "lease", controlLease)
	}
}

// HandleConclusionResult handles the result of a ConclusionCall.
func (c *Core) HandleConclusionResult(now time.Time, rollout ident.Rollout, seq ident.Seq, o store.Object, err error) {
	cw := c.conclusionWriters[rollout]
	if cw == nil || !cw.HandleResult(now, seq, o, err) {
		return
	}
	c.publishConclusion(now, *cw.Recorded())
	delete(c.conclusionWriters, rollout)
}

// HandleRolloutRead handles an object of the kind "move" that this router read from the object API.
func (c *Core) HandleRolloutRead(now time.Time, value []byte) {
	if e, err := moves.DecodeConclusion(value); err == nil {
		c.publishConclusion(now, e)
	}
}

// publishConclusion publishes the recorded conclusion of a rollout.
func (c *Core) publishConclusion(now time.Time, e moves.Conclusion) {
	c.rollouts.SetRecorded(now, e)
	if _, known := c.gossipTable.Get(active.KindRecord, string(e.Rollout)); !known {
		c.gossipTable.Set(now, active.KindRecord, string(e.Rollout), e.Encode())
		c.sendGossip(c.gossipTable.PushUrgent(now))
	}
}
