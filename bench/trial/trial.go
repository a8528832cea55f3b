// Package trial measures policies against each other over generated traces.
package trial

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/trace"
)

// Plan is a set of replays: every policy at every load with every seed.
type Sweep struct {
	Deployment string
	// Easy is the load without overload, Loads are those with it, all relative to capacity.
	BaseLoad  float64
	Overloads []float64
	SeedCount int
	// Warm is the time at the load Easy before the measured time Length.
	WarmUp, Length conf.Millis
	Workers        int
}

// Cell is the mean of the replays of one policy at one load, over all seeds.
type Summary struct {
	Load   float64
	Policy trace.Policy
	// Shares is the goodput by tier as a share of the requests sent, Least the lowest of a seed for tier 0.
	Goodput      []float64
	WorstGoodput float64
	// Good counts good answers, Tokens their prompt and answer tokens, Wasted wasted prefill tokens, per replay.
	GoodAnswers, GoodTokens, WastedTokens float64
	// Part is the wasted part of all prefill tokens.
	WastedShare float64
	// First is the 95th percentile of the time to the first token of tier 0 in seconds.
	FirstTokenP95Seconds float64
	// Faults counts doubles, lies and inversions of all replays.
	DuplicateRuns, FalseNotRun, TierInversions int
}

type task struct {
	summary int
	seed    uint64
}

// Run executes the plan. The result does not depend on the number of workers.
func Run(ctx context.Context, p Sweep) (cells []Summary, err error) {
	for _, load := range append([]float64{p.BaseLoad}, p.Overloads...) {
		for _, pol := range trace.Policies {
			cells = append(cells, Summary{Load: load, Policy: pol})
		}
	}
	results := make([][]*trace.Result, len(cells))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, p.Workers))
	for i := range cells {
		results[i] = make([]*trace.Result, p.SeedCount)
		for s := range p.SeedCount {
			g.Go(func() (err error) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				results[i][s], err = p.replay(task{i, uint64(s + 1)}, cells[i])
				return err
			})
		}
	}
	if err = g.Wait(); err != nil {
		return nil, err
	}
	for i := range cells {
		cells[i].average(results[i])
	}
	return cells, nil
}

func (p Sweep) replay(t task, c Summary) (*trace.Result, error) {
	tr, err := trace.Generate(trace.Spec{
		Deployment: p.Deployment, Seed: t.seed, Load: c.Load, WarmUpLoad: p.BaseLoad, WarmUp: p.WarmUp, Length: p.WarmUp + p.Length,
	})
	if err != nil {
		return nil, err
	}
	r, err := trace.Replay(tr, c.Policy)
	return r, errors.WithMessagef(err, "seed %d, policy %s", t.seed, c.Policy)
}

func (c *Summary) average(list []*trace.Result) {
	n := float64(len(list))
	c.WorstGoodput = 1
	for _, r := range list {
		if c.Goodput == nil {
			c.Goodput = make([]float64, len(r.Tiers))
		}
		for i, t := range r.Tiers {
			c.Goodput[i] += t.Goodput() / n
		}
		c.WorstGoodput = min(c.WorstGoodput, r.Tiers[0].Goodput())
		c.FirstTokenP95Seconds += r.Tiers[0].P95.Seconds() / n
		c.GoodAnswers += float64(r.Good) / n
		c.GoodTokens += float64(r.GoodTokens) / n
		c.WastedTokens += float64(r.WastedTokens) / n
		c.WastedShare += r.WastedShare() / n
		c.DuplicateRuns += r.DuplicateRuns
		c.FalseNotRun += r.FalseNotRun
		c.TierInversions += r.TierInversions
	}
}
