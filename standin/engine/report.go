package engine

import (
	"net/http"
	"strconv"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Load is a load report of the engine.
type Load struct {
	// Running and Waiting count requests; RemainingTokens counts their tokens still to be processed or produced.
	Running         int          `json:"running"`
	Waiting         int          `json:"waiting"`
	RemainingTokens ident.Tokens `json:"left"`
	// KVUsed and KVCapacity are the reserved and the total KV memory.
	KVUsed     ident.Tokens  `json:"used"`
	KVCapacity ident.Tokens  `json:"size"`
	Version    ident.Version `json:"version"`
	Role       string        `json:"role"`
}

// loadSample is the load at one time.
type loadSample struct {
	load Load
	at   time.Time
}

func (e *Engine) currentLoad() Load {
	l := Load{
		Running: len(e.batch), Waiting: len(e.queue),
		KVUsed: e.kvUsed, KVCapacity: e.opts.kvTokens, Version: e.version, Role: e.role,
	}
	for _, js := range [][]*job{e.batch, e.queue} {
		for _, j := range js {
			l.RemainingTokens += j.remaining + j.output - j.produced
		}
	}
	return l
}

// recordLoad records the current load and drops the samples that readers can no longer see. The caller holds e.mu.
func (e *Engine) recordLoad() {
	now := time.Now()
	e.loadHistory = append(e.loadHistory, loadSample{e.currentLoad(), now})
	e.pruneLoads(now)
}

// pruneLoads drops the samples older than the newest one that is visible after the report lag.
func (e *Engine) pruneLoads(now time.Time) {
	for len(e.loadHistory) > 1 && !e.loadHistory[1].at.After(now.Add(-e.opts.reportLag)) {
		e.loadHistory = e.loadHistory[1:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.pruneLoads(time.Now())
	l := e.loadHistory[0].load
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, l)
}

func (e *Engine) getCache(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, "after is not a number")
		return
	}
	e.mu.Lock()
	events := e.prefix.eventsAfter(ident.Seq(after), time.Now().Add(-e.opts.reportLag))
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, events)
}

func (e *Engine) getCacheContents(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	c := e.prefix.contents()
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}

func (e *Engine) getHealth(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
}
