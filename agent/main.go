// Command agent runs beside one target: it holds the queue of the target, dispatches to it and keeps answers.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	// A second signal ends the process at once.
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(run(ctx, os.Args[1:], os.Stdout, os.Stderr))
}
