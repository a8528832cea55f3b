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
const JudgeGap = 500 * time.Millisecond

// Action is what a Machine asks its daemon to do: Publish or Record.
type Action interface{ action() }

// Publish asks for a fact to be set and pushed at once.
type Publish struct {
	Sort, Key string
	Value     []byte
}

// Record tells that an end was decided. The process that holds the lease gives it to its Ender.
type Record struct{ End End }

func (Publish) action() {}
func (Record) action()  {}

// Machine is one move as one process sees it. All processes run it; what it decides alone is in the
// safe direction, and only the lease holder records an end. It is not safe for concurrent use.
type Machine struct {
	move    conf.Move
	classes []ident.Class
	state   State
	started time.Time
	ev      Evidence
	judged  Judgement
	// stale is true when evidence, deadline or state changed since the last judgement.
	stale bool
	// bad is set once and for all when the new version was judged bad here or elsewhere.
	bad *Verdict
	// end is the decision, recorded whether the object API holds it.
	end      *End
	recorded bool
}

// New returns a waiting machine. classes are the hardware classes of the targets of the new version.
func New(m conf.Move, classes []ident.Class) *Machine {
	return &Machine{move: m, classes: classes, state: Waiting, judged: Judgement{Stages: map[ident.Route]Stage{}}}
}

// Move returns the declaration.
func (m *Machine) Move() conf.Move { return m.move }

// State returns the state. Done and Back are reported from the decision on; Recorded tells whether
// they are recorded.
func (m *Machine) State() State {
	if m.end != nil {
		return m.end.State
	}
	return m.state
}

// End returns the decided end and whether it is recorded; e is nil before the decision.
func (m *Machine) End() (e *End, recorded bool) { return m.end, m.recorded }

// Judged returns the last judgement.
func (m *Machine) Judged() Judgement { return m.judged }

// Bad reports whether the new version was judged bad.
func (m *Machine) Bad() bool { return m.bad != nil }

// Start lets a waiting move run.
func (m *Machine) Start(now time.Time) {
	if m.state == Waiting {
		m.state, m.started, m.stale = Running, now, true
	}
}

// Declare takes a changed declaration: a cancellation or another deadline.
func (m *Machine) Declare(now time.Time, mv conf.Move) []Action {
	m.move, m.stale = mv, true
	return m.Tick(now)
}

// Evidence takes all evidence facts of the move, after some of them changed.
func (m *Machine) Evidence(now time.Time, fs []wire.GossipEntry) []Action {
	m.ev, m.stale = Gather(now, fs, m.move.From, m.move.To), true
	return m.Tick(now)
}

// Verdict takes a verdict published as a fact. There is no way back from it.
func (m *Machine) Verdict(now time.Time, v Verdict) []Action {
	if m.bad == nil {
		m.bad = &v
	}
	return m.Tick(now)
}

// Decided takes an end that another process decided and published.
func (m *Machine) Decided(e End) []Action {
	if m.recorded || m.end != nil && !e.wins(*m.end) {
		return nil
	}
	m.end = &e
	return []Action{Record{e}}
}

// Recorded takes the end that the object API holds. It overrides any decision.
func (m *Machine) Recorded(e End) { m.end, m.recorded = &e, true }

// Tick applies the passing of time. It is called at least once a second.
func (m *Machine) Tick(now time.Time) (out []Action) {
	if m.recorded {
		return nil
	}
	if m.state == Running && m.stale {
		m.judged, m.stale = Judge(m.ev, m.plan()), false
	}
	if m.judged.Bad && m.bad == nil {
		v := Verdict{Reason: m.judged.Reason, Route: m.judged.Route, Class: m.judged.Class, At: now}
		m.bad = &v
		out = append(out, Publish{Sort: facts.KindBadVersion, Key: BadKey(m.move.Service, m.move.To), Value: v.Encode()})
	}
	e, ok := m.decide(now)
	if !ok || m.end != nil && !e.wins(*m.end) {
		return out
	}
	m.end = &e
	return append(out, Publish{Sort: facts.KindConclusion, Key: string(m.move.Name), Value: e.Encode()}, Record{e})
}

// plan counts the window from the start that the evidence tells, so that a process which was
// replaced during the move demands the same soak as the others.
func (m *Machine) plan() Plan {
	from := m.started
	if m.ev.started != 0 {
		from = time.Unix(m.ev.started, 0)
	}
	return Plan{From: m.move.From, To: m.move.To, Window: m.move.Deadline.Sub(from), Classes: m.classes}
}

// decide returns the end that is due. A done move can only be taken back while it is not recorded,
// and only because the version is bad or an operator cancelled it.
func (m *Machine) decide(now time.Time) (e End, ok bool) {
	e = End{Move: m.move.Name, Service: m.move.Service, State: Back, At: now}
	switch {
	case m.bad != nil:
		e.Reason, e.Route, e.Class = m.bad.Reason, m.bad.Route, m.bad.Class
	case m.move.Cancelled:
		e.Reason = ReasonCancelled
	case m.end != nil:
		return End{}, false
	case !now.Before(m.move.Deadline):
		e.Reason, e.At = ReasonDeadline, m.move.Deadline
	case m.judged.Proved:
		e.State = Done
	default:
		return End{}, false
	}
	return e, true
}

// Unproved returns the hardware classes to which requests of the new version on a route are to go, because
// they have not enough good outcomes yet.
func (m *Machine) Unproved(r ident.Route) []ident.Class {
	if u, ok := m.judged.Unproved[r]; ok {
		return u
	}
	return m.classes
}

// Share returns the part of a route's requests for the new version at most.
func (m *Machine) Share(r ident.Route) float64 {
	switch {
	case m.end != nil && m.recorded && m.end.State == Done:
		return 1
	case m.bad != nil, m.end != nil && m.end.State == Back, m.state == Waiting:
		return 0
	}
	return m.judged.Share(r)
}
