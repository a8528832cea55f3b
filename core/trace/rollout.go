package trace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

// evidenceInterval is the interval at which agents publish evidence that is not urgent.
const evidenceInterval = 2 * time.Second

// rollout is a rollout of the trace, with the state machine of each router and one writer of its conclusion.
type rollout struct {
	policy      *lateBinding
	declaration conf.Rollout
	// machines and choosers are indexed by router.
	machines       []*moves.Machine
	choosers       []*moves.Chooser
	evidence       map[ident.ProcessID]wire.GossipEntry
	judgeScheduled bool
	decision       *moves.Conclusion
	writer         *moves.ConclusionWriter
	recordedAt     time.Time
	conclusion     *moves.Conclusion
	// sentAfterRollback counts requests assigned to the new version after the decision to roll back.
	sentAfterRollback int
}

// agentRollout is the state of a rollout at the agent of an old or new target.
type agentRollout struct {
	rollout        *rollout
	recorder       *moves.OutcomeCounter
	local          *moves.LocalJudge
	isNew          bool
	publishedCount uint64
	publishedAt    time.Time
}

func (l *lateBinding) startRollout(e Event) {
	now := l.w.now
	x := &rollout{policy: l, evidence: map[ident.ProcessID]wire.GossipEntry{}, declaration: conf.Rollout{
		Name: e.Name, Service: e.Service, From: e.From, To: e.To, Deadline: now.Add(e.Deadline.Duration()),
	}}
	var classes []ident.Class
	for _, a := range l.agents {
		if a.engine.Service != e.Service || a.engine.Version != e.From && a.engine.Version != e.To {
			continue
		}
		a.rollout = &agentRollout{
			rollout: x, recorder: moves.NewOutcomeCounter(a.engine.Version, a.engine.Class, now), local: moves.NewLocalJudge(),
			isNew: a.engine.Version == e.To,
		}
		if a.rollout.isNew && !slices.Contains(classes, a.engine.Class) {
			classes = append(classes, a.engine.Class)
		}
	}
	for i := range l.routers {
		m := moves.New(x.declaration, classes)
		m.Start(now)
		x.machines = append(x.machines, m)
		x.choosers = append(x.choosers, moves.NewChooser(m, rand.New(rand.NewPCG(l.w.h.Seed, uint64(i)+500))))
	}
	l.rollouts = append(l.rollouts, x)
}

// assignVersion returns the version for a request.
func (l *lateBinding) assignVersion(r *router, j *job) ident.Version {
	for _, x := range l.rollouts {
		if x.declaration.Service != j.Service || x.conclusion != nil {
			continue
		}
		v := x.choosers[slices.Index(l.routers, r)].Assign(j.Account, j.Session, j.Route, l.sessionVersion[j.Session])
		if j.Session != "" {
			l.sessionVersion[j.Session] = v
		}
		if v == x.declaration.To && x.decision != nil && x.decision.State == moves.RolledBack {
			x.sentAfterRollback++
		}
		return v
	}
	return l.currentVersion[j.Service]
}

// unprovenClasses returns the classes on which the new version is unproven, if the request is assigned to it.
func (l *lateBinding) unprovenClasses(r *router, j *job) []ident.Class {
	for _, x := range l.rollouts {
		if x.declaration.Service == j.Service && x.conclusion == nil && j.version == x.declaration.To {
			return x.machines[slices.Index(l.routers, r)].UnprovenClasses(j.Route)
		}
	}
	return nil
}

// recordOutcome adds the outcome of a request to the evidence of the agent's rollout, if any.
func (a *agent) recordOutcome(j *job, complete bool, crash uint64) {
	t := a.rollout
	if t == nil || t.rollout.conclusion != nil {
		return
	}
	// The time to the first token is scaled to the mean prompt of the route by the number of prompt tokens that the
	// engine processed until then. These include the prompts ahead of the request: without them, all questions
	// behind one assessment counted as slow answers, and a good version was rolled back.
	processedTokens := j.Prompt + a.queue.PromptAhead(j.ID)
	scaledTime := time.Duration(float64(a.timeToFirstToken[j]) * a.policy.w.meanPrompts[j.Route] / float64(processedTokens))
	o := moves.Outcome{Route: j.Route, Fingerprint: j.Fingerprint, Failed: !complete, TimeToFirstByte: scaledTime, Crash: crash, Excluded: j.CrashesTarget}
	t.recorder.Add(a.policy.w.now, o)
	if t.isNew && t.local.Add(o) {
		t.rollout.publishBadVersion(moves.Verdict{
			Reason: moves.ReasonConsecutiveFailures, Route: j.Route, Class: a.engine.Class, JudgedAt: a.policy.w.now,
		})
		a.sendReport()
	}
	a.publishEvidence()
}

