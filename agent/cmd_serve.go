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
	kind := fs.StringEnum('k', "kind", "kind of the target", string(conf.ModelService), string(conf.PlainService))
	return &ff.Command{
		Name: "serve", Usage: "agent serve [FLAGS]", ShortHelp: "serve one target until SIGTERM", Flags: fs,
		Exec: launch.DaemonExec(fs, stderr, "agent.json", func(ctx context.Context, _ string, cfg conf.Agent, least log.Level) error {
			return serve(ctx, cfg, conf.ServiceKind(*kind), event.New(stderr, least))
		}),
	}
}

// serve runs the agent; the end of ctx begins a graceful shutdown.
func serve(ctx context.Context, cfg conf.Agent, kind conf.ServiceKind, l *event.Logger) error {
	var t target.Target = target.NewEngine(cfg.Target)
	if kind == conf.PlainService {
		t = target.NewPlain(cfg.Target)
	}
	m, err := meter.New(meter.WithProcess(cfg.Name))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(launch.MemoryLimit)
	a := node.NewAgent(cfg, t, store.NewHTTP(cfg.Store), l, m)
	stop := context.AfterFunc(ctx, a.Stop)
	defer stop()
	return a.Run(context.WithoutCancel(ctx))
}
