package engine

import (
	"time"

	"hickoryvane.example/core/ident"
)

type options struct {
	// prefill is in tokens per second; decode is the speed of one request alone.
	prefill, decode float64
	// half is the batch size, beyond the first request, at which the decode speed has halved.
	half float64
	// chunk is the number of prompt tokens processed per step.
	chunk ident.Tokens
	// memory is the KV memory in tokens; batch bounds the running requests.
	memory ident.Tokens
	batch  int
	// blocks bounds the prefix cache.
	blocks int
	// lag delays load reports and cache events; gaps is the share of cache events that are lost.
	lag     time.Duration
	gaps    float64
	fenced  bool
	issuers []string
	version ident.Version
	role    string
	// loading is the time that a load order takes.
	loading time.Duration
	crash   func(down time.Duration, exit bool)
}

func defaults() options {
	return options{
		prefill: 8000, decode: 60, half: 32, chunk: 512,
		memory: 64 << 10, batch: 64, blocks: 2048,
		lag: 500 * time.Millisecond, gaps: 0.01,
		version: "v1", role: "both",
	}
}

// Option sets one property of an engine.
type Option func(*options)

// Prefill sets the prefill speed in tokens per second.
func Prefill(speed float64) Option { return func(o *options) { o.prefill = speed } }

// Decode sets the decode speed of a request that runs alone, in tokens per second,
// and the number of further requests at which that speed halves.
func Decode(speed, half float64) Option {
	return func(o *options) { o.decode, o.half = speed, half }
}

// Chunk sets the prompt tokens processed per step.
func Chunk(n ident.Tokens) Option { return func(o *options) { o.chunk = n } }

// Memory sets the KV memory in tokens.
func Memory(n ident.Tokens) Option { return func(o *options) { o.memory = n } }

// Batch sets the largest number of running requests.
func Batch(n int) Option { return func(o *options) { o.batch = n } }

// Blocks sets the size of the prefix cache in blocks.
func Blocks(n int) Option { return func(o *options) { o.blocks = n } }

// Lag sets the delay of load reports and cache events.
func Lag(d time.Duration) Option { return func(o *options) { o.lag = d } }

// Gaps sets the share of cache events that are never published, from 0 to 1.
func Gaps(share float64) Option { return func(o *options) { o.gaps = share } }

// Fenced makes the engine refuse orders with an old fencing number.
func Fenced(on bool) Option { return func(o *options) { o.fenced = on } }

// Issuers makes the engine refuse orders of anyone else; without names it does not check.
func Issuers(names ...string) Option { return func(o *options) { o.issuers = names } }

// Version sets the version that is loaded at the start.
func Version(v ident.Version) Option { return func(o *options) { o.version = v } }

// Loading sets the time that a load order takes.
func Loading(d time.Duration) Option { return func(o *options) { o.loading = d } }

// OnCrash sets a function that closes the listener and all connections for a time; see host.Host.Crash.
// Without it a crashed engine closes each connection that reaches it.
func OnCrash(f func(down time.Duration, exit bool)) Option {
	return func(o *options) { o.crash = f }
}
