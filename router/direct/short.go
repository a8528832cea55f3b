package direct

import (
	"runtime/metrics"
	"time"

	"hickoryvane.example/core/admit"
	"hickoryvane.example/core/event"
)

// observeResources passes the use of this router's resources in the last second to the admission; delay is the longest
// time by which the process ran late. The bandwidth of the machine is not known to the router. r.mu is held.
func (r *Router) observeResources(now time.Time, delay time.Duration) {
	s := admit.Sample{Delay: delay}
	if r.cfg.MemoryMB > 0 {
		m := []metrics.Sample{{Name: "/memory/classes/total:bytes"}, {Name: "/memory/classes/heap/released:bytes"}}
		metrics.Read(m)
		s.Memory = float64(m[0].Value.Uint64()-m[1].Value.Uint64()) / (r.cfg.MemoryMB * (1 << 20))
	}
	before := r.admission.Shortage()
	r.admission.Observe(now, s)
	if after := r.admission.Shortage(); after != before {
		r.logShortage(len(r.centrePeers(now)))
	}
}

// withdraw makes this router report not ready while it is short of a resource and enough others of its data centre are
// ready. Resting connections of callers are closed once the load balancer sends it no new ones. r.mu is held.
func (r *Router) withdraw(now time.Time) {
	peers := r.centrePeers(now)
	if on := r.admission.Withdraw(now, peers); on != r.withdrawn.Load() {
		r.withdrawn.Store(on)
		r.withdrawnAt, r.urgentHeartbeats = now, urgentHeartbeatsMax
		r.logShortage(len(peers))
	}
	r.callers.Release(r.withdrawn.Load() && now.Sub(r.withdrawnAt) >= rotationTime)
}

func (r *Router) logShortage(peers int) {
	r.log.Log(event.RouterShort, "resource", r.admission.Shortage(), "withdrawn", r.withdrawn.Load(), "near", peers)
}

// centrePeers returns the other routers of the own data centre and cell that may be running. One that was never heard may
// be of this data centre; r.mu is held.
func (r *Router) centrePeers(now time.Time) (out []admit.Peer) {
	for id, p := range r.peers {
		if p.otherCell || p.centre != "" && p.centre != r.cfg.Centre || now.Sub(p.lastSeen) >= peerTTL {
			continue
		}
		heard := p.up && now.Sub(p.lastSeen) < r.peerTimeout(p)
		out = append(out, admit.Peer{ID: id, Ready: heard && !p.readySince.IsZero(), Short: heard && p.short})
	}
	return out
}
