package engine

import (
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Order is an order of the control plane.
type Command struct {
	// Verb is "load", "unload" or "role".
	Verb    string        `json:"verb"`
	Version ident.Version `json:"version"`
	// Value is the role, or the model or adapter to load.
	Argument string      `json:"value"`
	Fence    ident.Fence `json:"fence"`
	Issuer   string      `json:"issuer"`
}

func (e *Engine) postCommand(w http.ResponseWriter, r *http.Request) {
	var o Command
	if !reply.ReadJSON(w, r, &o) {
		return
	}
	if code, detail := e.acceptCommand(o); code != 0 {
		reply.Error(w, code, detail)
		return
	}
	if o.Verb == "load" {
		t := time.NewTimer(e.opts.loadDuration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done(): // loading goes on without the caller; it is applied at once here
		}
	}
	e.applyCommand(o)
	reply.JSON(w, http.StatusOK, o)
}

// take checks an order and records it if it is accepted; a code other than 0 is a refusal.
func (e *Engine) acceptCommand(o Command) (code int, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains([]string{"load", "unload", "role"}, o.Verb):
		return http.StatusBadRequest, "unknown verb"
	case len(e.opts.issuers) > 0 && !slices.Contains(e.opts.issuers, o.Issuer):
		return http.StatusForbidden, "unknown issuer"
	case e.opts.fenced && o.Fence < e.fence:
		return http.StatusConflict, "old fence"
	}
	e.fence = max(e.fence, o.Fence)
	e.commands = append(e.commands, o)
	return 0, ""
}

// apply puts an order into force. KV of another version cannot be used, so that a change of version empties the cache.
func (e *Engine) applyCommand(o Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.version
	switch {
	case o.Verb == "role":
		e.role = o.Argument
	case o.Verb == "load":
		e.version = o.Version
	case o.Version == e.version:
		e.version = ""
	}
	if e.version != old {
		e.prefix.clear()
	}
	e.recordLoad()
}

func (e *Engine) getCommands(w http.ResponseWriter, _ *http.Request) {
	e.mu.Lock()
	out := append([]Command{}, e.commands...)
	e.mu.Unlock()
	reply.JSON(w, http.StatusOK, out)
}
