package moves

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// ErrOpposite means that a move goes back to the version that a running move leaves.
var ErrOppositeRunning = errors.New("the opposite move is running")

// Check returns ErrOpposite, with the name of the running move, when next is declared while an
// opposite move of its service has not ended.
func CheckOpposite(running []conf.Rollout, next conf.Rollout) error {
	for _, m := range running {
		if m.Name != next.Name && m.Service == next.Service && m.From == next.To && m.To == next.From {
			return errors.WithMessagef(ErrOppositeRunning, "move %s after %s", next.Name, m.Name)
		}
	}
	return nil
}

// Next returns the moves that run now: per service the one that was started, or else the one with
// the earliest deadline. Others of that service wait. ended tells which have a recorded end, and
// started which have evidence or ran here before.
func SelectRunning(all []conf.Rollout, ended, started func(ident.Rollout) bool) []conf.Rollout {
	best := map[ident.Service]conf.Rollout{}
	for _, m := range all {
		if ended(m.Name) {
			continue
		}
		if b, ok := best[m.Service]; !ok || runsBefore(m, b, started) {
			best[m.Service] = m
		}
	}
	out := make([]conf.Rollout, 0, len(best))
	for _, m := range best {
		out = append(out, m)
	}
	slices.SortFunc(out, func(a, b conf.Rollout) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

func runsBefore(a, b conf.Rollout, started func(ident.Rollout) bool) bool {
	if x, y := started(a.Name), started(b.Name); x != y {
		return x
	}
	return cmp.Or(a.Deadline.Compare(b.Deadline), cmp.Compare(a.Name, b.Name)) < 0
}
