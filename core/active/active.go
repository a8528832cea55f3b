// Package active runs the machines of all declared moves in a daemon. It feeds them with the
// configuration and with facts, and tells which version of a service is current.
package active

import (
	"slices"
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// SortRecord is the sort of facts that hold recorded ends of moves, as read from the object API.
const SortRecord = "record"

// Facts is the part of facts.Machine that is read.
type Facts interface {
	All(sort string) []wire.GossipEntry
}

// Set is the set of moves of one daemon. It is not safe for concurrent use.
type Set struct {
	cfg conf.Config
	// machines holds a machine for each declared move, and for each that ended while it was declared.
	machines map[ident.Move]*moves.Machine
	// records holds the recorded ends.
	records map[ident.Move]moves.End
	// began is the time at which this daemon saw a move start.
	began map[ident.Move]time.Time
}

// New returns an empty set.
func New() *Set {
	return &Set{
		machines: make(map[ident.Move]*moves.Machine),
		records:  make(map[ident.Move]moves.End),
		began:    make(map[ident.Move]time.Time),
	}
}

// Configure takes in an accepted configuration.
func (s *Set) Configure(now time.Time, cfg conf.Config) (acts []moves.Action) {
	s.cfg = cfg
	declared := make(map[ident.Move]bool, len(cfg.Moves))
	for _, mv := range cfg.Moves {
		declared[mv.Name] = true
		if m := s.machines[mv.Name]; m != nil {
			acts = append(acts, m.Declare(now, mv)...)
			continue
		}
		m := moves.New(mv, classes(cfg, mv))
		if e, ok := s.records[mv.Name]; ok {
			m.Recorded(e)
		}
		s.machines[mv.Name] = m
	}
	for name := range s.machines {
		if !declared[name] {
			delete(s.machines, name)
		}
	}
	return append(acts, s.start(now)...)
}

func classes(cfg conf.Config, mv conf.Move) (out []ident.Class) {
	seen := make(map[ident.Class]bool)
	for _, t := range cfg.Targets {
		if t.Service == mv.Service && t.Version == mv.To && !seen[t.Class] {
			seen[t.Class] = true
			out = append(out, t.Class)
		}
	}
	return out
}

// start lets the moves run whose turn it is.
func (s *Set) start(now time.Time) (acts []moves.Action) {
	ended := func(m ident.Move) bool { _, ok := s.records[m]; return ok }
	started := func(m ident.Move) bool { return !s.began[m].IsZero() }
	for _, mv := range moves.Next(s.cfg.Moves, ended, started) {
		if m := s.machines[mv.Name]; m != nil && !started(mv.Name) {
			m.Start(now)
			s.began[mv.Name] = now
			acts = append(acts, m.Tick(now)...)
		}
	}
	return acts
}

// Absorb takes in all facts about moves. It is called after some of them changed.
func (s *Set) Absorb(now time.Time, f Facts) (acts []moves.Action) {
	for _, r := range f.All(SortRecord) {
		if e, err := moves.DecodeEnd(r.Value); err == nil {
			s.Recorded(now, e)
		}
	}
	evidence := byKey(f.All(facts.KindEvidence))
	for _, e := range f.All(facts.KindConclusion) {
		if end, err := moves.DecodeEnd(e.Value); err == nil && s.machines[end.Move] != nil {
			acts = append(acts, s.machines[end.Move].Decided(end)...)
		}
	}
	bad := f.All(facts.KindBadVersion)
	for name, m := range s.machines {
		mv := m.Move()
		for _, b := range bad {
			if b.Key == moves.BadKey(mv.Service, mv.To) {
				acts = append(acts, m.Verdict(now, moves.DecodeVerdict(b.Value))...)
			}
		}
		if fs := evidence[string(name)]; len(fs) > 0 {
			acts = append(acts, m.Evidence(now, fs)...)
		}
	}
	return append(acts, s.start(now)...)
}

// byKey groups evidence facts by move; the key of a fact starts with the move's name and a slash.
func byKey(fs []wire.GossipEntry) map[string][]wire.GossipEntry {
	out := make(map[string][]wire.GossipEntry)
	for _, f := range fs {
		for i := len(f.Key) - 1; i >= 0; i-- {
			if f.Key[i] == '/' {
				out[f.Key[:i]] = append(out[f.Key[:i]], f)
				break
			}
		}
	}
	return out
}

// Recorded takes in the recorded end of a move.
func (s *Set) Recorded(now time.Time, e moves.End) {
	if _, known := s.records[e.Move]; known {
		return
	}
	s.records[e.Move] = e
	if m := s.machines[e.Move]; m != nil {
		m.Recorded(e)
	}
	s.start(now)
}

// Tick applies the passing of time; it is called at least once a second.
func (s *Set) Tick(now time.Time) (acts []moves.Action) {
	acts = s.start(now)
	for _, m := range s.machines {
		acts = append(acts, m.Tick(now)...)
	}
	return acts
}

// Running returns the move of a service that runs, or that has a decided end without a record; nil if none.
func (s *Set) Running(service ident.Service) *moves.Machine {
	for name, m := range s.machines {
		if _, ended := s.records[name]; m.Move().Service == service && !ended && !s.began[name].IsZero() {
			return m
		}
	}
	return nil
}

// Current returns the version that serves a service when no move runs: the declared one, followed by the
// moves that were recorded as done, in the order of their ends.
func (s *Set) Current(svc conf.Service) ident.Version {
	v := svc.Current
	for _, mv := range s.done(svc.Name) {
		if mv.From == v {
			v = mv.To
		}
	}
	return v
}

// done returns the declared moves of a service that were recorded as done, the oldest end first.
func (s *Set) done(service ident.Service) (out []conf.Move) {
	for _, mv := range s.cfg.Moves {
		if e, ok := s.records[mv.Name]; ok && e.State == moves.Done && mv.Service == service {
			out = append(out, mv)
		}
	}
	slices.SortFunc(out, func(a, b conf.Move) int { return s.records[a.Name].At.Compare(s.records[b.Name].At) })
	return out
}

// Pending returns the decided ends that are not recorded yet.
func (s *Set) Pending() (ends []moves.End) {
	for name, m := range s.machines {
		if _, ok := s.records[name]; ok {
			continue
		}
		if e, recorded := m.End(); e != nil && !recorded {
			ends = append(ends, *e)
		}
	}
	return ends
}

// Status returns what operators see of the declared moves, in the order of their declaration.
func (s *Set) Status() []conf.MoveStatus {
	out := make([]conf.MoveStatus, 0, len(s.cfg.Moves))
	for _, mv := range s.cfg.Moves {
		m := s.machines[mv.Name]
		if m == nil {
			continue
		}
		st := conf.MoveStatus{
			Name: mv.Name, Service: mv.Service, From: mv.From, To: mv.To,
			State: conf.MoveState(m.State()), Share: m.Share(""), Began: s.began[mv.Name],
		}
		if e, _ := m.End(); e != nil {
			st.Reason, st.Ended = string(e.Reason), e.At
		}
		out = append(out, st)
	}
	return out
}
