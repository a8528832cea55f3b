package conf

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// CheckReplacement returns the faults of replacing the configuration old by next while rollouts are in the
// given states. A running rollout must stay declared with its versions, its targets and the current version of
// its service; its deadline may change and it may be cancelled. The version that serves must not change without
// a rollout, so a rollout that is done may be removed only together with a change of the current version.
func CheckReplacement(old, next Config, statuses []RolloutStatus) []Problem {
	r := newReport()
	for _, s := range old.Services {
		r.checkServingVersion(old, next, s, statuses)
	}
	for _, m := range statuses {
		if m.State != Running {
			continue
		}
		r.checkDeclaration(old, next, m)
		r.checkNeeds(old, next, m)
		r.checkOpposite(next, m)
	}
	return r.sorted()
}

// checkServingVersion checks that a service keeps the version that serves now. A service with a running rollout
// is left to the checks of that rollout.
func (r *report) checkServingVersion(old, next Config, s Service, statuses []RolloutStatus) {
	running := func(m RolloutStatus) bool { return m.Service == s.Name && m.State == Running }
	nextService, ok := findService(next, s.Name)
	if !ok || slices.ContainsFunc(statuses, running) {
		return
	}
	if before, after := servingVersion(old, s, statuses), servingVersion(next, nextService, statuses); before != after {
		r.add(entryKey("services", s.Name)+".current", "version %q serves and would be replaced by %q at once; set current to %q, or declare a move", before, after, before)
	}
}

// servingVersion returns the version that serves a service: the declared current one, changed by the declared
// rollouts that are recorded as done, in the order of their conclusions.
func servingVersion(cfg Config, s Service, statuses []RolloutStatus) ident.Version {
	v := s.Current
	for _, m := range slices.SortedStableFunc(slices.Values(statuses), func(a, b RolloutStatus) int { return a.EndedAt.Compare(b.EndedAt) }) {
		declared, ok := findRollout(cfg, m.Name)
		if ok && m.State == Done && m.Recorded && declared.Service == s.Name && m.Service == s.Name && declared.From == v {
			v = declared.To
		}
	}
	return v
}

// checkDeclaration checks that a running rollout stays declared with its service and versions.
func (r *report) checkDeclaration(old, next Config, m RolloutStatus) {
	key := entryKey("moves", m.Name)
	after, ok := findRollout(next, m.Name)
	if !ok {
		r.add(key, "is removed while the move runs; set cancelled to take it back")
		return
	}
	if after.Service != m.Service || after.From != m.From || after.To != m.To {
		r.add(key, "changes service or versions while the move runs")
	}
	if before, ok := findRollout(old, m.Name); ok && before.Cancelled && !after.Cancelled {
		r.add(key+".cancelled", "is withdrawn while the move is being taken back")
	}
}

// checkNeeds checks that the service, versions and targets of a running rollout stay.
func (r *report) checkNeeds(old, next Config, m RolloutStatus) {
	key := entryKey("services", m.Service)
	before, _ := findService(old, m.Service)
	after, ok := findService(next, m.Service)
	if !ok {
		r.add(key, "is removed, but move %q runs on it", m.Name)
		return
	}
	if before.Current != "" && after.Current != before.Current {
		r.add(key+".current", "changes while move %q runs", m.Name)
	}
	if before.Kind != "" && after.Kind != before.Kind {
		r.add(key+".kind", "changes while move %q runs", m.Name)
	}
	for _, v := range []ident.Version{m.From, m.To} {
		if !slices.Contains(after.Versions, v) {
			r.add(key+".versions", "version %q is removed, but move %q needs it", v, m.Name)
		}
		r.checkRegionCoverage(old, next, m, v)
	}
}

// checkRegionCoverage checks that a version keeps a target in each region where it has one.
func (r *report) checkRegionCoverage(old, next Config, m RolloutStatus, v ident.Version) {
	before, after := regionsCovered(old, m.Service, v), regionsCovered(next, m.Service, v)
	for _, g := range old.Regions {
		if before[g.Name] && !after[g.Name] {
			r.add("targets", "the last target of service %q with version %q in region %q is removed, but move %q needs it",
				m.Service, v, g.Name, m.Name)
		}
	}
}

// checkOpposite adds a problem for a rollout that would undo a running one.
func (r *report) checkOpposite(next Config, m RolloutStatus) {
	for _, other := range next.Rollouts {
		if other.Service == m.Service && other.From == m.To && other.To == m.From && !other.Cancelled {
			r.add(entryKey("moves", other.Name), "is opposite to move %q, which runs; set cancelled there to take it back", m.Name)
		}
	}
}

// regionsCovered returns the regions in which a target of the service runs the version.
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
