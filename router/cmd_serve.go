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
	file := fs.String('s', "settings", "router.json", "file with the settings")
	level := fs.StringEnum('l', "level", "least level of log lines", "info", "debug", "warn", "error")
	return &ff.Command{
		Name: "serve", Usage: "router serve [FLAGS]", ShortHelp: "serve callers until SIGTERM", Flags: fs,
		Exec: func(ctx context.Context, _ []string) error {
			cfg, problems := conf.ReadSettings[conf.Router](*file)
			if err := launch.Problems(stderr, problems); err != nil {
				return err
			}
			least, err := log.ParseLevel(*level)
			if err != nil {
				return err
			}
			return serve(ctx, cfg, event.New(stderr, least))
		},
	}
}

// serve runs the router; the end of ctx begins a graceful shutdown.
func serve(ctx context.Context, cfg conf.Router, l *event.Logger) error {
	m, err := meter.New(meter.Process(cfg.Name))
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(launch.MemoryLimit)
	r := entry.NewRouter(cfg, store.NewHTTP(cfg.Store), vms{list: vmlist.NewHTTP(cfg.List)}, l, entry.WithMetrics(m))
	stop := context.AfterFunc(ctx, r.Stop)
	defer stop()
	return r.Run(context.WithoutCancel(ctx))
}
