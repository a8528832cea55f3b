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
	exitDone   = 0
	exitFailed = 1
	exitFault  = 2
)

// forceTime is the time in which an accepted configuration must be in force everywhere.
const forceTime = 7 * time.Second

var errUsage = errors.New("wrong arguments")

// faults is the error of settings or declarations that have problems.
type faults []conf.Problem

func (f faults) Error() string { return fmt.Sprintf("%d faults; nothing was applied", len(f)) }

// tool holds what all commands share.
type tool struct {
	out, err io.Writer
	// settings is the path of the operator's settings.
	settings string
	open     func(addr string) store.Store
	// wait bounds the time from acceptance until a configuration is in force.
	wait time.Duration
}

func newTool(out, err io.Writer) *tool {
	return &tool{out: out, err: err, wait: forceTime, open: func(addr string) store.Store { return store.NewHTTP(addr) }}
}

// verb is one command; build adds its flags and returns the function that runs it.
type verb struct {
	name, usage, help string
	build             func(*tool, *ff.FlagSet) func(context.Context, []string) error
}

// verbs is the table of commands.
var verbs = []verb{
	{"check", "check DIR", "check the declarations in a folder", checkVerb},
	{"apply", "apply [FLAGS] DIR", "make the declarations in a folder the accepted configuration", applyVerb},
	{"show", "show [FLAGS]", "show the accepted generation and the state of each process", showVerb},
	{"moves", "moves [FLAGS]", "show the moves and their recorded ends", movesVerb},
	{"replay", "replay TRACE", "replay a recorded trace", replayVerb},
	{"story", "story ID LOG...", "print what logs say of a request", storyVerb},
	{"version", "version", "print the version of the program", versionVerb},
}

func (t *tool) command() *ff.Command {
	root := &ff.Command{Name: "hickoryvane", Usage: "hickoryvane COMMAND", ShortHelp: "operate a deployment"}
	for _, v := range verbs {
		fs := ff.NewFlagSet(v.name)
		root.Subcommands = append(root.Subcommands, &ff.Command{
			Name: v.name, Usage: "hickoryvane " + v.usage, ShortHelp: v.help, Flags: fs, Exec: v.build(t, fs),
		})
	}
	return root
}

// run runs one command line, prints its error and returns the exit code.
func (t *tool) run(ctx context.Context, args []string) int {
	root := t.command()
	if err := root.Parse(args); err != nil {
		if errors.Is(err, ff.ErrHelp) {
			fmt.Fprintln(t.out, ffhelp.Command(root.GetSelected()))
			return exitDone
		}
		return t.usage(root, err)
	}
	err := root.Run(ctx)
	var list faults
	switch {
	case err == nil:
		return exitDone
	case errors.Is(err, ff.ErrNoExec), errors.Is(err, errUsage):
		return t.usage(root, err)
	case errors.As(err, &list):
		for _, p := range list {
			fmt.Fprintln(t.err, p)
		}
		fmt.Fprintln(t.err, "hickoryvane:", err)
		return exitFault
	}
	fmt.Fprintln(t.err, "hickoryvane:", err)
	return exitFailed
}

func (t *tool) usage(root *ff.Command, err error) int {
	fmt.Fprintln(t.err, "hickoryvane:", err)
	fmt.Fprintln(t.err, ffhelp.Command(root.GetSelected()))
	return exitFault
}

// addSettings declares the flag that names the operator's settings.
func (t *tool) addSettings(fs *ff.FlagSet) {
	fs.StringVar(&t.settings, 's', "settings", "operator.json", "file with the operator's settings")
}

func (t *tool) operator() (conf.Operator, error) {
	set, problems := conf.ReadSettings[conf.Operator](t.settings)
	if len(problems) > 0 {
		return set, faults(problems)
	}
	return set, nil
}

// only returns the single argument of a command.
func only(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", errors.Wrapf(errUsage, "need one %s", what)
	}
	return args[0], nil
}

func none(args []string) error {
	if len(args) > 0 {
		return errors.Wrapf(errUsage, "unexpected argument %q", args[0])
	}
	return nil
}
