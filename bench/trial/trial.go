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
type Plan struct {
	Deployment string
	// Easy is the load without overload, Loads are those with it, all relative to capacity.
	Easy  float64
	Loads []float64
	Seeds int
	// Warm is the time at the load Easy before the measured time Length.
	Warm, Length conf.Millis
	Workers      int
}

// Cell is the mean of the replays of one policy at one load, over all seeds.
type Cell struct {
	Load   float64
	Policy trace.Policy
	// Shares is the goodput by tier as a share of the requests sent, Least the lowest of a seed for tier 0.
	Shares []float64
	Least  float64
	// Good counts good answers, Tokens their prompt and answer tokens, Wasted wasted prefill tokens, per replay.
	Good, Tokens, Wasted float64
	// Part is the wasted part of all prefill tokens.
	Part float64
	// First is the 95th percentile of the time to the first token of tier 0 in seconds.
	First float64
	// Faults counts doubles, lies and inversions of all replays.
	Doubles, Lies, Inversions int
}

type task struct {
	cell int
	seed uint64
}

// Run executes the plan. The result does not depend on the number of workers.
func Run(ctx context.Context, p Plan) (cells []Cell, err error) {
	for _, load := range append([]float64{p.Easy}, p.Loads...) {
		for _, pol := range trace.Policies {
			cells = append(cells, Cell{Load: load, Policy: pol})
		}
	}
	results := make([][]*trace.Result, len(cells))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, p.Workers))
	for i := range cells {
		results[i] = make([]*trace.Result, p.Seeds)
		for s := range p.Seeds {
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
		cells[i].sum(results[i])
	}
	return cells, nil
}

func (p Plan) replay(t task, c Cell) (*trace.Result, error) {
	tr, err := trace.Generate(trace.Spec{
		Deployment: p.Deployment, Seed: t.seed, Load: c.Load, WarmUpLoad: p.Easy, WarmUp: p.Warm, Length: p.Warm + p.Length,
	})
	if err != nil {
		return nil, err
	}
	r, err := trace.Replay(tr, c.Policy)
	return r, errors.WithMessagef(err, "seed %d, policy %s", t.seed, c.Policy)
}

func (c *Cell) sum(list []*trace.Result) {
	n := float64(len(list))
	c.Least = 1
	for _, r := range list {
		if c.Shares == nil {
			c.Shares = make([]float64, len(r.Tiers))
		}
		for i, t := range r.Tiers {
			c.Shares[i] += t.Goodput() / n
		}
		c.Least = min(c.Least, r.Tiers[0].Goodput())
		c.First += r.Tiers[0].P95.Seconds() / n
		c.Good += float64(r.Good) / n
		c.Tokens += float64(r.GoodTokens) / n
		c.Wasted += float64(r.WastedTokens) / n
		c.Part += r.WastedShare() / n
		c.Doubles += r.DuplicateRuns
		c.Lies += r.FalseNotRun
		c.Inversions += r.TierInversions
	}
}
