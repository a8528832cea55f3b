package main

import (
	"context"
	"fmt"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

// changesMax bounds the changes named in an error.
const changesListedMax = 20

func applyCommand(t *tool, fs *ff.FlagSet) func(context.Context, []string) error {
	t.addSettings(fs)
	expect := fs.Int('e', "expect", -1, "generation that must be the accepted one; -1 for any")
	return func(ctx context.Context, args []string) (err error) {
		dir, err := singleArg(args, "folder")
		if err != nil {
			return err
		}
		set, err := t.readSettings()
		if err != nil {
			return err
		}
		cfg, problems := conf.Load(dir)
		if len(problems) == 0 && cfg.Deployment != set.Deployment {
			problems = []conf.Problem{{File: t.settingsPath, Key: "deployment", Text: "is not the deployment " + cfg.Deployment + " of the declarations"}}
		}
		if len(problems) > 0 {
			return problemList(problems)
		}
		return t.apply(ctx, set, cfg, *expect)
	}
}

// apply makes cfg the accepted configuration and pushes it to the processes.
func (t *tool) apply(ctx context.Context, set conf.Operator, cfg conf.Config, expect int) (err error) {
	defer func() { err = errors.WithMessage(err, "apply") }()
	s := t.openStore(set.Store)
	statuses := answeredStatuses(fetchStatuses(ctx, set.Processes))
	opts := []conf.ApplyOption{conf.WithRolloutStatuses(t.rolloutStatuses(ctx, s, statuses)), conf.WithMinGeneration(highestGeneration(statuses))}
	if expect >= 0 {
		opts = append(opts, conf.WithExpectedGeneration(ident.Generation(expect)))
	}
	a := conf.NewApply(time.Now(), cfg, string(ident.NewRequestID()), opts...)
	out := conf.RunApply(ctx, s, a, time.Now, sleep)
	if err = applyError(out); err != nil {
		return err
	}
	for _, c := range out.Changes {
		fmt.Fprintln(t.out, c)
	}
	fmt.Fprintf(t.out, "%s as generation %d\n", out.Result, out.Config.Generation)
	return t.pushAll(ctx, set, out.Config)
}

// known returns what the object API and the processes say of moves. What is missing counts as running.
func (t *tool) rolloutStatuses(ctx context.Context, s store.Store, statuses []conf.Status) []conf.RolloutStatus {
	records, err := recordedRollouts(ctx, s)
	if err != nil {
		fmt.Fprintln(t.err, "records of ended moves are unknown; each declared move counts as running:", err)
	}
	return append(records, processRollouts(statuses)...)
}

// highest returns the highest generation that a process has in force.
func highestGeneration(statuses []conf.Status) (g ident.Generation) {
	for _, s := range statuses {
		g = max(g, s.Generation)
	}
	return g
}

// verdict returns the error of an apply that was not accepted.
func applyError(out conf.Outcome) error {
	switch out.Result {
	case conf.Applied, conf.Unchanged:
		return nil
	case conf.Refused:
		return problemList(out.Problems)
	case conf.Conflict:
		return errors.Errorf("conflict with generation %d, which differs: %s", out.Config.Generation, conf.FormatChanges(out.Changes, changesListedMax))
	case conf.Unavailable:
		return errors.WithMessage(out.Err, "nothing was written")
	case conf.Unknown:
		return errors.Errorf("it is unknown whether the configuration was accepted; run apply again: %v", out.Err)
	default:
		return out.Err
	}
}

// spread pushes a configuration and reports how many processes have it in force.
func (t *tool) pushAll(ctx context.Context, set conf.Operator, cfg conf.Config) (err error) {
	m, err := configMessage(cfg)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(ctx, t.inForceTimeout)
	defer cancel()
	auth := wire.Auth{Deployment: set.Deployment, Key: []byte(set.Secret)}
	missing := 0
	for _, err := range forEach(ctx, set.Processes, func(ctx context.Context, addr string) error {
		return push(ctx, addr, auth, m, cfg.Generation)
	}) {
		if err != nil {
			missing++
			fmt.Fprintln(t.err, err)
		}
	}
	n := len(set.Processes)
	fmt.Fprintf(t.out, "in force at %d of %d processes\n", n-missing, n)
	if missing > 0 {
		return errors.Wrapf(errNotInForce, "%d of %d processes", missing, n)
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
