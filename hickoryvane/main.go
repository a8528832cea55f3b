// Command hickoryvane is the operators' command-line tool: it checks and applies declarations, shows the state of the
// processes and of rollouts, replays traces and searches logs.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := newTool(os.Stdout, os.Stderr).run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}
