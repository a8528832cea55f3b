// Command bench sends load to a deployment and measures it.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"hickoryvane.example/core/launch"
)

const help = "load, experiments and settings for tests of hickoryvane"

// commands is the table of commands.
var commands = []launch.Command{settingsCommand, launch.Version("bench")}

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	os.Exit(launch.Run(ctx, "bench", help, commands, os.Args[1:], os.Stdout, os.Stderr))
}
