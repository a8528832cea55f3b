package direct

import (
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// statusPath is the path on the admin address at which a router lists its targets with their states.
const statusPath = "/status"

// ownTargets returns the targets that the routers of this cell use; r.mu is held.
func (r *Router) ownTargets() (out []fleet.Target) {
	for _, t := range r.targets {
		if r.cell.Contains(t.ID, r.targetCounts[t.Service]) {
			out = append(out, t)
		}
	}
	return out
}

// statusOf returns the state of a target; r.mu is held. A target whose version is not in use is a canary that gets nothing.
func (r *Router) statusOf(now time.Time, t fleet.Target) avail.Status {
	if s, ok := r.pool(t.Service).Status(now, t.ID); ok && (t.Leaving || r.usable(t)) {
		return s
	}
	f := avail.Facts{Leaving: t.Leaving, Evacuated: slices.Contains(r.evacuated, t.Centre), Canary: true}
	return f.Status(now)
}

// serveStatus serves the list of targets.
func (r *Router) serveStatus(w http.ResponseWriter, _ *http.Request) {
	now := time.Now()
	r.mu.Lock()
	l := avail.List{Router: r.cfg.Name, Evacuated: append([]ident.DataCentre{}, r.evacuated...), Targets: []avail.Entry{}}
	for _, t := range r.ownTargets() {
		l.Add(now, avail.Entry{Target: t.ID, Service: t.Service, Centre: t.Centre, Version: t.Version}, r.statusOf(now, t))
	}
	r.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = l.Encode(w) // the reader may have disconnected
}

// recordTargets records for the metrics how many targets are in which state; r.mu is held.
func (r *Router) recordTargets(now time.Time) {
	counts := map[ident.Service]map[avail.State]int{}
	for s := range r.pools {
		counts[s] = map[avail.State]int{}
	}
	for _, t := range r.ownTargets() {
		if m := counts[t.Service]; m != nil {
			m[r.statusOf(now, t).State]++
		}
	}
	for s, m := range counts {
		for _, state := range avail.States() {
			r.meter.RecordTargets(s, state.String(), m[state])
		}
	}
}
