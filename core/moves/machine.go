package moves

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// MinJudgeInterval is the shortest time between two calls of Machine.HandleEvidence; one call takes 0.5 ms with ten
// agents, three routes and two classes.
const MinJudgeInterval = 500 * time.Millisecond

// Action is what a Machine asks its daemon to do: PublishEntry or RecordConclusion.
type Action interface{ action() }

// PublishEntry is the action to set a gossip entry and send it immediately.
type PublishEntry struct {
	Kind, Key string
	Value     []byte
}

// RecordConclusion reports a decision that is to be recorded. Daemons may log it; the process that holds the lease
// passes the decision to its ConclusionWriter.
type RecordConclusion struct{ Conclusion Conclusion }

func (PublishEntry) action()     {}
func (RecordConclusion) action() {}

// Machine is the state of one rollout as one process sees it. All processes run it. A process alone can only
// decide in the safe direction, and only the lease holder records a conclusion. It is not safe for concurrent use.
type Machine struct {
	rollout   conf.Rollout
	classes   []ident.Class
	state     State
	startedAt time.Time
	evidence  Evidence
	judgement Judgement
	// judgementStale is true when evidence, deadline or state have changed since the last judgement, and while a
	// judgement that the version is slow is not confirmed.
	judgementStale bool
	// slowSince is the time from which all judgements found the version slow in a running epoch with requests of the
	// old version; zero if the last one did not.
	slowSince time.Time
	// verdict is set when the new version was judged bad by this or another process, and never reset.
	verdict *Verdict
	// conclusion is the decision, or nil; recorded is true once the object API holds it.
	conclusion *Conclusion
	recorded   bool
}

// New returns a machine in state Waiting. classes are the hardware classes of the targets of the new version.
func New(rollout conf.Rollout, classes []ident.Class) *Machine {
	return &Machine{rollout: rollout, classes: classes, state: Waiting, judgement: Judgement{Stages: map[ident.Route]Stage{}}}
}

// Rollout returns the declaration of the rollout.
func (m *Machine) Rollout() conf.Rollout { return m.rollout }

// State returns the state. It is Done or RolledBack from the decision on; Conclusion tells whether the decision is
// recorded.
func (m *Machine) State() State {
	if m.conclusion != nil {
		return m.conclusion.State
	}
	return m.state
}

// Conclusion returns the decision and whether it is recorded; c is nil before the decision.
func (m *Machine) Conclusion() (c *Conclusion, recorded bool) { return m.conclusion, m.recorded }

// Judgement returns the last judgement.
func (m *Machine) Judgement() Judgement { return m.judgement }

// Bad reports whether the new version was judged bad.
func (m *Machine) Bad() bool { return m.verdict != nil }

// Start starts the rollout if it is waiting.
func (m *Machine) Start(now time.Time) {
	if m.state == Waiting {
		m.state, m.startedAt, m.judgementStale = Running, now, true
	}
}

// HandleDeclaration applies a changed declaration: a cancellation or another deadline.
func (m *Machine) HandleDeclaration(now time.Time, declared conf.Rollout) []Action {
	m.rollout, m.judgementStale = declared, true
	return m.Tick(now)
}

// HandleEvidence applies all evidence entries of the rollout, after some of them changed.
func (m *Machine) HandleEvidence(now time.Time, entries []wire.GossipEntry) []Action {
	m.evidence, m.judgementStale = MergeEvidence(now, entries, m.rollout.From, m.rollout.To), true
	return m.Tick(now)
}

// HandleVerdict applies a verdict published as a gossip entry. A verdict is never revoked.
func (m *Machine) HandleVerdict(now time.Time, v Verdict) []Action {
	if m.verdict == nil {
		m.verdict = &v
	}
	return m.Tick(now)
}

// HandleDecision applies a conclusion that another process decided and published.
func (m *Machine) HandleDecision(c Conclusion) []Action {
	if m.recorded || m.conclusion != nil && !c.supersedes(*m.conclusion) {
		return nil
	}
	m.conclusion = &c
	return []Action{RecordConclusion{c}}
}

// SetRecorded sets the conclusion that the object API holds. It overrides any decision.
func (m *Machine) SetRecorded(c Conclusion) { m.conclusion, m.recorded = &c, true }

