package main

import (
	"context"
	"fmt"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
)

func versionCommand(t *tool, _ *ff.FlagSet) func(context.Context, []string) error {
	return func(_ context.Context, args []string) error {
		if err := noArgs(args); err != nil {
			return err
		}
		fmt.Fprintln(t.out, "hickoryvane", revision())
		return nil
	}
}

// revision returns the commit from which the program was built, if the build recorded it.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return "development"
}
