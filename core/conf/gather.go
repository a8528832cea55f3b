package conf

import (
	"cmp"
	"slices"
)

// States returns the state of each declared move, from what is known of them. A move counts as running unless
// its end is recorded or it is known to wait, which is the safe direction.
func RolloutStates(cfg Config, known []RolloutStatus) (list []RolloutStatus) {
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

// Gather merges what several sources say of moves into one status each, in the order of their first mention:
// a recorded end prevails over one that is decided, that over running, and running over waiting.
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

// weight orders what sources say of a move.
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

// fill returns m with what only o knows.
func (m RolloutStatus) fillFrom(o RolloutStatus) RolloutStatus {
	m.From, m.To = cmp.Or(m.From, o.From), cmp.Or(m.To, o.To)
	m.Share = cmp.Or(m.Share, o.Share)
	if m.Began.IsZero() {
		m.Began = o.Began
	}
	return m
}

// same reports whether both are of one move. A record does not hold the versions.
func (m RolloutStatus) sameRollout(o RolloutStatus) bool {
	versions := m.From == o.From && m.To == o.To || m.From == "" || o.From == ""
	return m.Name == o.Name && m.Service == o.Service && versions
}
