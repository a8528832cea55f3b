package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
)

// Exit codes.
const (
	exitOK    = 0
	exitFail  = 1
	exitUsage = 2
)

// errSettings means that the settings have faults, which were listed.
var errSettings = errors.New("wrong settings")

// commands is the table of commands.
var commands = []func(stdout, stderr io.Writer) *ff.Command{serveCommand, versionCommand}

// run executes one command line and returns the exit code. Errors are printed here, once.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) int {
	root := &ff.Command{Name: "agent", Usage: "agent COMMAND [FLAGS]", ShortHelp: "the process beside one target of hickoryvane"}
	for _, c := range commands {
		root.Subcommands = append(root.Subcommands, c(stdout, stderr))
	}
	if err := root.Parse(args); err != nil {
		fmt.Fprintln(stderr, ffhelp.Command(root))
		if errors.Is(err, ff.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(stderr, "agent:", err)
		return exitUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(stderr, ffhelp.Command(root))
		return exitUsage
	case errors.Is(err, errSettings):
		fmt.Fprintln(stderr, "agent:", err)
		return exitUsage
	default:
		fmt.Fprintln(stderr, "agent:", err)
		return exitFail
	}
}

// list prints the faults of a file and returns errSettings if there are any.
func list(stderr io.Writer, problems []conf.Problem) error {
	for _, p := range problems {
		fmt.Fprintln(stderr, p)
	}
	if len(problems) > 0 {
		return errors.WithMessagef(errSettings, "%d faults", len(problems))
	}
	return nil
}
