package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/slope"
)

// cmdSlopes measures the state machines at several sizes and projects their cost.
func cmdSlopes(s streams) *ff.Command {
	return &ff.Command{
		Name: "slopes", Usage: "bench slopes",
		ShortHelp: "measure the decision machines and extend to the size in two years; exit 1 above a limit",
		Exec: func(context.Context, []string) error {
			ok, err := slope.WriteTable(s.out, slope.Run(slope.Probes()))
			if err == nil && !ok {
				err = errors.New("projected cost exceeds a limit per daemon")
			}
			return err
		},
	}
}
