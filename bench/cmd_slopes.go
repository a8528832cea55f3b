package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/slope"
)

// cmdSlopes measures the decision machines at several sizes.
func cmdSlopes(s streams) *ff.Command {
	return &ff.Command{
		Name: "slopes", Usage: "bench slopes",
		ShortHelp: "measure the decision machines and extend to the size in two years; exit 1 above a limit",
		Exec: func(context.Context, []string) error {
			ok, err := slope.WriteTable(s.out, slope.Run(slope.Probes()))
			if err == nil && !ok {
				err = errors.New("the sum is above a limit")
			}
			return err
		},
	}
}
