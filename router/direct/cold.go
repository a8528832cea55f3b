package direct

import (
	"io"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/wire"
)

// updateColdLimits sets the limits of cold targets of a service; r.mu is held.
func (r *Router) updateColdLimits(s ident.Service, p *sched.Pool) {
	l := sched.ColdLimits{Overage: r.cfg.ColdRatio, Slack: r.cfg.ExtraColdRequests}
	if table := r.table.Load(); table != nil {
		l.Time, l.Rate = table.Services[s].ColdTime, table.Services[s].ColdRate
	}
	p.SetColdLimits(l)
	r.updateSenders()
}

// updateSenders tells the pools which other routers may send to the targets of this cell; r.mu is held. Those that are
// silent may be cut off from this router only.
func (r *Router) updateSenders() {
	others := make([]ident.ProcessID, 0, len(r.peers))
	for id, p := range r.peers {
		if !p.otherCell && id != r.cfg.Name {
			others = append(others, id)
		}
	}
	for _, p := range r.pools {
		p.SetRouters(others, r.routersListed)
	}
}

// markCold records that a target that is up may be cold; r.mu is held. Those of the first list are warm unless they say
// otherwise. The start of the process that a registration states is on another clock and is not used.
func (r *Router) markCold(now time.Time, e fleet.Event, p *sched.Pool) {
	if !e.Cold {
		return
	}
	d, table := e.Target.ColdRemaining, r.table.Load()
	if table != nil && r.targetsListed.Load() {
		d = max(d, table.Services[e.Target.Service].ColdTime)
	}
	if p.MarkCold(now, e.Target.ID, d, avail.FromRegistration) {
		r.log.Log(event.TargetCold, "target", e.Target.ID, "service", e.Target.Service, "for", d, "source", avail.FromRegistration)
	}
}

// recordCold records that a target states in an answer that it is cold.
func (r *Router) recordCold(t fleet.Target, a Answer) {
	if a.Cold <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.pool(t.Service).MarkCold(time.Now(), t.ID, a.Cold, avail.FromAnswer) {
		r.log.Log(event.TargetCold, "target", t.ID, "service", t.Service, "for", a.Cold, "source", avail.FromAnswer)
	}
}

// isConnectionEnd reports whether an error is the end of a connection, which may be that of the target's process.
func isConnectionEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// addCold adds the cold targets of a service to a heartbeat.
func addCold(m *wire.Heartbeat, cold []sched.Cold) {
	for _, c := range cold {
		m.Cold = append(m.Cold, wire.HeartbeatCold{Target: wire.KeyOf(c.Target), LeftMillis: c.Left.Milliseconds(), RestartAgeMillis: c.RestartAge.Milliseconds(), RestartLeftMillis: c.RestartLeft.Milliseconds(), Answered: c.Answered, AnsweredAgeMillis: c.AnsweredAge.Milliseconds()})
	}
}

// coldOf returns the cold targets in a heartbeat, by service; r.mu is held.
func (r *Router) coldOf(b *wire.Heartbeat) map[ident.Service][]sched.Cold {
	out := map[ident.Service][]sched.Cold{}
	for _, c := range b.Cold {
		if t, ok := r.targets[r.targetKeys[c.Target]]; ok {
			out[t.Service] = append(out[t.Service], sched.Cold{
				Target: t.ID, Left: time.Duration(c.LeftMillis) * time.Millisecond,
				RestartAge: time.Duration(c.RestartAgeMillis) * time.Millisecond, RestartLeft: time.Duration(c.RestartLeftMillis) * time.Millisecond,
				Answered: c.Answered, AnsweredAge: time.Duration(c.AnsweredAgeMillis) * time.Millisecond,
			})
		}
	}
	return out
}
