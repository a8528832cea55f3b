// Command agent runs beside one target: it queues requests for the target, dispatches them and stores the answers.
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
	os.Exit(launch.Run(ctx, "agent", help, commands, os.Args[1:], os.Stdout, os.Stderr))
}
