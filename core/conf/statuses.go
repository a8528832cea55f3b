package conf

import (
	"cmp"
	"slices"
)

// RolloutStatuses returns the status of each declared rollout, from the known statuses. A rollout counts as
// running unless its conclusion is recorded or it is known to wait: protecting a rollout that does not run is safe.
func RolloutStatuses(cfg Config, known []RolloutStatus) (list []RolloutStatus) {
	known = MergeStatuses(known)
	for _, m := range cfg.Rollouts {
		st := RolloutStatus{Name: m.Name, Service: m.Service, From: m.From, To: m.To, State: Running}
		if i := slices.IndexFunc(known, st.sameRollout); i >= 0 {
			st = known[i]
		}
		if st.State.Ended() && !st.Recorded {
			st.State = Running
		}
		list = append(list, st)
	}
	return list
}

// MergeStatuses merges the statuses that several sources report into one per rollout, in the order in which the
// rollouts first appear: a recorded conclusion takes precedence over a decided one, that over running, and
// running over waiting.
func MergeStatuses(known []RolloutStatus) (list []RolloutStatus) {
	for _, k := range known {
		i := slices.IndexFunc(list, k.sameRollout)
		switch {
		case i < 0:
			list = append(list, k)
		case k.precedence() > list[i].precedence():
			list[i] = k.fillFrom(list[i])
		default:
			list[i] = list[i].fillFrom(k)
		}
	}
	return list
}

// precedence ranks the statuses that several sources report of one rollout; the highest wins.
func (m RolloutStatus) precedence() int {
	switch {
	case m.Recorded:
		return 3
	case m.State.Ended():
		return 2
	case m.State == Running:
		return 1
	default:
		return 0
	}
}

// fillFrom returns m with its empty fields set from o.
func (m RolloutStatus) fillFrom(o RolloutStatus) RolloutStatus {
	m.From, m.To = cmp.Or(m.From, o.From), cmp.Or(m.To, o.To)
	m.Share = cmp.Or(m.Share, o.Share)
	if m.StartedAt.IsZero() {
		m.StartedAt = o.StartedAt
	}
	return m
}

// sameRollout reports whether both are statuses of one rollout. A record does not hold the versions.
func (m RolloutStatus) sameRollout(o RolloutStatus) bool {
	sameVersions := m.From == o.From && m.To == o.To || m.From == "" || o.From == ""
	return m.Name == o.Name && m.Service == o.Service && sameVersions
}
