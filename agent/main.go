// Command agent runs beside one target: it holds the queue of the target, dispatches to it and keeps answers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hickoryvane.example/core/launch"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(launch.Run(ctx, "agent", help, commands, os.Args[1:], os.Stdout, os.Stderr))
}
