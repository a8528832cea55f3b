package main

import (
	"context"
	"flag"
	"net/http"

	"hickoryvane.example/standin/host"
	"hickoryvane.example/standin/plain"
)

func newPlainCommand(fs *flag.FlagSet) handlerFactory {
	version := fs.String("version", "v1", "version named in answers")
	return func(_ context.Context, h *host.Host, seed uint64) (http.Handler, <-chan error) {
		return plain.New(seed, plain.WithVersion(*version), plain.WithCrashHandler(h.Crash)), nil
	}
}
