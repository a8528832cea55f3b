package main

import (
	"context"
	"flag"
	"net/http"
	"strings"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/engine"
	"hickoryvane.example/standin/host"
)

func newEngineCommand(fs *flag.FlagSet) handlerFactory {
	prefill := fs.Float64("prefill", 8000, "prefill speed in tokens/s")
	decode := fs.Float64("decode", 60, "decode speed of one request alone in tokens/s")
	half := fs.Float64("half", 32, "further requests at which the decode speed halves")
	memory := fs.Int64("memory", 64<<10, "KV memory in tokens")
	batch := fs.Int("batch", 64, "largest number of running requests")
	blocks := fs.Int("blocks", 2048, "size of the prefix cache in blocks")
	lag := fs.Duration("lag", 500*time.Millisecond, "delay of load reports and cache events")
	gaps := fs.Float64("gaps", 0.01, "share of cache events that are lost")
	fenced := fs.Bool("fenced", false, "refuse orders with an old fencing number")
	issuers := fs.String("issuers", "", "comma-separated issuers whose orders are accepted; empty accepts all")
	version := fs.String("version", "v1", "version loaded at the start")
	loading := fs.Duration("loading", 0, "time that a load order takes")
	return func(ctx context.Context, h *host.Host, seed uint64) (http.Handler, <-chan error) {
		e := engine.New(seed, engine.WithPrefillSpeed(*prefill), engine.WithDecodeSpeed(*decode, *half),
			engine.WithKVTokens(ident.Tokens(*memory)), engine.WithBatchMax(*batch), engine.WithCacheBlocks(*blocks),
			engine.WithReportLag(*lag), engine.WithCacheLoss(*gaps), engine.WithFencing(*fenced), engine.WithIssuers(splitList(*issuers)...),
			engine.WithVersion(ident.Version(*version)), engine.WithLoadDuration(*loading), engine.WithCrashHandler(h.Crash))
		return e, e.Start(ctx)
	}
}

func splitList(s string) []string {
	return strings.FieldsFunc(s, func(r rune) bool { return r == ',' })
}
