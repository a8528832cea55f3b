package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/wire"
)

// recordStatements records what a target states about itself in an answer to the request c or to an earlier one on the
// same connection.
func (r *Router) recordStatements(c *call, t fleet.Target, a Answer) {
	if a.Misdirected {
		return // another target has the address
	}
	r.recordPause(c, t, a)
	r.recordCold(t, a)
	if !a.Leaving {
		return
	}
	now := time.Now()
	r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
		events := f.Announce(now, fleet.Announcement{Target: t.ID, Boot: t.Boot, At: now})
		if len(events) > 0 {
			r.urgentHeartbeats = urgentHeartbeatsMax
		}
		return events
	}, "source", "answer", "id", c.ID)
}

// recordPause records that a target asks for time, or that it states a time that cannot be used.
func (r *Router) recordPause(c *call, t fleet.Target, a Answer) {
	if a.OddPause != "" {
		r.log.Log(event.TargetTimeIgnored, "target", t.ID, "service", t.Service, "id", c.ID, "value", a.OddPause)
	}
	if a.Pause <= 0 {
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pool(t.Service)
	until, ok := p.Pause(now, t.ID, a.Pause)
	if ok {
		r.log.Log(event.TargetAsksForTime, "target", t.ID, "service", t.Service, "id", c.ID, "asked", a.Pause, "until", until.Sub(now), "paused", p.Paused(now))
		r.schedule(now, p)
	}
}

// untilTargetResumes returns the time after which a target takes the request again; zero if one does now.
func (r *Router) untilTargetResumes(c *call) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pool(c.service).RetryAfterPauses(time.Now(), c.job.Homes)
}

// releaseIfClosed releases a placement if its target takes no more requests since, and reports whether it did.
func (r *Router) releaseIfClosed(c *call, d decision) bool {
	r.mu.Lock()
	accepts := r.pool(c.service).Accepts(time.Now(), d.target.ID)
	r.mu.Unlock()
	if accepts {
		return false
	}
	r.log.Log(event.RequestUnsent, "id", c.ID, "target", d.target.ID)
	r.releasePlacement(c, d)
	return true
}

// addAnnouncements adds the targets that announced that they leave; r.mu is held.
func (r *Router) addAnnouncements(now time.Time, m *wire.Heartbeat) {
	rare := (uint64(m.Seq)+rankOf(r.cfg.Name))%levelsEvery == 0
	for _, a := range r.fleet.Announcements(now) {
		if age := now.Sub(a.At); age < announcementGossipOften || rare {
			m.Leaving = append(m.Leaving, wire.HeartbeatLeaving{Target: a.Target, Boot: a.Boot, AgeMillis: age.Milliseconds()})
		}
	}
}

// announcementGossipOften is the time for which an announcement is in every heartbeat; later it is in some.
const announcementGossipOften = time.Second

// mergeAnnouncements applies what another router knows of targets that leave; r.mu is held.
func (r *Router) mergeAnnouncements(now time.Time, b *wire.Heartbeat) {
	for _, l := range b.Leaving {
		at := now.Add(-time.Duration(l.AgeMillis) * time.Millisecond)
		events := r.fleet.Announce(now, fleet.Announcement{Target: l.Target, Boot: l.Boot, At: at})
		r.applyFleetEvents(events)
		r.logFleetEvents(events, "source", "peer", "peer", b.Process)
	}
}
