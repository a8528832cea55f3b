package engine

import (
	"time"

	"hickoryvane.example/core/ident"
)

type options struct {
	// prefillSpeed and decodeSpeed are in tokens per second; decodeSpeed applies to a request that runs alone.
	prefillSpeed, decodeSpeed float64
	// halfSpeedBatch is the number of further requests in the batch at which the decode speed has halved.
	halfSpeedBatch float64
	// chunkMax bounds the prompt tokens processed per step.
	chunkMax ident.Tokens
	// kvTokens is the size of the KV memory; batchMax bounds the running requests.
	kvTokens ident.Tokens
	batchMax int
	// cacheBlocks is the size of the prefix cache.
	cacheBlocks int
	// reportLag delays load reports and cache events; cacheLoss is the share of cache events that are never published.
	reportLag time.Duration
	cacheLoss float64
	fenced    bool
	issuers   []string
	version   ident.Version
	role      string
	// loadDuration is how long a load command takes.
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

// WithPrefillSpeed sets the prefill speed.
func WithPrefillSpeed(tokensPerSecond float64) Option {
	return func(o *options) { o.prefillSpeed = tokensPerSecond }
}

// WithDecodeSpeed sets the decode speed of a request that runs alone,
// and the number of further requests at which that speed halves.
func WithDecodeSpeed(tokensPerSecond, halfSpeedBatch float64) Option {
	return func(o *options) { o.decodeSpeed, o.halfSpeedBatch = tokensPerSecond, halfSpeedBatch }
}

// WithChunkMax sets the largest number of prompt tokens processed per step.
func WithChunkMax(n ident.Tokens) Option { return func(o *options) { o.chunkMax = n } }

// WithKVTokens sets the size of the KV memory.
func WithKVTokens(n ident.Tokens) Option { return func(o *options) { o.kvTokens = n } }

// WithBatchMax sets the largest number of running requests.
func WithBatchMax(n int) Option { return func(o *options) { o.batchMax = n } }

// WithCacheBlocks sets the size of the prefix cache.
func WithCacheBlocks(n int) Option { return func(o *options) { o.cacheBlocks = n } }

// WithReportLag sets the delay of load reports and cache events.
func WithReportLag(d time.Duration) Option { return func(o *options) { o.reportLag = d } }

// WithCacheLoss sets the share of cache events that are never published, from 0 to 1.
func WithCacheLoss(share float64) Option { return func(o *options) { o.cacheLoss = share } }

// WithFencing sets whether the engine refuses commands with an old fencing token.
func WithFencing(on bool) Option { return func(o *options) { o.fenced = on } }

// WithIssuers makes the engine refuse commands of other issuers; without names it does not check.
func WithIssuers(names ...string) Option { return func(o *options) { o.issuers = names } }

// WithVersion sets the version that is loaded at the start.
func WithVersion(v ident.Version) Option { return func(o *options) { o.version = v } }

// WithLoadDuration sets how long a load command takes.
func WithLoadDuration(d time.Duration) Option { return func(o *options) { o.loadDuration = d } }

// WithCrashHandler sets the function that is called at a crash to close the listener and all connections for a time;
// see host.Host.Crash. Without it a crashed engine closes each connection that reaches it.
func WithCrashHandler(f func(down time.Duration, exit bool)) Option {
	return func(o *options) { o.onCrash = f }
}
