// Package engine is a stand-in for a model engine: continuous batching at configured speeds, limited KV
// memory, a prefix cache with eviction, and injected faults. docs/STANDINS.md describes its protocol.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hickoryvane.example/core/ident"
)

// endedMax bounds the ended requests that are kept so that their streams can be resumed.
const endedMax = 1024

// Engine is an http.Handler. Requests make progress only from Start until its context is done.
type Engine struct {
	opts options
	mux  *http.ServeMux
	wake chan struct{}

	mu sync.Mutex
	// queue holds the waiting requests in the order of arrival, without priorities; batch holds the running ones.
	queue, batch []*job
	// requests holds all requests by id; ended lists those that have ended, oldest first.
	requests map[ident.RequestID]*job
	ended    []*job
	// kvUsed is the reserved KV memory; at most opts.kvTokens.
	kvUsed ident.Tokens
	prefix *prefixCache
	// loadHistory holds the samples that readers can still see, oldest first; see recordLoad.
	loadHistory []loadSample
	// commands are the accepted commands; fence is their highest fencing token.
	commands []Command
	fence    ident.Fence
	// version is the loaded version, empty for none; role is the serving role, such as "decode" or "both".
	version   ident.Version
	role      string
	runCounts map[ident.RequestID]int
	faults    Faults
	// faultsChanged is closed and replaced when the faults change.
	faultsChanged chan struct{}
	// arrivals counts the requests since the faults changed; downUntil is the end of the last downtime; generatedIDs
	// counts the requests that came without an id.
	arrivals     int
	downUntil    time.Time
	generatedIDs int
	rnd          *rand.Rand
}

// New returns an engine whose random choices depend on seed only.
func New(seed uint64, opts ...Option) *Engine {
	o := defaultOptions()
	for _, f := range opts {
		f(&o)
	}
	e := &Engine{
		opts: o, wake: make(chan struct{}, 1), faultsChanged: make(chan struct{}),
		requests: map[ident.RequestID]*job{}, runCounts: map[ident.RequestID]int{},
		version: o.version, role: o.role, rnd: rand.New(rand.NewPCG(seed, 1)),
	}
	e.prefix = newPrefixCache(o.cacheBlocks, o.cacheLoss, rand.New(rand.NewPCG(seed, 2)))
	e.loadHistory = []loadSample{{load: e.currentLoad()}}
	e.mux = e.routes()
	return e
}

// Start begins processing. The returned channel receives the error of ctx once processing has stopped.
func (e *Engine) Start(ctx context.Context) <-chan error {
	stopped := make(chan error, 1)
	go func() { stopped <- e.loop(ctx) }()
	return stopped
}

// Runs returns how many times each request was dispatched to this engine, by request id.
func (e *Engine) Runs() map[ident.RequestID]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[ident.RequestID]int, len(e.runCounts))
	for id, n := range e.runCounts {
		out[id] = n
	}
	return out
}

// ServeHTTP implements http.Handler.
func (e *Engine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if e.admitCall(w, r) {
		e.mux.ServeHTTP(w, r)
	}
}

func (e *Engine) routes() *http.ServeMux {
	m := http.NewServeMux()
	m.HandleFunc("POST /v1/chat/completions", e.postChat)
	m.HandleFunc("POST /v1/requests/{id}/cancel", e.postCancel)
	m.HandleFunc("GET /v1/requests/{id}/stream", e.getStream)
	m.HandleFunc("GET /load", e.getLoad)
	m.HandleFunc("GET /cache", e.getCache)
	m.HandleFunc("GET /cache/all", e.getCacheContents)
	m.HandleFunc("GET /kv/export", e.getKV)
	m.HandleFunc("POST /kv/import", e.postKV)
	m.HandleFunc("POST /orders", e.postCommand)
	m.HandleFunc("GET /orders", e.getCommands)
	m.HandleFunc("GET /healthz", e.getHealth)
	m.HandleFunc("GET /faults", e.getFaults)
	m.HandleFunc("POST /faults", e.postFaults)
	m.HandleFunc("GET /runs", e.getRuns)
	return m
}

// wakeLoop makes the loop look for work again.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
