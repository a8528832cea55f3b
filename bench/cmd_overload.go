package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/trial"
	"hickoryvane.example/core/conf"
)

// cmdOverload measures the product against the baselines in replays with overload.
func cmdOverload(s streams) *ff.Command {
	p := trial.Sweep{Overloads: []float64{1.5, 3}}
	fs := ff.NewFlagSet("overload")
	fs.StringEnumVar(&p.Deployment, 0, "deployment", "rekkverk or brunner", "rekkverk", "brunner")
	fs.Float64Var(&p.BaseLoad, 0, "easy", 0.7, "load without overload")
	fs.IntVar(&p.SeedCount, 0, "seeds", 10, "number of seeds, from 1")
	fs.IntVar(&p.Workers, 0, "workers", 4, "replays at a time")
	warm := fs.IntLong("warm", 30, "seconds at the load without overload before the measurement")
	length := fs.IntLong("length", 60, "measured seconds of each trace")
	return &ff.Command{
		Name: "overload", Usage: "bench overload [FLAGS]", Flags: fs,
		ShortHelp: "compare policies at 1.5 and 3 times capacity; exit 1 if a target is missed",
		Exec: func(ctx context.Context, _ []string) error {
			p.WarmUp = conf.Millis(*warm * 1000)
			p.Length = conf.Millis(*length * 1000)
			cells, err := trial.Run(ctx, p)
			if err != nil {
				return err
			}
			fmt.Fprintf(s.out, "Deployment %s: %d seeds, %d s after %d s at %g.\n\n",
				p.Deployment, p.SeedCount, *length, *warm, p.BaseLoad)
			missed, err := trial.WriteTables(s.out, p, cells)
			if err == nil && missed > 0 {
				err = errors.Errorf("%d targets missed", missed)
			}
			return err
		},
	}
}
