package direct

import (
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
)

// recordRate records the rate that a target states in an answer, or that it states none.
func (r *Router) recordRate(t fleet.Target, a Answer) {
	if a.Misdirected {
		return // another target has the address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	old, had := r.statedRates[t.ID]
	switch {
	case a.HasRate && (!had || old != a.Rate):
		r.statedRates[t.ID] = a.Rate
		r.log.Log(event.TargetRate, "target", t.ID, "service", t.Service, "rate", a.Rate)
	case !a.HasRate && had:
		delete(r.statedRates, t.ID)
		r.log.Log(event.TargetRateEnded, "target", t.ID, "service", t.Service)
	}
}
