// Command standin runs small stand-ins for the systems around hickoryvane, for tests and the demo.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/peterbourgon/ff/v4"
	"github.com/peterbourgon/ff/v4/ffhelp"
	"github.com/pkg/errors"
)

// Exit codes.
const (
	exitFailed = 1
	exitUsage  = 2
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:])
	stop()
	os.Exit(code)
}

func run(ctx context.Context, args []string) int {
	root := rootCommand()
	err := root.Parse(args)
	switch {
	case errors.Is(err, ff.ErrHelp):
		fmt.Print(ffhelp.Command(root))
		return 0
	case err == nil:
		err = root.Run(ctx)
	default:
		fmt.Fprintln(os.Stderr, err)
		return exitUsage
	}
	if errors.Is(err, ff.ErrNoExec) || errors.Is(err, errUsage) {
		fmt.Fprintln(os.Stderr, err)
		fmt.Fprint(os.Stderr, ffhelp.Command(root))
		return exitUsage
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitFailed
	}
	return 0
}
