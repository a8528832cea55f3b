// Package trial compares scheduling policies by replays of generated traces. The command bench
// overload calls it.
package trial

import (
	"context"

	"github.com/pkg/errors"
	"golang.org/x/sync/errgroup"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/trace"
)

// Sweep is a set of replays: every policy at every load with every seed.
type Sweep struct {
	Deployment string
	// BaseLoad is the load without overload, Overloads are those above capacity; all are relative to capacity.
	BaseLoad  float64
	Overloads []float64
	SeedCount int
	// WarmUp is the time at BaseLoad before the measured time Length.
	WarmUp, Length conf.Millis
	Workers        int
}

// Summary is the mean of the replays of one policy at one load, over all seeds.
type Summary struct {
	Load   float64
	Policy trace.Policy
	// Goodput is the share of good answers by tier, WorstGoodput that of tier 0 for the seed where it is lowest.
	Goodput      []float64
	WorstGoodput float64
	// GoodAnswers, GoodTokens (prompts and answers of these) and WastedTokens (of prefill) are counts per replay.
	GoodAnswers, GoodTokens, WastedTokens float64
	// WastedShare is the share of wasted tokens among all prefill tokens.
	WastedShare float64
	// FirstTokenP95Seconds is the 95th percentile of the time to the first token of tier 0.
	FirstTokenP95Seconds float64
	// DuplicateRuns, FalseNotRun and TierInversions are sums over all replays. FalseNotRun counts requests that ran
	// but were refused as not run.
	DuplicateRuns, FalseNotRun, TierInversions int
}

// task is one replay of a sweep.
type task struct {
	// summary is the index of the summary that the replay contributes to.
	summary int
	seed    uint64
}

// Run executes the sweep. The result does not depend on the number of workers.
func Run(ctx context.Context, sw Sweep) (summaries []Summary, err error) {
	for _, load := range append([]float64{sw.BaseLoad}, sw.Overloads...) {
		for _, policy := range trace.Policies {
			summaries = append(summaries, Summary{Load: load, Policy: policy})
		}
	}
	results := make([][]*trace.Result, len(summaries))
	g, ctx := errgroup.WithContext(ctx)
	g.SetLimit(max(1, sw.Workers))
	for i := range summaries {
		results[i] = make([]*trace.Result, sw.SeedCount)
		for s := range sw.SeedCount {
			g.Go(func() (err error) {
				if ctx.Err() != nil {
					return ctx.Err()
				}
				results[i][s], err = sw.replay(task{i, uint64(s + 1)}, summaries[i])
				return err
			})
		}
	}
	if err = g.Wait(); err != nil {
		return nil, err
	}
	for i := range summaries {
		summaries[i].average(results[i])
	}
	return summaries, nil
}

func (sw Sweep) replay(t task, sum Summary) (*trace.Result, error) {
	tr, err := trace.Generate(trace.Spec{
		Deployment: sw.Deployment, Seed: t.seed, Load: sum.Load, WarmUpLoad: sw.BaseLoad, WarmUp: sw.WarmUp, Length: sw.WarmUp + sw.Length,
	})
	if err != nil {
		return nil, err
	}
	r, err := trace.Replay(tr, sum.Policy)
	return r, errors.WithMessagef(err, "seed %d, policy %s", t.seed, sum.Policy)
}

func (sum *Summary) average(list []*trace.Result) {
	n := float64(len(list))
	sum.WorstGoodput = 1
	for _, r := range list {
		if sum.Goodput == nil {
			sum.Goodput = make([]float64, len(r.Tiers))
		}
		for i, t := range r.Tiers {
			sum.Goodput[i] += t.Goodput() / n
		}
		sum.WorstGoodput = min(sum.WorstGoodput, r.Tiers[0].Goodput())
		sum.FirstTokenP95Seconds += r.Tiers[0].P95.Seconds() / n
		sum.GoodAnswers += float64(r.Good) / n
		sum.GoodTokens += float64(r.GoodTokens) / n
		sum.WastedTokens += float64(r.WastedTokens) / n
		sum.WastedShare += r.WastedShare() / n
		sum.DuplicateRuns += r.DuplicateRuns
		sum.FalseNotRun += r.FalseNotRun
		sum.TierInversions += r.TierInversions
	}
}
