package main

import (
	"context"
	"flag"
	"net/http"

	"hickoryvane.example/standin/host"
	"hickoryvane.example/standin/plain"
)

func plainVerb(fs *flag.FlagSet) starter {
	version := fs.String("version", "v1", "version named in answers")
	return func(_ context.Context, h *host.Host, seed uint64) (http.Handler, <-chan error) {
		return plain.New(seed, plain.Version(*version), plain.OnCrash(h.Crash)), nil
	}
}
