package moves

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// JudgeGap is the shortest time between two calls of Machine.Evidence; one took
// 0.5 ms with ten agents, three routes and two classes.
const MinJudgeInterval = 500 * time.Millisecond

// Action is what a Machine asks its daemon to do: Publish or Record.
type Action interface{ action() }

// Publish asks for a fact to be set and pushed at once.
type PublishEntry struct {
	Kind, Key string
	Value     []byte
}

// Record tells that an end was decided. The process that holds the lease gives it to its Ender.
type RecordConclusion struct{ Conclusion Conclusion }

func (PublishEntry) action()     {}
func (RecordConclusion) action() {}

// Machine is one move as one process sees it. All processes run it; what it decides alone is in the
// safe direction, and only the lease holder records an end. It is not safe for concurrent use.
type Machine struct {
	rollout   conf.Rollout
	classes   []ident.Class
	state     State
	startedAt time.Time
	evidence  Evidence
	judgement Judgement
	// stale is true when evidence, deadline or state changed since the last judgement.
	judgementStale bool
	// bad is set once and for all when the new version was judged bad here or elsewhere.
	verdict *Verdict
	// end is the decision, recorded whether the object API holds it.
	conclusion *Conclusion
	recorded   bool
}

// New returns a waiting machine. classes are the hardware classes of the targets of the new version.
func New(m conf.Rollout, classes []ident.Class) *Machine {
	return &Machine{rollout: m, classes: classes, state: Waiting, judgement: Judgement{Stages: map[ident.Route]Stage{}}}
}

// Move returns the declaration.
func (m *Machine) Rollout() conf.Rollout { return m.rollout }

// State returns the state. Done and Back are reported from the decision on; Recorded tells whether
// they are recorded.
func (m *Machine) State() State {
	if m.conclusion != nil {
		return m.conclusion.State
	}
	return m.state
}

// End returns the decided end and whether it is recorded; e is nil before the decision.
func (m *Machine) Conclusion() (e *Conclusion, recorded bool) { return m.conclusion, m.recorded }

// Judged returns the last judgement.
func (m *Machine) Judgement() Judgement { return m.judgement }

// Bad reports whether the new version was judged bad.
func (m *Machine) Bad() bool { return m.verdict != nil }

// Start lets a waiting move run.
func (m *Machine) Start(now time.Time) {
	if m.state == Waiting {
		m.state, m.startedAt, m.judgementStale = Running, now, true
	}
}

// Declare takes a changed declaration: a cancellation or another deadline.
func (m *Machine) HandleDeclaration(now time.Time, mv conf.Rollout) []Action {
	m.rollout, m.judgementStale = mv, true
	return m.Tick(now)
}

// Evidence takes all evidence facts of the move, after some of them changed.
func (m *Machine) HandleEvidence(now time.Time, fs []wire.GossipEntry) []Action {
	m.evidence, m.judgementStale = MergeEvidence(now, fs, m.rollout.From, m.rollout.To), true
	return m.Tick(now)
}

// Verdict takes a verdict published as a fact. There is no way back from it.
func (m *Machine) HandleVerdict(now time.Time, v Verdict) []Action {
	if m.verdict == nil {
		m.verdict = &v
	}
	return m.Tick(now)
}

// Decided takes an end that another process decided and published.
func (m *Machine) HandleDecision(e Conclusion) []Action {
	if m.recorded || m.conclusion != nil && !e.supersedes(*m.conclusion) {
		return nil
	}
	m.conclusion = &e
	return []Action{RecordConclusion{e}}
}

// Recorded takes the end that the object API holds. It overrides any decision.
func (m *Machine) SetRecorded(e Conclusion) { m.conclusion, m.recorded = &e, true }

// Tick applies the passing of time. It is called at least once a second.
func (m *Machine) Tick(now time.Time) (out []Action) {
	if m.recorded {
		return nil
	}
	if m.state == Running && m.judgementStale {
		m.judgement, m.judgementStale = Judge(m.evidence, m.judgeConfig()), false
	}
	if m.judgement.Bad && m.verdict == nil {
		v := Verdict{Reason: m.judgement.Reason, Route: m.judgement.Route, Class: m.judgement.Class, JudgedAt: now}
		m.verdict = &v
		out = append(out, PublishEntry{Kind: facts.KindBadVersion, Key: BadVersionKey(m.rollout.Service, m.rollout.To), Value: v.Encode()})
	}
	e, ok := m.decide(now)
	if !ok || m.conclusion != nil && !e.supersedes(*m.conclusion) {
		return out
	}
	m.conclusion = &e
	return append(out, PublishEntry{Kind: facts.KindConclusion, Key: string(m.rollout.Name), Value: e.Encode()}, RecordConclusion{e})
}

// plan counts the window from the start that the evidence tells, so that a process which was
// replaced during the move demands the same soak as the others.
func (m *Machine) judgeConfig() JudgeConfig {
	from := m.startedAt
	if m.evidence.startedUnix != 0 {
		from = time.Unix(m.evidence.startedUnix, 0)
	}
	return JudgeConfig{From: m.rollout.From, To: m.rollout.To, Duration: m.rollout.Deadline.Sub(from), Classes: m.classes}
}

// decide returns the end that is due. A done move can only be taken back while it is not recorded,
// and only because the version is bad or an operator cancelled it.
func (m *Machine) decide(now time.Time) (e Conclusion, ok bool) {
	e = Conclusion{Rollout: m.rollout.Name, Service: m.rollout.Service, State: RolledBack, DecidedAt: now}
	switch {
	case m.verdict != nil:
		e.Reason, e.Route, e.Class = m.verdict.Reason, m.verdict.Route, m.verdict.Class
	case m.rollout.Cancelled:
		e.Reason = ReasonCancelled
	case m.conclusion != nil:
		return Conclusion{}, false
	case !now.Before(m.rollout.Deadline):
		e.Reason, e.DecidedAt = ReasonDeadline, m.rollout.Deadline
	case m.judgement.Proved:
		e.State = Done
	default:
		return Conclusion{}, false
	}
	return e, true
}

// Unproved returns the hardware classes to which requests of the new version on a route are to go, because
// they have not enough good outcomes yet.
func (m *Machine) UnprovenClasses(r ident.Route) []ident.Class {
	if u, ok := m.judgement.UnprovenClasses[r]; ok {
		return u
	}
	return m.classes
}

// Share returns the part of a route's requests for the new version at most.
func (m *Machine) Share(r ident.Route) float64 {
	switch {
	case m.conclusion != nil && m.recorded && m.conclusion.State == Done:
		return 1
	case m.verdict != nil, m.conclusion != nil && m.conclusion.State == RolledBack, m.state == Waiting:
		return 0
	}
	return m.judgement.Share(r)
}
