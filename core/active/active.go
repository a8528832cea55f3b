// Package active runs the state machines of all declared rollouts in a daemon, which is a router or an agent: it
// passes them the configuration and gossip entries, and determines the current version of each service. It also
// sets up the daemon's table of gossip entries and defines the entries for the platform's list of VMs and for the
// versions that targets report.
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

// KindRecord is the kind of gossip entries with recorded conclusions of rollouts, as read from the object API.
const KindRecord = "record"

// EntryReader is the read access to the gossip entries of a facts.Gossiper.
type EntryReader interface {
	All(kind string) []wire.GossipEntry
}

// RolloutSet is the set of rollouts of one daemon. It is not safe for concurrent use.
type RolloutSet struct {
	cfg conf.Config
	// machines holds a state machine for each declared rollout, whether or not it has ended.
	machines map[ident.Rollout]*moves.Machine
	// conclusions holds the recorded conclusions.
	conclusions map[ident.Rollout]moves.Conclusion
	// startedAt is the time at which this daemon started the state machine of a rollout.
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

// HandleConfig handles an accepted configuration.
func (s *RolloutSet) HandleConfig(now time.Time, cfg conf.Config) (actions []moves.Action) {
	s.cfg = cfg
	declared := make(map[ident.Rollout]bool, len(cfg.Rollouts))
	for _, rollout := range cfg.Rollouts {
		declared[rollout.Name] = true
		if m := s.machines[rollout.Name]; m != nil {
			actions = append(actions, m.HandleDeclaration(now, rollout)...)
			continue
		}
		m := moves.New(rollout, targetClasses(cfg, rollout))
		if c, ok := s.conclusions[rollout.Name]; ok {
			m.SetRecorded(c)
		}
		s.machines[rollout.Name] = m
	}
	for name := range s.machines {
		if !declared[name] {
			delete(s.machines, name)
		}
	}
	return append(actions, s.startDue(now)...)
}

// targetClasses returns the hardware classes of the targets with the new version of a rollout.
func targetClasses(cfg conf.Config, rollout conf.Rollout) (out []ident.Class) {
	seen := make(map[ident.Class]bool)
	for _, t := range cfg.Targets {
		if t.Service == rollout.Service && t.Version == rollout.To && !seen[t.Class] {
			seen[t.Class] = true
			out = append(out, t.Class)
		}
	}
	return out
}

// startDue starts the rollouts that are next for their service.
func (s *RolloutSet) startDue(now time.Time) (actions []moves.Action) {
	concluded := func(name ident.Rollout) bool { _, ok := s.conclusions[name]; return ok }
	started := func(name ident.Rollout) bool { return !s.startedAt[name].IsZero() }
	for _, rollout := range moves.SelectRunning(s.cfg.Rollouts, concluded, started) {
		if m := s.machines[rollout.Name]; m != nil && !started(rollout.Name) {
			m.Start(now)
			s.startedAt[rollout.Name] = now
			actions = append(actions, m.Tick(now)...)
		}
	}
	return actions
}

// HandleEntries handles all gossip entries about rollouts. It is called after some of them changed.
func (s *RolloutSet) HandleEntries(now time.Time, reader EntryReader) (actions []moves.Action) {
	for _, r := range reader.All(KindRecord) {
		if c, err := moves.DecodeConclusion(r.Value); err == nil {
			s.SetRecorded(now, c)
		}
	}
	evidence := evidenceByRollout(reader.All(facts.KindEvidence))
	for _, e := range reader.All(facts.KindConclusion) {
		if conclusion, err := moves.DecodeConclusion(e.Value); err == nil && s.machines[conclusion.Rollout] != nil {
			actions = append(actions, s.machines[conclusion.Rollout].HandleDecision(conclusion)...)
		}
	}
	badVersions := reader.All(facts.KindBadVersion)
	for name, m := range s.machines {
		rollout := m.Rollout()
		for _, b := range badVersions {
			if b.Key == moves.BadVersionKey(rollout.Service, rollout.To) {
				actions = append(actions, m.HandleVerdict(now, moves.DecodeVerdict(b.Value))...)
			}
		}
		if entries := evidence[string(name)]; len(entries) > 0 {
			actions = append(actions, m.HandleEvidence(now, entries)...)
		}
	}
	return append(actions, s.startDue(now)...)
}

// evidenceByRollout groups evidence entries by rollout; the key of an entry is made by moves.EvidenceKey and starts
// with the name of the rollout and a slash.
func evidenceByRollout(entries []wire.GossipEntry) map[string][]wire.GossipEntry {
	out := make(map[string][]wire.GossipEntry)
	for _, e := range entries {
		for i := len(e.Key) - 1; i >= 0; i-- {
			if e.Key[i] == '/' {
				out[e.Key[:i]] = append(out[e.Key[:i]], e)
				break
			}
		}
	}
	return out
}

// SetRecorded sets the recorded conclusion of a rollout, unless one is known, and starts the next rollout of the
// service.
func (s *RolloutSet) SetRecorded(now time.Time, c moves.Conclusion) {
	if _, known := s.conclusions[c.Rollout]; known {
		return
	}
	s.conclusions[c.Rollout] = c
	if m := s.machines[c.Rollout]; m != nil {
		m.SetRecorded(c)
	}
	s.startDue(now)
}

// Tick handles the passage of time; it is called at least once a second.
func (s *RolloutSet) Tick(now time.Time) (actions []moves.Action) {
	actions = s.startDue(now)
	for _, m := range s.machines {
		actions = append(actions, m.Tick(now)...)
	}
	return actions
}

// Running returns the rollout of a service that runs, or whose conclusion is decided but not recorded; nil if
// there is none.
func (s *RolloutSet) Running(service ident.Service) *moves.Machine {
	for name, m := range s.machines {
		if _, concluded := s.conclusions[name]; m.Rollout().Service == service && !concluded && !s.startedAt[name].IsZero() {
			return m
		}
	}
	return nil
}

// CurrentVersion returns the version that serves a service when no rollout runs: the declared one, changed by the
// rollouts that are recorded as done, in the order of their conclusions.
func (s *RolloutSet) CurrentVersion(service conf.Service) ident.Version {
	v := service.Current
	for _, rollout := range s.doneRollouts(service.Name) {
		if rollout.From == v {
			v = rollout.To
		}
	}
	return v
}

// doneRollouts returns the declared rollouts of a service that are recorded as done, the oldest conclusion first.
func (s *RolloutSet) doneRollouts(service ident.Service) (out []conf.Rollout) {
	for _, rollout := range s.cfg.Rollouts {
		if c, ok := s.conclusions[rollout.Name]; ok && c.State == moves.Done && rollout.Service == service {
			out = append(out, rollout)
		}
	}
	slices.SortFunc(out, func(a, b conf.Rollout) int {
		return s.conclusions[a.Name].DecidedAt.Compare(s.conclusions[b.Name].DecidedAt)
	})
	return out
}

// UnrecordedConclusions returns the decided conclusions that are not recorded yet.
func (s *RolloutSet) UnrecordedConclusions() (conclusions []moves.Conclusion) {
	for name, m := range s.machines {
		if _, ok := s.conclusions[name]; ok {
			continue
		}
		if c, recorded := m.Conclusion(); c != nil && !recorded {
			conclusions = append(conclusions, *c)
		}
	}
	return conclusions
}

// Status returns the statuses of the declared rollouts for operators, in the order of their declaration.
func (s *RolloutSet) Status() []conf.RolloutStatus {
	out := make([]conf.RolloutStatus, 0, len(s.cfg.Rollouts))
	for _, rollout := range s.cfg.Rollouts {
		m := s.machines[rollout.Name]
		if m == nil {
			continue
		}
		st := conf.RolloutStatus{
			Name: rollout.Name, Service: rollout.Service, From: rollout.From, To: rollout.To,
			State: conf.RolloutState(m.State()), Share: m.Share(""), StartedAt: s.startedAt[rollout.Name],
		}
		if c, _ := m.Conclusion(); c != nil {
			st.Reason, st.EndedAt = string(c.Reason), c.DecidedAt
		}
		out = append(out, st)
	}
	return out
}
