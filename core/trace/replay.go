package trace

import (
	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
)

// Policy names how requests find an engine.
type Policy string

// Policies. All but LateBinding are baselines, which push each request straight to an engine.
const (
	LateBinding Policy = "late"
	Random      Policy = "random"
	RoundRobin  Policy = "robin"
	LeastLoad   Policy = "least"
	TwoChoices  Policy = "two"
)

// Policies lists all policies, the product's first.
var Policies = []Policy{LateBinding, Random, RoundRobin, LeastLoad, TwoChoices}

// ErrPolicy means that a policy is not known.
var ErrPolicy = errors.New("unknown policy")

// Replay runs the trace in virtual time. The same trace and policy give the same result.
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
