package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/trial"
	"hickoryvane.example/core/conf"
)

// cmdOverload compares late binding with the baseline policies in replays with overload.
func cmdOverload(s streams) *ff.Command {
	sweep := trial.Sweep{Overloads: []float64{1.5, 3}}
	fs := ff.NewFlagSet("overload")
	fs.StringEnumVar(&sweep.Deployment, 0, "deployment", "rekkverk or brunner", "rekkverk", "brunner")
	fs.Float64Var(&sweep.BaseLoad, 0, "easy", 0.7, "load without overload")
	fs.IntVar(&sweep.SeedCount, 0, "seeds", 10, "number of seeds, from 1")
	fs.IntVar(&sweep.Workers, 0, "workers", 4, "replays at a time")
	warm := fs.IntLong("warm", 30, "seconds at the load without overload before the measurement")
	length := fs.IntLong("length", 60, "measured seconds of each trace")
	return &ff.Command{
		Name: "overload", Usage: "bench overload [FLAGS]", Flags: fs,
		ShortHelp: "compare policies at 1.5 and 3 times capacity; exit 1 if a target is missed",
		Exec: func(ctx context.Context, _ []string) error {
			sweep.WarmUp = conf.Millis(*warm * 1000)
			sweep.Length = conf.Millis(*length * 1000)
			summaries, err := trial.Run(ctx, sweep)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "Deployment %s: %d seeds, %d s after %d s at %g.\n\n",
				sweep.Deployment, sweep.SeedCount, *length, *warm, sweep.BaseLoad)
			missed, err := trial.WriteTables(s.out, sweep, summaries)
			if err == nil && missed > 0 {
				err = errors.Errorf("%d targets missed", missed)
			}
			return err
		},
	}
}
