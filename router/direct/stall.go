package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
)

// When a request that may be repeated goes on at another target because its target is silent.
//
// Load pattern: targets that hang, or send bytes without ever completing an event, beside targets that are slow
// because they are full, and sound ones that fall silent for a while and go on. A silent target is left only for one that
// has a free slot now, as long as the route allows one more run and the retry budget a further target in case that one
// refuses the request; otherwise the answer goes on however slow it is. Only complete events count as progress. A target
// that sends events of other requests is slow rather than stalled, and gets twice the time.

const (
	// stallGoalFactor is the silence after which a stream is stalled, as a multiple of the goal of the route.
	stallGoalFactor = 3
	// plainStallFactor is the same for plain calls, whose callers have the whole answer or nothing.
	plainStallFactor = 1.5
	// busyStallFactor lengthens the time if the target sends events of other requests.
	busyStallFactor = 2
	// spareRetries are the retries that are reserved beside the one to the next target.
	spareRetries = 1
	// stallRetry is the pause after which a stalled request looks for another target again.
	stallRetry = 50 * time.Millisecond
)

// targetActivity tells what this router received from a target.
type targetActivity struct {
	// lastEvent and lastAnswer are the times of the last event and of the last head of an answer, in Unix nanoseconds.
	lastEvent, lastAnswer atomic.Int64
	// suspected is true if the target left requests without an answer and has sent nothing since.
	suspected atomic.Bool
}

// silentSince reports whether the target has sent nothing since a time.
func (a *targetActivity) silentSince(t time.Time) bool {
	return max(a.lastEvent.Load(), a.lastAnswer.Load()) < t.UnixNano()
}

// stallWatch ends an attempt whose target is stalled once another target can take the request.
type stallWatch struct {
	r       *Router
	c       *call
	target  fleet.Target
	cancel  context.CancelFunc
	shared  *targetActivity
	enabled bool

	// mu guards the fields below.
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	// timeout is the silence after which the target is stalled; lastEvent is the time of the last event, or the
	// time at which the request was sent.
	timeout   time.Duration
	lastEvent time.Time
	// started is true once the target has sent an event of this request, writing while it is written to the caller.
	started, writing bool
	next             *decision
}

// watchStall watches an attempt until stop; it does nothing if the request may not run once more.
func (r *Router) watchStall(c *call, t fleet.Target, prog *progress, cancel context.CancelFunc) *stallWatch {
	s := &stallWatch{r: r, c: c, target: t, cancel: cancel, lastEvent: time.Now(), shared: r.activityOf(t)}
	s.enabled = c.route.Repeatable() && prog.runs+1 < c.route.Attempts && prog.placements < placementsMax
	if s.enabled {
		s.timeout = stallTimeout(c.route, prog.started)
		s.mu.Lock() // check may run before AfterFunc returns
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(s.timeout, s.check)
	}
	return s
}

// stallTimeout returns the silence after which a target is stalled. started is true once a part of the answer was
// forwarded.
func stallTimeout(rt *route.Route, started bool) time.Duration {
	switch {
	case rt.Kind != route.Stream:
		return max(time.Duration(plainStallFactor*float64(rt.FirstEventGoal)), minPlainStall)
	case started:
		return max(sched.SoundSilence, stallGoalFactor*rt.EventGapGoal)
	}
	return max(sched.SoundSilence, stallGoalFactor*rt.FirstEventGoal)
}

// minPlainStall is the shortest silence after which a plain call is stalled, above the usual time of a call.
const minPlainStall = 200 * time.Millisecond

// activityOf returns the activity of a target, which it creates if needed.
func (r *Router) activityOf(t fleet.Target) *targetActivity {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.activity[t.ID]
	if !ok {
		a = &targetActivity{}
		r.activity[t.ID] = a
	}
	return a
}

// recordEvent records an event of the request. Time does not count as silence until recordWritten.
func (s *stallWatch) recordEvent(now time.Time) {
	s.shared.lastEvent.Store(now.UnixNano())
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started, s.writing = true, true
	s.timeout = stallTimeout(s.c.route, true)
}

// recordWritten records that the last event was written to the caller, who may read slowly.
func (s *stallWatch) recordWritten(now time.Time) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastEvent, s.writing = now, false
}

// check reserves a slot at another target and ends the attempt if the target is stalled.
func (s *stallWatch) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopped {
		return
	}
	if s.writing {
		s.timer.Reset(stallRetry)
		return
	}
	now := time.Now()
	if d := s.allowedSilence() - now.Sub(s.lastEvent); d > 0 {
		s.timer.Reset(d)
		return
	}
	if d, ok := s.r.placeElsewhere(now, s.c, s.target); ok {
		s.next, s.stopped = &d, true
		s.cancel()
		return
	}
	s.timer.Reset(stallRetry)
}

// allowedSilence returns the silence that is allowed now; s.mu is held.
func (s *stallWatch) allowedSilence() time.Duration {
	last := time.Unix(0, s.shared.lastEvent.Load())
	if s.started && last.Sub(s.lastEvent) > s.timeout/2 {
		return busyStallFactor * s.timeout
	}
	return s.timeout
}

// stop ends the watch and returns the placement that it reserved, if any.
func (s *stallWatch) stop() *decision {
	if !s.enabled {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stopped = true
	s.timer.Stop()
	return s.next
}

// placeElsewhere places a running request on another target that has a free slot, if the retry budget allows it.
func (r *Router) placeElsewhere(now time.Time, c *call, t fleet.Target) (d decision, ok bool) {
	r.mu.Lock()
	p := r.pool(c.service)
	d.placement, ok = p.PlaceElsewhere(now, c.job, t.ID)
	d.target = r.targets[d.placement.Target]
	r.mu.Unlock()
	if ok && !r.reserveRetries(now, c.service, 1+spareRetries) {
		r.releasePlacement(c, d)
		return decision{}, false
	}
	d.spareRetries = spareRetries
	return d, ok
}

// releasePlacement frees the slot of a placement to which nothing was sent.
func (r *Router) releasePlacement(c *call, d decision) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, p := time.Now(), r.pool(c.service)
	p.Release(now, d.target.ID, c.job)
	r.schedule(now, p)
}
