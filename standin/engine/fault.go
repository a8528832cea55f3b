package engine

import (
	"net/http"
	"strings"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Faults are the test switches; the zero value is a healthy engine.
type Faults struct {
	// Slow multiplies the duration of all work; 0 means 1.
	Slowdown float64 `json:"slow"`
	// Fail is the share of calls that are answered with status 500, from 0 to 1.
	FailureRatio float64 `json:"fail"`
	// Route limits Fail to paths with this prefix; empty means chat completions.
	RoutePrefix string `json:"route"`
	// Batch limits Fail to times when more than this number of requests are running or waiting.
	MinInFlight int `json:"batch"`
	// Marker makes the engine crash while it processes a prompt that contains it.
	CrashMarker string `json:"marker"`
	// After makes the engine crash while it processes the prompt of this request, counted from now; 0 means never.
	CrashAtRequest int `json:"after"`
	// Down is the time in milliseconds for which a crash lasts; Exit ends the process instead.
	DownMillis  int64 `json:"down"`
	ExitOnCrash bool  `json:"exit"`
	// Hang stops all work and leaves all calls unanswered.
	Hang bool `json:"hang"`
}

// Set replaces the test switches.
func (e *Engine) SetFaults(f Faults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults, e.arrivals = f, 0
	close(e.faultsChanged)
	e.faultsChanged = make(chan struct{})
	e.wakeLoop()
}

// gate applies the faults to a call and reports whether it may be served.
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

// await blocks while the engine hangs; it returns false when the caller has left.
func (e *Engine) waitWhileHung(r *http.Request) bool {
	for {
		e.mu.Lock()
		hang, cleared := e.faults.Hang, e.faultsChanged
		e.mu.Unlock()
		if !hang {
			return true
		}
		select {
		case <-cleared:
		case <-r.Context().Done():
			return false
		}
	}
}

func (e *Engine) injectFailure(r *http.Request) bool {
	route := e.faults.RoutePrefix
	if route == "" {
		route = "/v1/chat/completions"
	}
	if e.faults.FailureRatio == 0 || !strings.HasPrefix(r.URL.Path, route) {
		return false
	}
	if len(e.batch)+len(e.queue) < e.faults.MinInFlight || e.rnd.Float64() >= e.faults.FailureRatio {
		return false
	}
	if id := r.Header.Get("X-Request-Id"); id != "" {
		e.runCounts[ident.RequestID(id)]++ // a failed call reached the engine all the same
	}
	return true
}

// crash loses all requests and the prefix cache. Runs and accepted orders stay, for tests to read.
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
