package main

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"net/netip"

	"github.com/peterbourgon/ff/v4"
	"github.com/pkg/errors"

	"hickoryvane.example/standin/host"
)

var errUsage = errors.New("wrong arguments")

// verbs is the table of commands.
var commands = []struct {
	name, help string
	// build declares the flags and returns the constructor that is called after they were parsed.
	build func(*flag.FlagSet) handlerFactory
}{
	{"engine", "model engine with continuous batching and a prefix cache", newEngineCommand},
	{"objects", "object API with versions, conditional updates and watches", newObjectsCommand},
	{"plain", "plain service that counts its runs", newPlainCommand},
	{"vms", "lagging list of VMs", newVMsCommand},
}

// starter creates the handler of a stand-in on its host. The channel reports the end of its goroutine; it may be nil.
type handlerFactory func(context.Context, *host.Host, uint64) (http.Handler, <-chan error)

func rootCommand() *ff.Command {
	root := &ff.Command{Name: "standin", Usage: "standin COMMAND [FLAGS]", ShortHelp: "fakes for tests and the demo"}
	for _, v := range commands {
		std := flag.NewFlagSet(v.name, flag.ContinueOnError)
		listen := std.String("listen", "127.0.0.1:0", "IP number and port")
		seed := std.Uint64("seed", 1, "seed of all random choices")
		start := v.build(std)
		root.Subcommands = append(root.Subcommands, &ff.Command{
			Name: v.name, Usage: "standin " + v.name + " [FLAGS]", ShortHelp: v.help,
			Flags: ff.NewFlagSetFrom(v.name, std),
			Exec: func(ctx context.Context, args []string) error {
				if len(args) > 0 {
					return errors.Wrapf(errUsage, "unexpected argument %q", args[0])
				}
				return serve(ctx, v.name, *listen, *seed, start)
			},
		})
	}
	return root
}

// serve runs one stand-in until ctx ends.
func serve(ctx context.Context, name, listen string, seed uint64, start handlerFactory) (err error) {
	defer func() { err = errors.WithMessage(err, name) }()
	if _, err = netip.ParseAddrPort(listen); err != nil {
		return errors.Wrap(errUsage, err.Error())
	}
	h, err := host.Listen(listen)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	handler, ended := start(ctx, h, seed)
	fmt.Println(name, "listens on", h.Addr())
	err = h.Serve(ctx, handler)
	cancel()
	if ended != nil {
		<-ended
	}
	return err
}
