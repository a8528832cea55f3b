// Package record holds the shapes of the recorded traces in the folder traces.
package record

import (
	"fmt"
	"os"
	"path/filepath"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

// Write writes all recorded traces into dir and returns their names.
func Write(dir string) (names []string, err error) {
	for _, s := range specs() {
		name := filepath.Join(dir, s.Title+".jsonl")
		if err = writeTrace(name, s); err != nil {
			return names, errors.WithMessage(err, s.Title)
		}
		names = append(names, name)
	}
	return names, nil
}

func writeTrace(name string, s trace.Spec) error {
	t, err := trace.Generate(s)
	if err != nil {
		return err
	}
	f, err := os.Create(name)
	if err != nil {
		return err
	}
	if err = t.Write(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func atLeast(m trace.Measure, tier ident.Tier, v float64) trace.Expectation {
	return trace.Expectation{Measure: m, Tier: tier, Min: &v}
}

func atMost(m trace.Measure, v float64) trace.Expectation {
	return trace.Expectation{Measure: m, Max: &v}
}

// promised are the outcomes that every trace states.
func withPromises(more ...trace.Expectation) []trace.Expectation {
	return append([]trace.Expectation{
		atMost(trace.DuplicateRuns, 0), atMost(trace.FalseNotRun, 0), atMost(trace.TierInversions, 0),
	}, more...)
}

// burst is count requests of a kind, spread over span milliseconds and all three routers.
func burstEvents(at conf.Millis, e trace.Event, count int, span conf.Millis) (list []trace.Event) {
	const routers = 3
	for i := range routers {
		x := e
		x.At, x.Kind, x.Span, x.Count = at, trace.Burst, span, count/routers
		x.Service, x.Account = "pool", ident.AccountID(fmt.Sprintf("account%d", i+1))
		x.Router = ident.ProcessID(fmt.Sprintf("entry-%d", i+1))
		x.ID = ident.RequestID(fmt.Sprintf("burst-%s-%d-%d", e.Route, at, i+1))
		list = append(list, x)
	}
	return list
}
