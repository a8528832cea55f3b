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
	for _, r := range running {
		if r.Name != next.Name && r.Service == next.Service && r.From == next.To && r.To == next.From {
			return errors.WithMessagef(ErrOppositeRunning, "rollout %s declared during rollout %s", next.Name, r.Name)
		}
	}
	return nil
}

// SelectRunning returns the rollouts that run now: for each service the one that was started, or else the one with
// the earliest deadline. The other rollouts of the service wait. concluded tells which have a recorded conclusion,
// and started which were started at this process.
func SelectRunning(all []conf.Rollout, concluded, started func(ident.Rollout) bool) []conf.Rollout {
	best := map[ident.Service]conf.Rollout{}
	for _, r := range all {
		if concluded(r.Name) {
			continue
		}
		if b, ok := best[r.Service]; !ok || runsBefore(r, b, started) {
			best[r.Service] = r
		}
	}
	out := make([]conf.Rollout, 0, len(best))
	for _, r := range best {
		out = append(out, r)
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
