package main

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
)

func versionCommand(stdout, _ io.Writer) *ff.Command {
	return &ff.Command{
		Name: "version", Usage: "agent version", ShortHelp: "print the version",
		Exec: func(context.Context, []string) error {
			version := "unknown"
			if info, ok := debug.ReadBuildInfo(); ok {
				version = info.Main.Version + " " + info.GoVersion
			}
			_, err := fmt.Fprintln(stdout, "agent", version)
			return err
		},
	}
}
