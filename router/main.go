// Command router runs on an entry VM: it reads calls of callers, offers them to agents and forwards the answers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hickoryvane.example/core/launch"
)

func main() {
	signal.Ignore(syscall.SIGHUP) // settings are read at the start only, and the default action would end the process at once
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(launch.Run(ctx, "router", help, commands, os.Args[1:], os.Stdout, os.Stderr))
}
