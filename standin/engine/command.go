package engine

import (
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/standin/reply"
)

// Command is a command of the control plane.
type Command struct {
	// Verb is "load", "unload" or "role".
	Verb    string        `json:"verb"`
	Version ident.Version `json:"version"`
	// Argument is the role, or the model or adapter to load.
	Argument string `json:"value"`
	// Fence is the fencing token of the issuer's lease.
	Fence  ident.Fence `json:"fence"`
	Issuer string      `json:"issuer"`
}

func (e *Engine) postCommand(w http.ResponseWriter, r *http.Request) {
	var c Command
	if !reply.ReadJSON(w, r, &c) {
		return
	}
	if code, detail := e.acceptCommand(c); code != 0 {
		reply.Error(w, code, detail)
		return
	}
	if c.Verb == "load" {
		t := time.NewTimer(e.opts.loadDuration)
		defer t.Stop()
		select {
		case <-t.C:
		case <-r.Context().Done(): // loading continues without the client; here it is applied at once
		}
	}
	e.applyCommand(c)
	reply.JSON(w, http.StatusOK, c)
}

// acceptCommand checks a command and records it if it is accepted. A code other than 0 means that it was refused.
func (e *Engine) acceptCommand(c Command) (code int, detail string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case !slices.Contains([]string{"load", "unload", "role"}, c.Verb):
		return http.StatusBadRequest, "unknown verb"
	case len(e.opts.issuers) > 0 && !slices.Contains(e.opts.issuers, c.Issuer):
		return http.StatusForbidden, "unknown issuer"
	case e.opts.fenced && c.Fence < e.fence:
		return http.StatusConflict, "old fence"
	}
	e.fence = max(e.fence, c.Fence)
	e.commands = append(e.commands, c)
	return 0, ""
}

// applyCommand carries out a command. KV of another version cannot be used, so a change of version empties the cache.
// An unload of a version that is not loaded has no effect.
func (e *Engine) applyCommand(c Command) {
	e.mu.Lock()
	defer e.mu.Unlock()
	old := e.version
	switch {
	case c.Verb == "role":
		e.role = c.Argument
	case c.Verb == "load":
		e.version = c.Version
	case c.Version == e.version: // unload
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
