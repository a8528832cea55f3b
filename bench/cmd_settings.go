package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/bench/deploy"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/launch"
)

// portStride is the distance between the first ports of two processes with neighbouring ids; a deployment
// takes about 60 ports.
const portStride = 101

func cmdSettings(s streams) *ff.Command {
	std := flag.NewFlagSet("settings", flag.ContinueOnError)
	std.SetOutput(io.Discard) // run prints the error and the help
	examples := std.String("examples", "", "folder with declarations")
	out := std.String("out", "", "folder for the settings")
	return &ff.Command{
		Name: "settings", Usage: "bench settings -examples DIR -out DIR",
		ShortHelp: "write the settings of a deployment on loopback", Flags: ff.NewFlagSetFrom("settings", std),
		Exec: func(context.Context, []string) error {
			if *examples == "" || *out == "" {
				return errors.Wrap(errInvalidSetting, "--examples and --out are needed")
			}
			cfg, problems := conf.Load(*examples)
			if launch.PrintProblems(s.err, problems) != nil {
				return errors.Wrapf(errInvalidSetting, "%d faults", len(problems))
			}
			p, err := deploy.New(cfg, deploy.NewPorts(portStride*os.Getpid()))
			if err != nil {
				return err
			}
			return p.Write(*out)
		},
	}
}
