package conf

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// Guard returns the faults of replacing the configuration old by next while moves are in the given states. A
// running move must stay declared with its versions, its targets and the current version of its service; its
// deadline may change and it may be cancelled. The version that serves must not change without a move; so a
// move that was done may be removed only together with a new current version.
func CheckReplacement(old, next Config, moves []RolloutStatus) []Problem {
	r := newReport()
	for _, s := range old.Services {
		r.checkServingVersion(old, next, s, moves)
	}
	for _, m := range moves {
		if m.State != Running {
			continue
		}
		r.checkDeclaration(old, next, m)
		r.checkNeeds(old, next, m)
		r.checkOpposite(next, m)
	}
	return r.sorted()
}

// serving checks that a service goes on with the version that serves now. Its running move, if any, has
// checks of its own.
func (r *report) checkServingVersion(old, next Config, s Service, moves []RolloutStatus) {
	running := func(m RolloutStatus) bool { return m.Service == s.Name && m.State == Running }
	now, ok := findService(next, s.Name)
	if !ok || slices.ContainsFunc(moves, running) {
		return
	}
	if was, is := servingVersion(old, s, moves), servingVersion(next, now, moves); was != is {
		r.add(entryKey("services", s.Name)+".current", "version %q serves and would be replaced by %q at once; set current to %q, or declare a move", was, is, was)
	}
}

// serves returns the version that serves a service: the current one, followed by the declared moves that are
// recorded as done, in the order of their ends.
func servingVersion(cfg Config, s Service, moves []RolloutStatus) ident.Version {
	v := s.Current
	for _, m := range slices.SortedStableFunc(slices.Values(moves), func(a, b RolloutStatus) int { return a.Ended.Compare(b.Ended) }) {
		d, ok := findRollout(cfg, m.Name)
		if ok && m.State == Done && m.Recorded && d.Service == s.Name && m.Service == s.Name && d.From == v {
			v = d.To
		}
	}
	return v
}

// declared checks that a running move stays as it is.
func (r *report) checkDeclaration(old, next Config, m RolloutStatus) {
	key := entryKey("moves", m.Name)
	is, ok := findRollout(next, m.Name)
	if !ok {
		r.add(key, "is removed while the move runs; set cancelled to take it back")
		return
	}
	if is.Service != m.Service || is.From != m.From || is.To != m.To {
		r.add(key, "changes service or versions while the move runs")
	}
	if was, ok := findRollout(old, m.Name); ok && was.Cancelled && !is.Cancelled {
		r.add(key+".cancelled", "is withdrawn while the move is being taken back")
	}
}

// needs checks that service, versions and targets of a running move stay.
func (r *report) checkNeeds(old, next Config, m RolloutStatus) {
	key := entryKey("services", m.Service)
	was, _ := findService(old, m.Service)
	is, ok := findService(next, m.Service)
	if !ok {
		r.add(key, "is removed, but move %q runs on it", m.Name)
		return
	}
	if was.Current != "" && is.Current != was.Current {
		r.add(key+".current", "changes while move %q runs", m.Name)
	}
	if was.Kind != "" && is.Kind != was.Kind {
		r.add(key+".kind", "changes while move %q runs", m.Name)
	}
	for _, v := range []ident.Version{m.From, m.To} {
		if !slices.Contains(is.Versions, v) {
			r.add(key+".versions", "version %q is removed, but move %q needs it", v, m.Name)
		}
		r.checkRegionCoverage(old, next, m, v)
	}
}

// regionsOf checks that a version keeps a target in each region where it has one.
func (r *report) checkRegionCoverage(old, next Config, m RolloutStatus, v ident.Version) {
	was, is := regionsCovered(old, m.Service, v), regionsCovered(next, m.Service, v)
	for _, g := range old.Regions {
		if was[g.Name] && !is[g.Name] {
			r.add("targets", "the last target of service %q with version %q in region %q is removed, but move %q needs it",
				m.Service, v, g.Name, m.Name)
		}
	}
}

// opposite refuses a move that would undo a running one.
func (r *report) checkOpposite(next Config, m RolloutStatus) {
	for _, o := range next.Rollouts {
		if o.Service == m.Service && o.From == m.To && o.To == m.From && !o.Cancelled {
			r.add(entryKey("moves", o.Name), "is opposite to move %q, which runs; set cancelled there to take it back", m.Name)
		}
	}
}

// coverage returns the regions in which a target of the service runs the version.
func regionsCovered(cfg Config, s ident.Service, v ident.Version) map[ident.Region]bool {
	found := map[ident.Region]bool{}
	for _, g := range cfg.Regions {
		found[g.Name] = slices.ContainsFunc(cfg.Targets, func(t Target) bool {
			return t.Service == s && t.Version == v && slices.Contains(g.Centres, t.Centre)
		})
	}
	return found
}

func findRollout(cfg Config, name ident.Rollout) (m Rollout, ok bool) {
	i := slices.IndexFunc(cfg.Rollouts, func(m Rollout) bool { return m.Name == name })
	if i < 0 {
		return m, false
	}
	return cfg.Rollouts[i], true
}

func findService(cfg Config, name ident.Service) (s Service, ok bool) {
	i := slices.IndexFunc(cfg.Services, func(s Service) bool { return s.Name == name })
	if i < 0 {
		return s, false
	}
	return cfg.Services[i], true
}
