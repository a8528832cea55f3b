package main

import (
	"context"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"
)

var errReplay = errors.New("replay is not part of this build")

func replayVerb(*tool, *ff.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if _, err := only(args, "trace"); err != nil {
			return err
		}
		return errReplay
	}
}
