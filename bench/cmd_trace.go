package main

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/bench/record"
)

// cmdTrace generates the traces of the repository and overwrites their files.
func cmdTrace(s streams) *ff.Command {
	fs := ff.NewFlagSet("trace")
	dir := fs.StringLong("dir", "traces", "folder of the traces")
	return &ff.Command{
		Name: "trace", Usage: "bench trace [FLAGS]", ShortHelp: "write the recorded traces", Flags: fs,
		Exec: func(context.Context, []string) error {
			names, err := record.Write(*dir)
			for _, n := range names {
				fmt.Fprintln(s.out, n)
			}
			return err
		},
	}
}
