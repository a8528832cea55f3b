package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/core/conf"
)

func checkCommand(t *tool, _ *ff.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) (err error) {
		dir, err := singleArg(args, "folder")
		if err != nil {
			return err
		}
		cfg, problems := conf.Load(dir)
		if len(problems) > 0 {
			return problemList(problems)
		}
		fmt.Fprintf(t.out, "%s: no faults; %d accounts, %d tiers, %d services, %d targets, %d moves\n", cfg.Deployment,
			len(cfg.Accounts), len(cfg.Tiers), len(cfg.Services), len(cfg.Targets), len(cfg.Rollouts))
		return nil
	}
}