// Tick advances the machine to now. It must be called at least once a second.
func (m *Machine) Tick(now time.Time) (out []Action) {
	if m.recorded {
		return nil
	}
	if m.state == Running && m.judgementStale {
		m.judge(now)
	}
	if m.judgement.Bad && m.verdict == nil {
		v := Verdict{Reason: m.judgement.Reason, Route: m.judgement.Route, Class: m.judgement.Class, JudgedAt: now, Score: m.judgement.Score, Counts: m.judgement.Counts}
		m.verdict = &v
		out = append(out, PublishEntry{Kind: facts.KindBadVersion, Key: BadVersionKey(m.rollout.Service, m.rollout.To), Value: v.Encode()})
	}
	c, ok := m.decide(now)
	if !ok || m.conclusion != nil && !c.supersedes(*m.conclusion) {
		return out
	}
	m.conclusion = &c
	return append(out, PublishEntry{Kind: facts.KindConclusion, Key: string(m.rollout.Name), Value: c.Encode()}, RecordConclusion{c})
}

// judge applies a new judgement. If the version is slow in a running epoch in which the old version has requests to
// compare with, the judgement is applied once it has held for confirmTime: agents report at different times, so that
// slow seconds of the machine may be known of the new version only. Until then the shares stay as they are.
func (m *Machine) judge(now time.Time) {
	j := Judge(m.evidence, m.judgeConfig())
	unconfirmed := j.Bad && j.Reason == ReasonSlow && m.evidence.comparesNewest(routeClass{j.Route, j.Class})
	switch {
	case !unconfirmed:
		m.slowSince = time.Time{}
	case m.slowSince.IsZero():
		m.slowSince = now
	}
	if m.judgementStale = unconfirmed && now.Sub(m.slowSince) < m.evidence.confirmTime(); m.judgementStale {
		m.judgement.Proven, m.judgement.Score = false, j.Score
		return
	}
	m.judgement = j
}

// judgeConfig counts the duration from the start of the rollout in the evidence, so that a process which was
// replaced during the rollout requires the same soak as the others.
func (m *Machine) judgeConfig() JudgeConfig {
	start := m.startedAt
	if m.evidence.startedUnix != 0 {
		start = time.Unix(m.evidence.startedUnix, 0)
	}
	return JudgeConfig{From: m.rollout.From, To: m.rollout.To, Duration: m.rollout.Deadline.Sub(start), Classes: m.classes}
}

// decide returns the conclusion that is due, if any. A rollout decided as done can only be rolled back while that
// is not recorded, and only because the version is bad or an operator cancelled the rollout.
func (m *Machine) decide(now time.Time) (c Conclusion, ok bool) {
	c = Conclusion{Rollout: m.rollout.Name, Service: m.rollout.Service, State: RolledBack, DecidedAt: now}
	switch {
	case m.verdict != nil:
		c.Reason, c.Route, c.Class = m.verdict.Reason, m.verdict.Route, m.verdict.Class
	case m.rollout.Cancelled:
		c.Reason = ReasonCancelled
	case m.conclusion != nil:
		return Conclusion{}, false
	case !now.Before(m.rollout.Deadline):
		c.Reason, c.DecidedAt = ReasonDeadline, m.rollout.Deadline
	case m.judgement.Proven:
		c.State = Done
	default:
		return Conclusion{}, false
	}
	return c, true
}

// UnprovenClasses returns the hardware classes to which requests for the new version on a route are to be sent,
// because these classes do not have enough successes yet.
func (m *Machine) UnprovenClasses(r ident.Route) []ident.Class {
	if classes, ok := m.judgement.UnprovenClasses[r]; ok {
		return classes
	}
	return m.classes
}

// Share returns the largest share of a route's requests that may go to the new version.
func (m *Machine) Share(r ident.Route) float64 {
	switch {
	case m.conclusion != nil && m.recorded && m.conclusion.State == Done:
		return 1
	case m.verdict != nil, m.conclusion != nil && m.conclusion.State == RolledBack, m.state == Waiting:
		return 0
	}
	return m.judgement.Share(r)
}
