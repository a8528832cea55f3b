package direct

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// statusPath is the path on the admin address at which a router lists its targets with their states.
const statusPath = "/status"

// targetStatus is the state of one target in the list.
type targetStatus struct {
	Target  ident.TargetID   `json:"target"`
	Service ident.Service    `json:"service"`
	Centre  ident.DataCentre `json:"centre"`
	Version ident.Version    `json:"version,omitempty"`
	State   string           `json:"state"`
	// Source tells where the state is known from, End what ends it, and Left the time until then in ms if that is known.
	Source avail.Source `json:"source,omitempty"`
	End    string       `json:"end,omitempty"`
	Left   int64        `json:"left,omitempty"`
}

// statusList is the answer to a request for the list.
type statusList struct {
	Router    ident.ProcessID    `json:"router"`
	Evacuated []ident.DataCentre `json:"evacuated"`
	Targets   []targetStatus     `json:"targets"`
}

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
	l := statusList{Router: r.cfg.Name, Evacuated: append([]ident.DataCentre{}, r.evacuated...), Targets: []targetStatus{}}
	for _, t := range r.ownTargets() {
		s := r.statusOf(now, t)
		v := targetStatus{Target: t.ID, Service: t.Service, Centre: t.Centre, Version: t.Version, State: s.State.String(), Source: s.Source, End: s.State.End()}
		if !s.Until.IsZero() {
			v.Left = s.Until.Sub(now).Milliseconds()
		}
		l.Targets = append(l.Targets, v)
	}
	r.mu.Unlock()
	slices.SortFunc(l.Targets, func(a, b targetStatus) int { return cmp.Compare(a.Target, b.Target) })
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(l) // the reader may have disconnected
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
