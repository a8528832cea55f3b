package trace

import (
	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// Policy names the way in which requests are assigned to engines.
type Policy string

// Policies. LateBinding is that of the product. The others are baselines, which send each request to an engine
// at once.
const (
	LateBinding Policy = "late"
	Random      Policy = "random"
	RoundRobin  Policy = "robin"
	LeastLoad   Policy = "least"
	TwoChoices  Policy = "two"
)

// Policies lists all policies, the product's first.
var Policies = []Policy{LateBinding, Random, RoundRobin, LeastLoad, TwoChoices}

// ErrPolicy is returned for unknown policies.
var ErrPolicy = errors.New("unknown policy")

// Replay replays the trace in virtual time. Equal traces and policies give equal results.
// Errors wrap ErrPolicy or ErrFormat.
func Replay(t *Trace, p Policy) (*Result, error) {
	if err := t.check(); err != nil {
		return nil, err
	}
	w := newWorld(t)
	switch p {
	case LateBinding:
		w.policy = newLateBinding(w)
	case Random, RoundRobin, LeastLoad, TwoChoices:
		w.policy = newBaseline(w, p)
	default:
		return nil, errors.Wrapf(ErrPolicy, "%q", p)
	}
	w.schedule(t)
	w.run()
	w.result.Policy = p
	w.summarise()
	return w.result, nil
}

func (w *world) regionOf(r ident.ProcessID) ident.Region {
	for _, x := range w.h.Routers {
		if x.Name == r {
			return w.h.region(x.Centre)
		}
	}
	return ""
}
