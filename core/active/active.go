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
const KindRecord = "record"

// Facts is the part of facts.Machine that is read.
type EntryReader interface {
	All(sort string) []wire.GossipEntry
}

// Set is the set of moves of one daemon. It is not safe for concurrent use.
type RolloutSet struct {
	cfg conf.Config
	// machines holds a machine for each declared move, and for each that ended while it was declared.
	machines map[ident.Rollout]*moves.Machine
	// records holds the recorded ends.
	conclusions map[ident.Rollout]moves.Conclusion
	// began is the time at which this daemon saw a move start.
	startedAt map[ident.Rollout]time.Time
}

// New returns an empty set.
func New() *RolloutSet {
	return &RolloutSet{
		machines:    make(map[ident.Rollout]*moves.Machine),
		conclusions: make(map[ident.Rollout]moves.Conclusion),
		startedAt:   make(map[ident.Rollout]time.Time),
	}
}

// Configure takes in an accepted configuration.
func (s *RolloutSet) HandleConfig(now time.Time, cfg conf.Config) (acts []moves.Action) {
	s.cfg = cfg
	declared := make(map[ident.Rollout]bool, len(cfg.Rollouts))
	for _, mv := range cfg.Rollouts {
		declared[mv.Name] = true
		if m := s.machines[mv.Name]; m != nil {
			acts = append(acts, m.HandleDeclaration(now, mv)...)
			continue
		}
		m := moves.New(mv, targetClasses(cfg, mv))
		if e, ok := s.conclusions[mv.Name]; ok {
			m.SetRecorded(e)
		}
		s.machines[mv.Name] = m
	}
	for name := range s.machines {
		if !declared[name] {
			delete(s.machines, name)
		}
	}
	return append(acts, s.startDue(now)...)
}

func targetClasses(cfg conf.Config, mv conf.Rollout) (out []ident.Class) {
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
func (s *RolloutSet) startDue(now time.Time) (acts []moves.Action) {
	ended := func(m ident.Rollout) bool { _, ok := s.conclusions[m]; return ok }
	started := func(m ident.Rollout) bool { return !s.startedAt[m].IsZero() }
	for _, mv := range moves.SelectRunning(s.cfg.Rollouts, ended, started) {
		if m := s.machines[mv.Name]; m != nil && !started(mv.Name) {
			m.Start(now)
			s.startedAt[mv.Name] = now
			acts = append(acts, m.Tick(now)...)
		}
	}
	return acts
}

// Absorb takes in all facts about moves. It is called after some of them changed.
func (s *RolloutSet) HandleEntries(now time.Time, f EntryReader) (acts []moves.Action) {
	for _, r := range f.All(KindRecord) {
		if e, err := moves.DecodeConclusion(r.Value); err == nil {
			s.SetRecorded(now, e)
		}
	}
	evidence := evidenceByRollout(f.All(facts.KindEvidence))
	for _, e := range f.All(facts.KindConclusion) {
		if end, err := moves.DecodeConclusion(e.Value); err == nil && s.machines[end.Rollout] != nil {
			acts = append(acts, s.machines[end.Rollout].HandleDecision(end)...)
		}
	}
	bad := f.All(facts.KindBadVersion)
	for name, m := range s.machines {
		mv := m.Rollout()
		for _, b := range bad {
			if b.Key == moves.BadVersionKey(mv.Service, mv.To) {
				acts = append(acts, m.HandleVerdict(now, moves.DecodeVerdict(b.Value))...)
			}
		}
		if fs := evidence[string(name)]; len(fs) > 0 {
			acts = append(acts, m.HandleEvidence(now, fs)...)
		}
	}
	return append(acts, s.startDue(now)...)
}

// byKey groups evidence facts by move; the key of a fact starts with the move's name and a slash.
func evidenceByRollout(fs []wire.GossipEntry) map[string][]wire.GossipEntry {
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
func (s *RolloutSet) SetRecorded(now time.Time, e moves.Conclusion) {
	if _, known := s.conclusions[e.Rollout]; known {
		return
	}
	s.conclusions[e.Rollout] = e
	if m := s.machines[e.Rollout]; m != nil {
		m.SetRecorded(e)
	}
	s.startDue(now)
}

// Tick applies the passing of time; it is called at least once a second.
func (s *RolloutSet) Tick(now time.Time) (acts []moves.Action) {
	acts = s.startDue(now)
	for _, m := range s.machines {
		acts = append(acts, m.Tick(now)...)
	}
	return acts
}

// Running returns the move of a service that runs, or that has a decided end without a record; nil if none.
func (s *RolloutSet) Running(service ident.Service) *moves.Machine {
	for name, m := range s.machines {
		if _, ended := s.conclusions[name]; m.Rollout().Service == service && !ended && !s.startedAt[name].IsZero() {
			return m
		}
	}
	return nil
}

// Current returns the version that serves a service when no move runs: the declared one, followed by the
// moves that were recorded as done, in the order of their ends.
func (s *RolloutSet) CurrentVersion(svc conf.Service) ident.Version {
	v := svc.Current
	for _, mv := range s.doneRollouts(svc.Name) {
		if mv.From == v {
			v = mv.To
		}
	}
	return v
}

// done returns the declared moves of a service that were recorded as done, the oldest end first.
func (s *RolloutSet) doneRollouts(service ident.Service) (out []conf.Rollout) {
	for _, mv := range s.cfg.Rollouts {
		if e, ok := s.conclusions[mv.Name]; ok && e.State == moves.Done && mv.Service == service {
			out = append(out, mv)
		}
	}
	slices.SortFunc(out, func(a, b conf.Rollout) int {
		return s.conclusions[a.Name].DecidedAt.Compare(s.conclusions[b.Name].DecidedAt)
	})
	return out
}

// Pending returns the decided ends that are not recorded yet.
func (s *RolloutSet) UnrecordedConclusions() (ends []moves.Conclusion) {
	for name, m := range s.machines {
		if _, ok := s.conclusions[name]; ok {
			continue
		}
		if e, recorded := m.Conclusion(); e != nil && !recorded {
			ends = append(ends, *e)
		}
	}
	return ends
}

// Status returns what operators see of the declared moves, in the order of their declaration.
func (s *RolloutSet) Status() []conf.RolloutStatus {
	out := make([]conf.RolloutStatus, 0, len(s.cfg.Rollouts))
	for _, mv := range s.cfg.Rollouts {
		m := s.machines[mv.Name]
		if m == nil {
			continue
		}
		st := conf.RolloutStatus{
			Name: mv.Name, Service: mv.Service, From: mv.From, To: mv.To,
			State: conf.RolloutState(m.State()), Share: m.Share(""), Began: s.startedAt[mv.Name],
		}
		if e, _ := m.Conclusion(); e != nil {
			st.Reason, st.Ended = string(e.Reason), e.DecidedAt
		}
		out = append(out, st)
	}
	return out
}
