package node

import (
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/active"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// rolloutState is the state of the agent in the rollout of its service.
type rolloutState struct {
	rollouts *active.RolloutSet
	// dirty is true when gossip entries about rollouts have changed since entriesHandledAt.
	dirty            bool
	entriesHandledAt time.Time
	// name is the running rollout in which this target takes part; canary is true if the target runs its new
	// version, which local judges.
	name        ident.Rollout
	canary      bool
	recorder    *moves.OutcomeCounter
	local       *moves.LocalJudge
	publishedAt time.Time
	// crashes counts the crashes of the target.
	crashes uint64
}

// refusesVersion reports whether the agent refuses requests because its version was judged bad.
func (c *Core) refusesVersion(_ *wire.Offer) bool { return c.rollout.refuses() }

func (v *rolloutState) refuses() bool { return v.canary && v.local != nil && v.local.Refuses() }

// rolloutTick advances the rollouts and publishes evidence.
func (c *Core) rolloutTick(now time.Time) {
	v := &c.rollout
	if v.dirty && now.Sub(v.entriesHandledAt) >= moves.MinJudgeInterval {
		v.dirty, v.entriesHandledAt = false, now
		c.publishActions(now, v.rollouts.HandleEntries(now, c.gossipTable))
	}
	c.publishActions(now, v.rollouts.Tick(now))
	c.followRollout(now)
	c.publishEvidence(now)
}

// publishActions publishes the gossip entries that the state machines of rollouts request. Conclusions are recorded
// by the holder of the lease, not here.
func (c *Core) publishActions(now time.Time, acts []moves.Action) {
	for _, a := range acts {
		if p, ok := a.(moves.PublishEntry); ok {
			c.gossipTable.Set(now, p.Kind, p.Key, p.Value)
			if p.Kind == facts.KindBadVersion {
				v := moves.DecodeVerdict(p.Value)
				c.log(event.VersionJudgedBad, "key", p.Key, "reason", string(v.Reason), "route", v.Route, "class", v.Class, "score", v.Score, "counts", v.Counts)
			}
		}
	}
}

// followRollout joins the running rollout of the service, if any.
func (c *Core) followRollout(now time.Time) {
	v := &c.rollout
	m := v.rollouts.Running(c.decl.Service)
	if !c.configured || m == nil || (c.decl.Version != m.Rollout().From && c.decl.Version != m.Rollout().To) {
		v.name, v.canary, v.recorder, v.local = "", false, nil, nil
		return
	}
	if v.name != m.Rollout().Name {
		v.name = m.Rollout().Name
		v.canary = c.decl.Version == m.Rollout().To
		v.recorder = moves.NewOutcomeCounter(c.decl.Version, c.decl.Class, now)
		v.local = moves.NewLocalJudge()
	}
	if m.Bad() && v.canary && !v.local.Refuses() {
		v.local.MarkBad()
		c.refuseBadVersion(now)
	}
}

// recordOutcome counts the outcome of a request as evidence about the version of the target.
func (c *Core) recordOutcome(now time.Time, o *offer, out target.Outcome) {
	if out.Complete {
		for _, f := range c.guard.RecordFinish(now, o.Fingerprint) {
			c.publishGuardEntry(now, f)
		}
		if o.status < failureStatusMin {
			c.recordPoisonPass(now, o)
		}
	}
	v := &c.rollout
	if v.recorder == nil {
		return
	}
	outcome := c.outcome(now, o, out)
	v.recorder.Add(now, outcome)
	if v.canary && v.local.Add(outcome) {
		c.log(event.VersionJudgedBad, "move", v.name, "version", c.decl.Version, "route", o.Route)
		verdict := moves.Verdict{Reason: moves.ReasonConsecutiveFailures, Route: o.Route, Class: c.decl.Class, JudgedAt: now}
		c.gossipTable.Set(now, facts.KindBadVersion, moves.BadVersionKey(c.decl.Service, c.decl.Version), verdict.Encode())
		v.dirty = true
		c.refuseBadVersion(now)
	}
	c.publishEvidence(now)
}

// outcome returns the outcome of a request as evidence for the rollout.
func (c *Core) outcome(now time.Time, o *offer, out target.Outcome) moves.Outcome {
	result := moves.Outcome{
		Route: o.Route, Fingerprint: o.Fingerprint, Failed: !out.Complete || o.status >= failureStatusMin,
		Excluded: o.abandoned || c.guard.Check(now, o.Fingerprint) == guard.Blocked || c.blocked(now, &o.Offer),
	}
	if !o.firstPartAt.IsZero() {
		// An engine reads prompts in the order of arrival: a short prompt behind a long one is no evidence of a slow
		// version. The time is therefore scaled by the prompt tokens read until then, the request's own included.
		result.TimeToFirstByte = o.firstPartAt.Sub(o.dispatchedAt) * referencePromptTokens / time.Duration(max(o.Prompt+o.promptAhead, referencePromptTokens))
	}
	if out.ConnectionLost {
		result.Crash = c.rollout.crashes
	}
	return result
}

// refuseBadVersion refuses all queued requests, so that routers offer them to the other version.
func (c *Core) refuseBadVersion(_ time.Time) {
	c.refuseAll(c.queue.Drain(time.Time{}, fault.NotRunf(fault.BadVersion, "version %s was judged bad", c.decl.Version)))
	c.report.due = true
}

// poolSize returns the number of agents of the service.
func (c *Core) poolSize() int {
	if x := c.config.Index(); x != nil {
		return len(x.Pool(c.decl.Service))
	}
	return 1
}

// publishEvidence publishes the counters of the recorder when they are due.
func (c *Core) publishEvidence(now time.Time) {
	v := &c.rollout
	if v.recorder == nil {
		return
	}
	changed, urgent := v.recorder.Changed()
	if urgent || changed && now.Sub(v.publishedAt) >= moves.PublishInterval(c.poolSize()) || v.publishedAt.IsZero() {
		v.publishedAt = now
		c.gossipTable.Set(now, facts.KindEvidence, moves.EvidenceKey(v.name, c.boot), v.recorder.EncodeEvidence())
		v.dirty = true
		c.sendEntries(c.gossipTable.PushUrgent(now))
	}
}
