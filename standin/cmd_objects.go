package main

import (
	"context"
	"flag"
	"net/http"

	"hickoryvane.example/standin/host"
	"hickoryvane.example/standin/objapi"
)

func newObjectsCommand(fs *flag.FlagSet) handlerFactory {
	reads := fs.Int("reads", 2000, "reads allowed per second")
	writes := fs.Int("writes", 400, "writes allowed per second")
	return func(context.Context, *host.Host, uint64) (http.Handler, <-chan error) {
		return objapi.New(objapi.WithRateLimits(*reads, *writes)), nil
	}
}
