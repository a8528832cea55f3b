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

// verdict is the agent's part in the move of its service.
type verdict struct {
	moves *active.Set
	// dirty is true when facts about moves changed since absorbed.
	dirty    bool
	absorbed time.Time
	// move is the running move in which this target takes part; local judges its new version.
	move     ident.Move
	trial    bool
	recorder *moves.Recorder
	local    *moves.Local
	written  time.Time
	// crash numbers the crashes of the target.
	crash uint64
}

// refusing reports whether the agent refuses work because its version was judged bad.
func (c *Core) refusing(_ *wire.Offer) bool { return c.verdict.refuses() }

func (v *verdict) refuses() bool { return v.trial && v.local != nil && v.local.Refuses() }

// judge lets the moves run and publishes evidence.
func (c *Core) judge(now time.Time) {
	v := &c.verdict
	if v.dirty && now.Sub(v.absorbed) >= moves.JudgeGap {
		v.dirty, v.absorbed = false, now
		c.publish(now, v.moves.Absorb(now, c.facts))
	}
	c.publish(now, v.moves.Tick(now))
	c.follow(now)
	c.evidence(now)
}

// publish does what the machines of moves ask for. Ends are recorded by the holder of the lease, not here.
func (c *Core) publish(now time.Time, acts []moves.Action) {
	for _, a := range acts {
		if p, ok := a.(moves.Publish); ok {
			c.facts.Set(now, p.Sort, p.Key, p.Value)
		}
	}
}

// follow takes part in the running move of the service, if any.
func (c *Core) follow(now time.Time) {
	v := &c.verdict
	m := v.moves.Running(c.decl.Service)
	if !c.ok || m == nil || (c.decl.Version != m.Move().From && c.decl.Version != m.Move().To) {
		v.move, v.trial, v.recorder, v.local = "", false, nil, nil
		return
	}
	if v.move != m.Move().Name {
		v.move = m.Move().Name
		v.trial = c.decl.Version == m.Move().To
		v.recorder = moves.NewRecorder(c.decl.Version, c.decl.Class, now)
		v.local = moves.NewLocal()
	}
	if m.Bad() && v.trial && !v.local.Refuses() {
		v.local.Judge()
		c.refuseTrial(now)
	}
}

// learn counts the outcome of a request as evidence about the version of the target.
func (c *Core) learn(now time.Time, o *offer, out target.Outcome) {
	if out.Whole {
		for _, f := range c.guard.Finished(now, o.Fingerprint) {
			c.publishGuard(now, f)
		}
	}
	v := &c.verdict
	if v.recorder == nil {
		return
	}
	oc := c.outcome(now, o, out)
	v.recorder.Add(now, oc)
	if v.trial && v.local.Add(oc) {
		c.log(event.MoveBad, "move", v.move, "version", c.decl.Version, "route", o.Route)
		verdict := moves.Verdict{Reason: moves.ReasonRun, Route: o.Route, Class: c.decl.Class, At: now}
		c.facts.Set(now, facts.KindBadVersion, moves.BadKey(c.decl.Service, c.decl.Version), verdict.Encode())
		v.dirty = true
		c.refuseTrial(now)
	}
	c.evidence(now)
}

func (c *Core) outcome(now time.Time, o *offer, out target.Outcome) moves.Outcome {
	oc := moves.Outcome{
		Route: o.Route, Print: o.Fingerprint, Failed: !out.Whole || o.status >= failStatus,
		Excused: o.left || c.guard.Check(now, o.Fingerprint) == guard.Blocked,
	}
	if !o.first.IsZero() {
		// An engine reads prompts in their order, so a question behind an assessment is not a slow answer.
		oc.Took = o.first.Sub(o.began) * usualPrompt / time.Duration(max(o.Prompt+o.ahead, usualPrompt))
	}
	if out.Lost {
		oc.Crash = c.verdict.crash
	}
	return oc
}

// refuseTrial gives back what waits, so that it is offered to the other version.
func (c *Core) refuseTrial(_ time.Time) {
	c.refuseAll(c.queue.Drain(time.Time{}, fault.NotRunf(fault.Bad, "version %s was judged bad", c.decl.Version)))
	c.report.due = true
}

// poolSize returns the number of agents of the service.
func (c *Core) poolSize() int {
	if x := c.force.Index(); x != nil {
		return len(x.Pool(c.decl.Service))
	}
	return 1
}

// evidence publishes the counters of the recorder when they are due.
func (c *Core) evidence(now time.Time) {
	v := &c.verdict
	if v.recorder == nil {
		return
	}
	changed, urgent := v.recorder.Changed()
	if urgent || changed && now.Sub(v.written) >= moves.Interval(c.poolSize()) || v.written.IsZero() {
		v.written = now
		c.facts.Set(now, facts.KindEvidence, moves.EvidenceKey(v.move, c.boot), v.recorder.Value())
		v.dirty = true
		c.sendFacts(c.facts.PushUrgent(now))
	}
}
