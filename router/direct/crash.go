package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// lossKeep is the time within which a target must be found down for a lost answer to count as a crash.
	lossKeep = 2 * time.Second
	// crashKeep is the time for which a crash is told to the other routers; crashesMax bounds their number.
	crashKeep  = 5 * time.Second
	crashesMax = 64
)

// loss is an answer that was lost on the way from a target.
type loss struct {
	print ident.Print
	at    time.Time
}

// crashSeen is a crash to tell the other routers of.
type crashSeen struct {
	print  ident.Print
	target ident.TargetID
	among  int
	at     time.Time
}

// suspect notes a lost answer. A target that breaks off an answer need not have crashed.
func (r *Router) suspect(c *call, v *visit) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch v.end {
	case lost:
		r.losses[v.target.ID] = append(r.losses[v.target.ID], loss{print: c.print, at: now})
	case delivered:
		r.guard.Finished(now, c.print)
		delete(r.losses, v.target.ID)
	}
}

// confirm turns the recent losses of a target that is down into crashes; r.mu is held.
func (r *Router) confirm(now time.Time, t ident.TargetID) {
	var prints []ident.Print
	for _, l := range r.losses[t] {
		if now.Sub(l.at) < lossKeep {
			prints = append(prints, l.print)
		}
	}
	delete(r.losses, t)
	if len(prints) == 0 {
		return
	}
	r.log.Log(event.Suspected, "target", t, "prints", prints, "among", len(prints))
	r.guard.Crashed(now, t, prints)
	r.urgent = true
	for _, p := range prints {
		if len(r.crashes) == crashesMax {
			r.crashes = r.crashes[1:]
		}
		r.crashes = append(r.crashes, crashSeen{print: p, target: t, among: len(prints), at: now})
	}
}

// told returns the recent crashes for a beacon; r.mu is held.
func (r *Router) told(now time.Time) (out []wire.HeartbeatFingerprint) {
	for _, c := range r.crashes {
		if age := now.Sub(c.at); age < crashKeep {
			out = append(out, wire.HeartbeatFingerprint{Fingerprint: c.print, Target: c.target, Running: c.among, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// heard takes in the crashes that another router saw; r.mu is held.
func (r *Router) heard(now time.Time, list []wire.HeartbeatFingerprint) {
	for _, c := range list {
		at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		r.guard.Merge(now, guard.Fact{Sort: guard.Crash, Print: c.Fingerprint, Target: c.Target, Among: c.Running, At: at})
	}
}
