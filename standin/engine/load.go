package engine

import (
	"net/http"
	"strconv"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Load is the state that an engine reports.
type Load struct {
	// Running and Waiting count requests; Left counts their tokens still to be processed or produced.
	Running int          `json:"running"`
	Waiting int          `json:"waiting"`
	Left    ident.Tokens `json:"left"`
	// Used and Size are KV memory in tokens.
	Used    ident.Tokens  `json:"used"`
	Size    ident.Tokens  `json:"size"`
	Version ident.Version `json:"version"`
	Role    string        `json:"role"`
}

type stamped struct {
	load Load
	at   time.Time
}

func (e *Engine) load() Load {
	l := Load{
		Running: len(e.batch), Waiting: len(e.queue),
		Used: e.used, Size: e.o.memory, Version: e.version, Role: e.role,
	}
	for _, js := range [][]*job{e.batch, e.queue} {
		for _, j := range js {
			l.Left += j.left + j.limit - j.made
		}
	}
	return l
}

// report records the present load and forgets the ones that no reader can see any more.
func (e *Engine) report() {
	now := time.Now()
	e.loads = append(e.loads, stamped{e.load(), now})
	e.prune(now)
}

func (e *Engine) prune(now time.Time) {
	for len(e.loads) > 1 && !e.loads[1].at.After(now.Add(-e.o.lag)) {
		e.loads = e.loads[1:]
	}
}

func (e *Engine) getLoad(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	e.prune(time.Now())
	l := e.loads[0].load
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
	events := e.prefix.after(ident.Seq(after), time.Now().Add(-e.o.lag))
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, events)
}

func (e *Engine) getAll(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	c := e.prefix.all()
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, c)
}

func (e *Engine) getHealth(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, map[string]string{"status": "ok"})
}
