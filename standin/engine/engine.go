// Package engine is a stand-in for a model engine: continuous batching at stated speeds, limited KV
// memory, a prefix cache with eviction, and switches that make it fail. docs/STANDINS.md has its protocol.
package engine

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"hickoryvane.example/core/ident"
)

// keptMax bounds the ended requests whose streams can be resumed.
const endedMax = 1024

// Engine is a http.Handler. Requests make progress only between Start and the end of its context.
type Engine struct {
	opts options
	mux  *http.ServeMux
	wake chan struct{}

	mu sync.Mutex
	// queue holds admitted requests after waiting ones in the order of arrival; there are no priorities.
	queue, batch []*job
	// kept holds all requests by id; ended lists the finished ones, oldest first.
	requests map[ident.RequestID]*job
	ended    []*job
	// used is the reserved KV memory; at most o.memory.
	kvUsed      ident.Tokens
	prefix      *prefixCache
	loadHistory []loadSample
	commands    []Command
	fence       ident.Fence
	version     ident.Version
	role        string
	runCounts   map[ident.RequestID]int
	faults      Faults
	// cleared is closed and replaced when the faults change.
	faultsChanged chan struct{}
	// arrived counts requests since the faults changed; downUntil is the end of the last crash.
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

// Start begins processing. The returned channel receives the cause once processing has ended with ctx.
func (e *Engine) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)
	go func() { done <- e.loop(ctx) }()
	return done
}

// Runs returns how many times each request id was dispatched to this engine.
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

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}
