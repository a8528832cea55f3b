package main

import (
	"context"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"
)

// Exit codes (design, section 8).
const (
	exitOK             = 0
	exitFailed         = 1
	exitInvalidSetting = 2
)

// errSetting marks a wrong flag or input file; it leads to exit code 2.
var errInvalidSetting = errors.New("wrong setting")

// streams are the terminal's outputs.
type streams struct{ out, err io.Writer }

// commands is the table of commands.
var commands = []func(streams) *ff.Command{
	cmdLoad,
	cmdOverload,
	cmdTrace,
	cmdSlopes,
	cmdSettings,
}

// run executes the command in args and returns the exit code. Errors are printed here only.
func run(ctx context.Context, args []string, out, err io.Writer) int {
	root := &ff.Command{Name: "bench", Usage: "bench COMMAND [FLAGS]", ShortHelp: "load and experiments"}
	for _, c := range commands {
		root.Subcommands = append(root.Subcommands, c(streams{out: out, err: err}))
	}
	if e := root.Parse(args); e != nil {
		fmt.Fprintln(err, ffhelp.Command(root.GetSelected()))
		if errors.Is(e, ff.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(err, "bench:", e)
		return exitInvalidSetting
	}
	e := root.Run(ctx)
	switch {
	case e == nil:
		return exitOK
	case errors.Is(e, ff.ErrNoExec):
		fmt.Fprintln(err, ffhelp.Command(root.GetSelected()))
		return exitInvalidSetting
	}
	fmt.Fprintln(err, "bench:", e)
	if errors.Is(e, errInvalidSetting) {
		return exitInvalidSetting
	}
	return exitFailed
}
