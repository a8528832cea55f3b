// Package record holds the specifications of the traces in the folder traces and generates the files from them. The
// command bench trace calls it.
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

// Write writes all traces into dir and returns the names of the files written.
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

// withPromises returns the expectations common to all traces, followed by more.
func withPromises(more ...trace.Expectation) []trace.Expectation {
	return append([]trace.Expectation{
		atMost(trace.DuplicateRuns, 0), atMost(trace.FalseNotRun, 0), atMost(trace.TierInversions, 0),
	}, more...)
}

// burstEvents returns a burst of count requests like e, spread evenly over the time span and the three routers: one
// event per router.
func burstEvents(at conf.Millis, e trace.Event, count int, span conf.Millis) (list []trace.Event) {
	const routers = 3
	for i := range routers {
		burst := e
		burst.At, burst.Kind, burst.Span, burst.Count = at, trace.Burst, span, count/routers
		burst.Service, burst.Account = "pool", ident.AccountID(fmt.Sprintf("account%d", i+1))
		burst.Router = ident.ProcessID(fmt.Sprintf("entry-%d", i+1))
		burst.ID = ident.RequestID(fmt.Sprintf("burst-%s-%d-%d", e.Route, at, i+1))
		list = append(list, burst)
	}
	return list
}
