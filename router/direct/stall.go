package direct

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/sched"
)

// The watch over a request that may be repeated and go on at another target; package sched decides when it does. A silent
// target is left only for one that has a free slot now, as long as the route allows one more run and the retry budget a
// further target in case that one refuses the request; otherwise the answer goes on however slow it is. Only complete
// events count as progress.

// spareRetries are the retries that are reserved beside the one to the next target.
const spareRetries = 1

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
	ctx     context.Context
	cancel  context.CancelFunc
	shared  *targetActivity
	enabled bool

	// mu guards the fields below.
	mu      sync.Mutex
	stopped bool
	timer   *time.Timer
	stall   *sched.Stall
	next    *decision
}

// watchStall watches an attempt until stop; it does nothing if the request may not run once more.
func (r *Router) watchStall(ctx context.Context, cancel context.CancelFunc, c *call, t fleet.Target, prog *progress) *stallWatch {
	s := &stallWatch{r: r, c: c, target: t, ctx: ctx, cancel: cancel, shared: r.activityOf(t)}
	s.enabled = c.route.Repeatable() && prog.runs+1 < c.route.Attempts && prog.placements < placementsMax
	if s.enabled {
		now := time.Now()
		s.stall = sched.NewStall(now, c.route, c.job, prog.started)
		_, again := s.stall.Next(now, now)
		s.mu.Lock() // check may run before AfterFunc returns
		defer s.mu.Unlock()
		s.timer = time.AfterFunc(again, s.check)
	}
	return s
}

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
	s.stall.RecordEvent()
}

// recordWritten records that the last event was written to the caller, who may read slowly.
func (s *stallWatch) recordWritten(now time.Time) {
	if !s.enabled {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stall.RecordWritten(now)
}

// check reserves a slot at another target and ends the attempt if the target is stalled.
func (s *stallWatch) check() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for !s.stopped {
		now := time.Now()
		step, again := s.stall.Next(now, time.Unix(0, s.shared.lastEvent.Load()))
		if step == sched.StallAsk {
			s.askState()
			continue
		}
		if step == sched.StallLeave {
			if d, ok := s.r.placeElsewhere(now, s.c, s.target); ok {
				s.next, s.stopped = &d, true
				s.cancel()
				return
			}
		}
		s.timer.Reset(again)
		return
	}
}

// askState asks the target for its state; s.mu is held, but not meanwhile.
func (s *stallWatch) askState() {
	s.mu.Unlock()
	state, err := s.r.states.Ask(s.ctx, s.target.Address, sched.StallAskTime)
	s.mu.Lock()
	if s.stopped {
		return
	}
	now := time.Now()
	s.stall.RecordState(now, state)
	fields := []any{"id", s.c.ID, "target", s.target.ID, "silence", s.stall.Silence(now).Milliseconds()}
	switch {
	case err != nil:
		fields = append(fields, "error", err)
	case state.Known:
		fields = append(fields, "waiting", state.Waiting, "free", state.Free)
	}
	s.r.log.Log(event.SilentTargetAsked, fields...)
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