func (a *agent) publishEvidence() {
	t := a.rollout
	changed, urgent := t.recorder.Changed()
	if !changed || !urgent && a.policy.w.now.Sub(t.publishedAt) < evidenceInterval {
		return
	}
	t.publishedAt = a.policy.w.now
	t.publishedCount++
	f := wire.GossipEntry{
		Kind: facts.KindEvidence, Key: moves.EvidenceKey(t.rollout.declaration.Name, ident.BootAt(epoch)), Origin: a.id,
		Boot: ident.BootAt(epoch), Seq: t.publishedCount, Value: t.recorder.EncodeEvidence(),
	}
	a.policy.w.after(gossipTime/2, func() { t.rollout.receiveEvidence(f) })
}

// receiveEvidence stores a gossip entry with evidence. Entries that arrive within one gossip round are judged
// together.
func (x *rollout) receiveEvidence(f wire.GossipEntry) {
	x.evidence[f.Origin] = f
	if x.judgeScheduled {
		return
	}
	x.judgeScheduled = true
	x.policy.w.after(gossipTime/2, func() {
		x.judgeScheduled = false
		x.judgeEvidence()
	})
}

func (x *rollout) judgeEvidence() {
	list := make([]wire.GossipEntry, 0, len(x.evidence))
	for _, f := range x.evidence {
		list = append(list, f)
	}
	slices.SortFunc(list, func(a, b wire.GossipEntry) int { return cmp.Compare(a.Origin, b.Origin) })
	for _, m := range x.machines {
		x.perform(m.HandleEvidence(x.policy.w.now, list))
	}
}

func (x *rollout) publishBadVersion(v moves.Verdict) {
	x.policy.w.after(gossipTime, func() {
		for _, m := range x.machines {
			x.perform(m.HandleVerdict(x.policy.w.now, v))
		}
		for _, a := range x.policy.agents {
			if a.rollout != nil && a.rollout.rollout == x && a.rollout.isNew {
				a.rollout.local.MarkBad()
			}
		}
	})
}

func (x *rollout) perform(list []moves.Action) {
	for _, act := range list {
		switch y := act.(type) {
		case moves.PublishEntry:
			if y.Kind == facts.KindBadVersion {
				x.publishBadVersion(moves.DecodeVerdict(y.Value))
			}
		case moves.RecordConclusion:
			x.setDecision(y.Conclusion)
		}
	}
}

func (x *rollout) setDecision(e moves.Conclusion) {
	if x.writer == nil {
		x.writer = moves.NewConclusionWriter(x.policy.routers[0].Name, ident.BootAt(epoch), e)
	} else if x.decision == nil || *x.decision != e {
		x.writer.Supersede(e)
	}
	if x.decision == nil {
		for _, m := range x.machines {
			x.perform(m.HandleDecision(e))
		}
	}
	x.decision = &e
}

func (l *lateBinding) tickRollouts() {
	for _, x := range l.rollouts {
		if x.conclusion != nil {
			continue
		}
		for _, m := range x.machines {
			x.perform(m.Tick(l.w.now))
		}
		for _, a := range l.agents {
			if a.rollout != nil && a.rollout.rollout == x {
				a.publishEvidence()
			}
		}
		x.writeConclusion()
	}
}

// writeConclusion writes the conclusion to the object API, which answers at once or is unavailable.
func (x *rollout) writeConclusion() {
	if x.writer == nil {
		return
	}
	now := x.policy.w.now
	for _, c := range x.writer.Tick(now, 1, true) { // a replay has one writer, which always holds the lease
		o, err := c.Object, error(nil)
		switch {
		case x.policy.w.storeUnavailable:
			err = store.ErrUnavailable
		case c.Read:
			err = store.ErrNotFound
		}
		if x.writer.HandleResult(now, c.Seq, o, err) {
			x.conclude(*x.writer.Recorded())
			return
		}
	}
}

func (x *rollout) conclude(e moves.Conclusion) {
	x.conclusion, x.recordedAt = &e, x.policy.w.now
	if e.State == moves.Done {
		x.policy.currentVersion[x.declaration.Service] = x.declaration.To
	}
	for _, m := range x.machines {
		m.SetRecorded(e)
	}
	for _, a := range x.policy.agents {
		if a.rollout != nil && a.rollout.rollout == x {
			a.rollout = nil
		}
	}
}

func (l *lateBinding) setStoreOutage(bool) {}

func (l *lateBinding) rolloutRunning() bool {
	for _, x := range l.rollouts {
		if x.conclusion == nil {
			return true
		}
	}
	return false
}

func (l *lateBinding) rolloutSummaries() (list []RolloutSummary) {
	for _, x := range l.rollouts {
		m := RolloutSummary{Name: x.declaration.Name, State: string(moves.Running), SentAfterRollback: x.sentAfterRollback}
		if x.conclusion != nil {
			m.State, m.Reason = string(x.conclusion.State), string(x.conclusion.Reason)
			m.DecidedAt, m.RecordedAt = x.conclusion.DecidedAt.Sub(epoch), x.recordedAt.Sub(epoch)
		}
		list = append(list, m)
	}
	return list
}
