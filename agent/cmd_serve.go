package main

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/agent/node"
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/launch"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/store"
)

func serveCommand(_, stderr io.Writer) *ff.Command {
	fs := ff.NewFlagSet("serve")
	file := fs.String('s', "settings", "agent.json", "file with the settings")
	level := fs.StringEnum('l', "level", "least level of log lines", "info", "debug", "warn", "error")
	kind := fs.StringEnum('k', "kind", "kind of the target", string(conf.Model), string(conf.Plain))
	return &ff.Command{
		Name: "serve", Usage: "agent serve [FLAGS]", ShortHelp: "serve one target until SIGTERM", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, problems := conf.ReadSettings[conf.Agent](*file)
			if err := launch.Problems(stderr, problems); err != nil {
				return err
			}
			least, err := log.ParseLevel(*level)
			if err != nil {
				return err
			}
			return serve(ctx, cfg, conf.ServiceKind(*kind), event.New(stderr, least))
		},
	}
}

// serve runs the agent; the end of ctx begins a graceful shutdown.
func serve(ctx context.Context, cfg conf.Agent, kind conf.ServiceKind, l *event.Logger) error {
	var t target.Target = target.NewEngine(cfg.Target)
	if kind == conf.Plain {
		t = target.NewPlain(cfg.Target)
	}
	m, err := meter.New(meter.Process(cfg.Name))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(launch.MemoryLimit)
	a := node.NewAgent(cfg, t, store.NewHTTP(cfg.Store), l, m)
	stop := context.AfterFunc(ctx, a.Stop)
	defer stop()
	return a.Run(context.WithoutCancel(ctx))
}
