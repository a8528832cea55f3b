package engine

import (
	"time"

	"hickoryvane.example/core/ident"
)

type options struct {
	// prefill is in tokens per second; decode is the speed of one request alone.
	prefillSpeed, decodeSpeed float64
	// half is the batch size, beyond the first request, at which the decode speed has halved.
	halfSpeedBatch float64
	// chunk is the number of prompt tokens processed per step.
	chunkMax ident.Tokens
	// memory is the KV memory in tokens; batch bounds the running requests.
	kvTokens ident.Tokens
	batchMax int
	// blocks bounds the prefix cache.
	cacheBlocks int
	// lag delays load reports and cache events; gaps is the share of cache events that are lost.
	reportLag time.Duration
	cacheLoss float64
	fenced    bool
	issuers   []string
	version   ident.Version
	role      string
	// loading is the time that a load order takes.
	loadDuration time.Duration
	onCrash      func(down time.Duration, exit bool)
}

func defaultOptions() options {
	return options{
		prefillSpeed: 8000, decodeSpeed: 60, halfSpeedBatch: 32, chunkMax: 512,
		kvTokens: 64 << 10, batchMax: 64, cacheBlocks: 2048,
		reportLag: 500 * time.Millisecond, cacheLoss: 0.01,
		version: "v1", role: "both",
	}
}

// Option sets one property of an engine.
type Option func(*options)

// Prefill sets the prefill speed in tokens per second.
func WithPrefillSpeed(speed float64) Option { return func(o *options) { o.prefillSpeed = speed } }

// Decode sets the decode speed of a request that runs alone, in tokens per second,
// and the number of further requests at which that speed halves.
func WithDecodeSpeed(speed, half float64) Option {
	return func(o *options) { o.decodeSpeed, o.halfSpeedBatch = speed, half }
}

// Chunk sets the prompt tokens processed per step.
func WithChunkMax(n ident.Tokens) Option { return func(o *options) { o.chunkMax = n } }

// Memory sets the KV memory in tokens.
func WithKVTokens(n ident.Tokens) Option { return func(o *options) { o.kvTokens = n } }

// Batch sets the largest number of running requests.
func WithBatchMax(n int) Option { return func(o *options) { o.batchMax = n } }

// Blocks sets the size of the prefix cache in blocks.
func WithCacheBlocks(n int) Option { return func(o *options) { o.cacheBlocks = n } }

// Lag sets the delay of load reports and cache events.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.reportLag = d } }

// Gaps sets the share of cache events that are never published, from 0 to 1.
func WithCacheLoss(share float64) Option { return func(o *options) { o.cacheLoss = share } }

// Fenced makes the engine refuse orders with an old fencing number.
func WithFencing(on bool) Option { return func(o *options) { o.fenced = on } }

// Issuers makes the engine refuse orders of anyone else; without names it does not check.
func WithIssuers(names ...string) Option { return func(o *options) { o.issuers = names } }

// Version sets the version that is loaded at the start.
func WithVersion(v ident.Version) Option { return func(o *options) { o.version = v } }

// Loading sets the time that a load order takes.
func WithLoadDuration(d time.Duration) Option { return func(o *options) { o.loadDuration = d } }

// OnCrash sets a function that closes the listener and all connections for a time; see host.Host.Crash.
// Without it a crashed engine closes each connection that reaches it.
func WithCrashHandler(f func(down time.Duration, exit bool)) Option {
	return func(o *options) { o.onCrash = f }
}
