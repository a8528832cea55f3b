// Package vmapi is a stand-in for the platform's list of VMs.
package vmapi

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/vmlist"
	"hickoryvane.example/standin/reply"
)

// Gone is the state that removes a VM from the list; it is never shown.
const Removed vmlist.State = "gone"

// Faults are the test switches.
type Faults struct {
	// Outage answers reads with status 503.
	Outage bool `json:"outage"`
	// Lag is the delay of changes in milliseconds; it applies to changes made before as well.
	LagMillis int64 `json:"lag"`
}

type listVersion struct {
	vms map[ident.ProcessID]vmlist.VM
	at  time.Time
}

// API is a http.Handler.
type API struct {
	mux *http.ServeMux

	mu sync.Mutex
	// past holds all states of the list, the oldest first; tests make few changes.
	history []listVersion
	faults  Faults
}

// New returns a list that shows changes after lag; vms are shown from the start.
func New(lag time.Duration, vms ...vmlist.VM) *API {
	a := &API{mux: http.NewServeMux(), faults: Faults{LagMillis: lag.Milliseconds()}}
	a.history = []listVersion{{vms: applyChanges(nil, vms)}}
	a.mux.HandleFunc("GET /vms", a.getVMs)
	a.mux.HandleFunc("POST /vms", a.postVMs)
	a.mux.HandleFunc("POST /faults", a.postFaults)
	return a
}

// ServeHTTP implements http.Handler.
func (a *API) ServeHTTP(w http.ResponseWriter, r *http.Request) { a.mux.ServeHTTP(w, r) }

// Change adds or replaces entries by name; entries in the state Gone are removed.
func (a *API) Change(vms ...vmlist.VM) {
	a.mu.Lock()
	defer a.mu.Unlock()
	last := a.history[len(a.history)-1].vms
	a.history = append(a.history, listVersion{applyChanges(last, vms), time.Now()})
}

func applyChanges(old map[ident.ProcessID]vmlist.VM, vms []vmlist.VM) map[ident.ProcessID]vmlist.VM {
	out := map[ident.ProcessID]vmlist.VM{}
	maps.Copy(out, old)
	for _, v := range vms {
		if v.State == Removed {
			delete(out, v.Name)
		} else {
			out[v.Name] = v
		}
	}
	return out
}

// shown returns the list as it was one lag ago; ok is false during an outage.
func (a *API) visible() (vms []vmlist.VM, ok bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	limit := time.Now().Add(-time.Duration(a.faults.LagMillis) * time.Millisecond)
	i := len(a.history) - 1
	for i > 0 && a.history[i].at.After(limit) {
		i--
	}
	vms = slices.SortedFunc(maps.Values(a.history[i].vms), func(x, y vmlist.VM) int { return cmp.Compare(x.Name, y.Name) })
	return vms, !a.faults.Outage
}

func (a *API) getVMs(w http.ResponseWriter, _ *http.Request) {
	vms, ok := a.visible()
	if !ok {
		reply.Error(w, http.StatusServiceUnavailable, "outage as ordered")
		return
	}
	if vms == nil {
		vms = []vmlist.VM{}
	}
	reply.JSON(w, http.StatusOK, vms)
}

func (a *API) postVMs(w http.ResponseWriter, r *http.Request) {
	var vms []vmlist.VM
	if reply.ReadJSON(w, r, &vms) {
		a.Change(vms...)
		reply.JSON(w, http.StatusOK, vms)
	}
}

func (a *API) postFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if !reply.ReadJSON(w, r, &f) {
		return
	}
	a.mu.Lock()
	a.faults = f
	a.mu.Unlock()
	reply.JSON(w, http.StatusOK, f)
}
