package moves

import (
	"cmp"
	"slices"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// ErrOppositeRunning means that a rollout leads back to the version that a running rollout replaces.
var ErrOppositeRunning = errors.New("the opposite rollout is running")

// CheckOpposite returns ErrOppositeRunning, with the name of the running rollout, when next is declared while an
// opposite rollout of its service is not concluded.
func CheckOpposite(running []conf.Rollout, next conf.Rollout) error {
	for _, m := range running {
		if m.Name != next.Name && m.Service == next.Service && m.From == next.To && m.To == next.From {
			return errors.WithMessagef(ErrOppositeRunning, "rollout %s declared during rollout %s", next.Name, m.Name)
		}
	}
	return nil
}

// SelectRunning returns the rollouts that run now: for each service the one that was started, or else the one with
// the earliest deadline. The other rollouts of the service wait. concluded tells which have a recorded conclusion,
// and started which have evidence or ran at this process before.
func SelectRunning(all []conf.Rollout, concluded, started func(ident.Rollout) bool) []conf.Rollout {
	best := map[ident.Service]conf.Rollout{}
	for _, m := range all {
		if concluded(m.Name) {
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
