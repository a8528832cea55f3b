package main

import (
	"context"
	"encoding/json"
	"flag"
	"net/http"
	"time"

	"hickoryvane.example/core/vmlist"
	"hickoryvane.example/standin/host"
	"hickoryvane.example/standin/vmapi"
)

func newVMsCommand(fs *flag.FlagSet) handlerFactory {
	lag := fs.Duration("lag", 2*time.Second, "delay of changes")
	var vms []vmlist.VM
	fs.Func("vms", "JSON list of the VMs shown from the start", func(s string) error {
		return json.Unmarshal([]byte(s), &vms)
	})
	return func(context.Context, *host.Host, uint64) (http.Handler, <-chan error) {
		return vmapi.New(*lag, vms...), nil
	}
}
