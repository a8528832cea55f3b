package main

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/store"
)

// Exit codes.
const (
	exitOK      = 0
	exitFailed  = 1
	exitInvalid = 2
)

// defaultInForceTimeout is the time within which an accepted configuration must be in force at all processes.
const defaultInForceTimeout = 7 * time.Second

var errUsage = errors.New("wrong arguments")

// problemList is the error for settings or declarations with problems.
type problemList []conf.Problem

func (p problemList) Error() string { return fmt.Sprintf("%d faults; nothing was applied", len(p)) }

// tool holds the outputs, settings and dependencies of the commands.
type tool struct {
	out, err io.Writer
	// settingsPath is the path of the operator's settings file.
	settingsPath string
	openStore    func(addr string) store.Store
	// inForceTimeout bounds the time from the acceptance of a configuration until it is in force.
	inForceTimeout time.Duration
}

func newTool(out, err io.Writer) *tool {
	return &tool{
		out: out, err: err, inForceTimeout: defaultInForceTimeout,
		openStore: func(addr string) store.Store { return store.NewHTTP(addr) },
	}
}

// subcommand is an entry of the command table; build adds the flags and returns the function that runs it.
type subcommand struct {
	name, usage, help string
	build             func(*tool, *ff.FlagSet) func(context.Context, []string) error
}

// subcommands is the table of commands.
var subcommands = []subcommand{
	{"check", "check [FLAGS] DIR", "check the declarations in a folder", checkCommand},
	{"apply", "apply [FLAGS] DIR", "make the declarations in a folder the accepted configuration", applyCommand},
	{"show", "show [FLAGS]", "show the accepted generation and the state of each process", showCommand},
	{"moves", "moves [FLAGS]", "show the moves and their recorded ends", movesCommand},
	{"replay", "replay TRACE", "replay a recorded trace", replayCommand},
	{"story", "story ID LOG...", "print what logs say of a request", storyCommand},
	{"version", "version", "print the version of the program", versionCommand},
}

func (t *tool) rootCommand() *ff.Command {
	root := &ff.Command{Name: "hickoryvane", Usage: "hickoryvane COMMAND", ShortHelp: "operate a deployment"}
	for _, v := range subcommands {
		fs := ff.NewFlagSet(v.name)
		root.Subcommands = append(root.Subcommands, &ff.Command{
			Name: v.name, Usage: "hickoryvane " + v.usage, ShortHelp: v.help, Flags: fs, Exec: v.build(t, fs),
		})
	}
	return root
}

// run parses and runs a command line, prints the error if any, and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) int {
	root := t.rootCommand()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(t.out, ffhelp.Command(root.GetSelected()))
			return exitOK
		}
		return t.printUsage(root, err)
	}
	err := root.Run(ctx)
	var problems problemList
	var faults faultCount
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, ff.ErrNoExec), errors.Is(err, errUsage):
		return t.printUsage(root, err)
	case errors.As(err, &faults):
		fmt.Fprintln(t.err, "hickoryvane:", err)
		return exitInvalid
	case errors.As(err, &problems):
		for _, p := range problems {
			fmt.Fprintln(t.err, p)
		}
		fmt.Fprintln(t.err, "hickoryvane:", err)
		return exitInvalid
	}
	fmt.Fprintln(t.err, "hickoryvane:", err)
	return exitFailed
}

func (t *tool) printUsage(root *ff.Command, err error) int {
	fmt.Fprintln(t.err, "hickoryvane:", err)
	fmt.Fprintln(t.err, ffhelp.Command(root.GetSelected()))
	return exitInvalid
}

// addSettings adds the flag for the path of the operator's settings.
func (t *tool) addSettings(fs *ff.FlagSet) {
	fs.StringVar(&t.settingsPath, 's', "settings", "operator.json", "file with the operator's settings")
}

func (t *tool) readSettings() (conf.Operator, error) {
	settings, problems := conf.ReadSettings[conf.Operator](t.settingsPath)
	if len(problems) > 0 {
		return settings, problemList(problems)
	}
	return settings, nil
}

// singleArg returns the only argument of a command, or an error that names it as what.
func singleArg(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", errors.Wrapf(errUsage, "need one %s", what)
	}
	return args[0], nil
}

func noArgs(args []string) error {
	if len(args) > 0 {
		return errors.Wrapf(errUsage, "unexpected argument %q", args[0])
	}
	return nil
}
