package main

import (
	"context"
	"flag"
	"net/http"

	"hickoryvane.example/standin/host"
	"hickoryvane.example/standin/objapi"
)

func objectsVerb(fs *flag.FlagSet) starter {
	reads := fs.Int("reads", 2000, "reads allowed per second")
	writes := fs.Int("writes", 400, "writes allowed per second")
	return func(context.Context, *host.Host, uint64) (http.Handler, <-chan error) {
		return objapi.New(objapi.Limits(*reads, *writes)), nil
	}
}
