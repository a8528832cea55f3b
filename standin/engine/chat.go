package engine

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"

	"hickoryvane.example/core/chat"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// statusCancelled answers a request that was cancelled before its first token.
const statusCancelled = 499

func (e *Engine) postChat(w http.ResponseWriter, r *http.Request) {
	body, ok := reply.ReadBody(w, r)
	if !ok {
		return
	}
	req, err := chat.Parse(body)
	if err != nil {
		reply.Error(w, http.StatusBadRequest, err.Error())
		return
	}
	j, code, detail := e.accept(ident.RequestID(r.Header.Get("X-Request-Id")), req)
	switch {
	case code != 0:
		reply.Error(w, code, detail)
	case req.Stream:
		e.stream(w, r, j, 0)
	default:
		e.sendComplete(w, r, j)
	}
}

// accept queues a request; a code other than 0 is a refusal.
func (e *Engine) accept(id ident.RequestID, req chat.Request) (j *job, code int, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if id == "" {
		e.generatedIDs++
		id = ident.RequestID(fmt.Sprintf("local-%d", e.generatedIDs))
	}
	e.runCounts[id]++
	j = newJob(id, req)
	switch {
	case e.version == "":
		return nil, http.StatusServiceUnavailable, "no version is loaded"
	case j.reservedKV() > e.opts.kvTokens:
		return nil, http.StatusRequestEntityTooLarge, "request needs more than the whole KV memory"
	}
	e.arrivals++
	j.crashesEngine = e.faults.CrashMarker != "" && strings.Contains(string(req.Prompt()), e.faults.CrashMarker) ||
		e.arrivals == e.faults.CrashAtRequest
	e.requests[id] = j
	e.queue = append(e.queue, j)
	e.recordLoad()
	e.wakeLoop()
	return j, 0, ""
}

// stream sends the events of j after event number after. The request goes on when the caller leaves.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, j *job, after ident.Seq) {
	w.Header().Set("Content-Type", "text/event-stream")
	rc := http.NewResponseController(w)
	var buf []byte
	for next := after + 1; ; {
		ready, p, changed := e.progress(j)
		buf = buf[:0]
		for ; next <= ready; next++ {
			buf = j.event(next).Append(buf)
		}
		if len(buf) > 0 {
			if _, err := w.Write(buf); err != nil {
				return
			}
			_ = rc.Flush() // a writer without a connection need not flush
		}
		if endIfFinal(w, p) {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) sendComplete(w http.ResponseWriter, r *http.Request, j *job) {
	for {
		_, p, changed := e.progress(j)
		if p == finished {
			reply.JSON(w, http.StatusOK, j.complete())
			return
		}
		if endIfFinal(w, p) {
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

func (e *Engine) progress(j *job) (ready ident.Seq, p phase, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.eventsReady(), j.phase, j.changed
}

// done ends the answer of a request that makes no more progress.
func endIfFinal(w http.ResponseWriter, p phase) bool {
	switch p {
	case lost:
		reply.Abort(w)
	case cancelled:
		w.WriteHeader(statusCancelled) // no effect after the first event; the stream then ends without [DONE]
	}
	return p >= finished
}

func (e *Engine) postCancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	j := e.requests[ident.RequestID(r.PathValue("id"))]
	if j == nil {
		reply.Error(w, http.StatusNotFound, "no such request")
		return
	}
	stopped := !j.ended()
	if stopped {
		e.remove(j, cancelled)
		e.recordLoad()
		e.wakeLoop()
	}
	reply.JSON(w, http.StatusOK, map[string]bool{"cancelled": stopped})
}

func (e *Engine) getStream(w http.ResponseWriter, r *http.Request) {
	after := uint64(0)
	if s := r.URL.Query().Get("after"); s != "" {
		n, err := strconv.ParseUint(s, 10, 64)
		if err != nil {
			reply.Error(w, http.StatusBadRequest, "after is not a number")
			return
		}
		after = n
	}
	e.mu.Lock()
	j := e.requests[ident.RequestID(r.PathValue("id"))]
	e.mu.Unlock()
	if j == nil {
		reply.Error(w, http.StatusNotFound, "no such request")
		return
	}
	e.stream(w, r, j, ident.Seq(after))
}

func (e *Engine) getRuns(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, e.Runs())
}
