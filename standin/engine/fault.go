package engine

import (
	"net/http"
	"strings"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Faults are the injected faults; the zero value is a healthy engine.
type Faults struct {
	// Slowdown multiplies the duration of all work; 0 means 1.
	Slowdown float64 `json:"slow"`
	// FailureRatio is the share of calls that are answered with status 500, from 0 to 1.
	FailureRatio float64 `json:"fail"`
	// FailureRoutePrefix limits FailureRatio to paths with this prefix; empty means chat completions.
	FailureRoutePrefix string `json:"route"`
	// FailureMinInFlight limits FailureRatio to calls that arrive while at least this number of requests are running or
	// waiting.
	FailureMinInFlight int `json:"batch"`
	// CrashMarker makes the engine crash while it processes a prompt that contains it.
	CrashMarker string `json:"marker"`
	// CrashAtRequest makes the engine crash while it processes the prompt of this request, counted from 1 since the
	// faults were set; 0 means never.
	CrashAtRequest int `json:"after"`
	// DownMillis is how long the engine is down after a crash; with ExitOnCrash the process ends instead.
	DownMillis  int64 `json:"down"`
	ExitOnCrash bool  `json:"exit"`
	// Hang stops all work and leaves all calls unanswered.
	Hang bool `json:"hang"`
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.arrivals = f, 0
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.wakeLoop()
}

// admitCall applies the faults to a call and reports whether it may be served. /faults and /runs are exempt.
func (e *Engine) admitCall(w http.ResponseWriter, r *http.Request) bool {
	if r.URL.Path == "/faults" || r.URL.Path == "/runs" {
		return true
	}
	if !e.waitWhileHung(r) {
		return false
	}
	e.mu.Lock()
	down, fail := time.Now().Before(e.downUntil), e.injectFailure(r)
	e.mu.Unlock()
	switch {
	case down:
		reply.Abort(w)
	case fail:
		reply.Error(w, http.StatusInternalServerError, "failure as ordered")
	}
	return !down && !fail
}

// waitWhileHung blocks while the engine hangs; it returns false if the client disconnects.
func (e *Engine) waitWhileHung(r *http.Request) bool {
	for {
		e.mu.Lock()
		hang, changed := e.faults.Hang, e.faultsChanged
		e.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return false
		}
	}
}

// injectFailure reports whether a call is to fail with status 500, and counts its run if so. The caller holds e.mu.
func (e *Engine) injectFailure(r *http.Request) bool {
	route := e.faults.FailureRoutePrefix
	if route == "" {
		route = "/v1/chat/completions"
	}
	if e.faults.FailureRatio == 0 || !strings.HasPrefix(r.URL.Path, route) {
		return false
	}
	if len(e.batch)+len(e.queue) < e.faults.FailureMinInFlight || e.rnd.Float64() >= e.faults.FailureRatio {
		return false
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		e.runCounts[ident.RequestID(id)]++ // a failed call has reached the engine as well
	}
	return true
}

// crash drops all requests and the prefix cache. Run counts and accepted commands are kept, so that tests can read
// them. The caller holds e.mu.
func (e *Engine) crash() {
	for _, j := range e.batch {
		j.end(lost)
	}
	for _, j := range e.queue {
		j.end(lost)
	}
	e.batch, e.queue, e.ended, e.kvUsed = nil, nil, nil, 0
	clear(e.requests)
	e.prefix.clear()
	e.recordLoad()
	down := time.Duration(e.faults.DownMillis) * time.Millisecond
	e.downUntil = time.Now().Add(down)
	if e.opts.onCrash != nil {
		e.opts.onCrash(down, e.faults.ExitOnCrash)
	}
}

func (e *Engine) getFaults(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	f := e.faults
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, f)
}

func (e *Engine) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if reply.ReadJSON(w, r, &f) {
		e.SetFaults(f)
		reply.JSON(w, http.StatusOK, f)
	}
}
