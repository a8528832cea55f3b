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

// statusCancelled is the status of a request that was cancelled before its first token.
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
	reply.EchoID(w, r)
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

// accept queues a request. A code other than 0 means that it was refused.
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

// stream sends the events of j that follow event number after. The request continues if the client disconnects.
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
			_ = rc.Flush() // w may not support flushing; a lost connection shows at the next write
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

// sendComplete answers a request that is not streamed, once it has finished.
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

// progress returns the number of events that can be sent, the phase, and a channel that is closed when either
// changes.
func (e *Engine) progress(j *job) (ready ident.Seq, p phase, changed <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return j.eventsReady(), j.phase, j.changed
}

// endIfFinal ends the answer of a request that makes no more progress, and reports whether it did.
func endIfFinal(w http.ResponseWriter, p phase) bool {
	switch p {
	case lost:
		reply.Abort(w)
	case cancelled:
		w.WriteHeader(statusCancelled) // has no effect after the first event: the stream then ends without [DONE]
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
	active := !j.ended()
	if active {
		e.remove(j, cancelled)
		e.recordLoad()
		e.wakeLoop()
	}
	reply.JSON(w, http.StatusOK, map[string]bool{"cancelled": active})
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
