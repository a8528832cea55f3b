package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/wire"
)

// reportedRate is what was last reported of a target that states a rate, and the first heartbeat that reported it.
type reportedRate struct {
	sched.Rate
	since ident.Seq
}

// recordRate records the rate that a target states in an answer, or that it states none.
func (r *Router) recordRate(t fleet.Target, a Answer) {
	if a.Misdirected {
		return // another target has the address
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.pool(t.Service).StateRate(time.Now(), t.ID, a.HasRate, a.Rate) {
		return
	}
	if a.HasRate {
		r.log.Log(event.TargetRate, "target", t.ID, "service", t.Service, "rate", a.Rate)
		return
	}
	r.log.Log(event.TargetRateEnded, "target", t.ID, "service", t.Service)
}

// addRates adds the rates that changed within the last heartbeats, or all; r.mu is held.
func (r *Router) addRates(now time.Time, m *wire.Heartbeat, rates []sched.Rate, all bool) {
	for _, v := range rates {
		u, ok := r.reportedRates[v.Target]
		if !ok || u.PerSecond != v.PerSecond || u.Sent != v.Sent {
			u = reportedRate{Rate: v, since: m.Seq}
			r.reportedRates[v.Target] = u
		}
		if all || m.Seq < u.since+usageRepeats {
			m.Rates = append(m.Rates, wire.HeartbeatRate{Target: wire.KeyOf(v.Target), MilliPerSecond: int64(v.PerSecond * 1000), AgeMillis: now.Sub(v.At).Milliseconds(), Sent: v.Sent})
		}
	}
}

// ratesOf returns the rates in a heartbeat, by service; r.mu is held.
func (r *Router) ratesOf(now time.Time, b *wire.Heartbeat) map[ident.Service][]sched.Rate {
	out := map[ident.Service][]sched.Rate{}
	for _, v := range b.Rates {
		if t, ok := r.targets[r.targetKeys[v.Target]]; ok {
			at := now.Add(-time.Duration(v.AgeMillis) * time.Millisecond)
			out[t.Service] = append(out[t.Service], sched.Rate{Target: t.ID, PerSecond: float64(v.MilliPerSecond) / 1000, At: at, Sent: v.Sent})
		}
	}
	return out
}
