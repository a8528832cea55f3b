// Command bench sends open-loop load to routers, compares scheduling policies by replays, measures the cost of the
// state machines, and writes the recorded traces and the settings of deployments on loopback.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}
