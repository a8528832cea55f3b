package main

import (
	"context"
	"io"
	"runtime/debug"

	"github.com/charmbracelet/log"
	"github.com/peterbourgon/ff/v4"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/launch"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/vmlist"
	"hickoryvane.example/router/entry"
)

func serveCommand(_, stderr io.Writer) *ff.Command {
	fs := ff.NewFlagSet("serve")
	return &ff.Command{
		Name: "serve", Usage: "router serve [FLAGS]", ShortHelp: "serve callers until SIGTERM", Flags: fs,
		Exec: launch.DaemonExec(fs, stderr, "router.json", func(ctx context.Context, _ string, cfg conf.Router, minLevel log.Level) error {
			return serve(ctx, cfg, event.New(stderr, minLevel))
		}),
	}
}

// serve runs the router; the end of ctx starts a graceful shutdown.
func serve(ctx context.Context, cfg conf.Router, l *event.Logger) error {
	m, err := meter.New(meter.WithProcess(cfg.Name))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(launch.MemoryLimit)
	r := entry.NewRouter(cfg, store.NewHTTP(cfg.Store), vmLister{source: vmlist.NewHTTP(cfg.VMList)}, l, entry.WithMetrics(m))
	stop := context.AfterFunc(ctx, r.Stop)
	defer stop()
	return r.Run(context.WithoutCancel(ctx))
}
