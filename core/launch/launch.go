// Package launch runs the command line of a program: a table of commands, help, and exit codes.
package launch

import (
	"context"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
)

// Exit codes of all programs.
const (
	// OK is success.
	OK = 0
	// Failure is a failure at run time, or an expected outcome that was missed.
	Failure = 1
	// InvalidUsage is an invalid command line, setting or declaration.
	InvalidUsage = 2
)

// MemoryLimit is the soft memory limit of a daemon's garbage collector in bytes. It leaves room below the 128 MB that
// a daemon may use for control.
const MemoryLimit = 112 << 20

// ErrInvalidSettings means that settings or declarations are invalid; their problems have been printed.
var ErrInvalidSettings = errors.New("wrong settings")

// ErrUsage means that the arguments of a command are invalid.
var ErrUsage = errors.New("wrong arguments")

// ErrFaulty means that what a command checked has errors, which have been printed.
var ErrFaulty = errors.New("the configuration has errors")

// Command builds one command of a program.
type Command func(stdout, stderr io.Writer) *ff.Command

// Run executes one command line and returns the exit code. It prints the error of the command.
func Run(ctx context.Context, name, help string, commands []Command, args []string, stdout, stderr io.Writer) int {
	root := &ff.Command{Name: name, Usage: name + " COMMAND [FLAGS]", ShortHelp: help}
	for _, c := range commands {
		root.Subcommands = append(root.Subcommands, c(stdout, stderr))
	}
	if err := root.Parse(args); err != nil {
		fmt.Fprintln(stderr, ffhelp.Command(root))
		if errors.Is(err, ff.ErrHelp) {
			return OK
		}
		fmt.Fprintf(stderr, "%s: %v\n", name, err)
		return InvalidUsage
	}
	err := root.Run(ctx)
	switch {
	case err == nil:
		return OK
	case errors.Is(err, ff.ErrNoExec):
		fmt.Fprintln(stderr, ffhelp.Command(root))
		return InvalidUsage
	}
	fmt.Fprintf(stderr, "%s: %v\n", name, err)
	if errors.Is(err, ErrInvalidSettings) || errors.Is(err, ErrUsage) || errors.Is(err, ErrFaulty) {
		return InvalidUsage
	}
	return Failure
}

// PrintProblems prints the problems of files and returns ErrInvalidSettings if there are any.
func PrintProblems(stderr io.Writer, problems []conf.Problem) error {
	for _, p := range problems {
		fmt.Fprintln(stderr, p)
	}
	if len(problems) > 0 {
		return errors.WithMessagef(ErrInvalidSettings, "%d faults", len(problems))
	}
	return nil
}

// VersionCommand returns the command that prints the version of a program.
func VersionCommand(name string) Command {
	return func(stdout, _ io.Writer) *ff.Command {
		return &ff.Command{
			Name: "version", Usage: name + " version", ShortHelp: "print the version",
			Exec: func(context.Context, []string) error {
				version := "unknown"
				if info, ok := debug.ReadBuildInfo(); ok {
					version = info.Main.Version + " " + info.GoVersion
				}
				_, err := fmt.Fprintln(stdout, name, version)
				return err
			},
		}
	}
}
