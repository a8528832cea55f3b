package direct

import (
	"context"
	"fmt"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/router/follow"
)

// Requests on trial; see package poison.

const (
	// trialPoll is the interval at which a request on trial asks for its turn.
	trialPoll = 20 * time.Millisecond
	// trialHeardSlack is the time that a heartbeat takes to other routers, with some delay.
	trialHeardSlack = 50 * time.Millisecond
	// trialRetryAfter is the time after which the caller of a request that was not tried may retry.
	trialRetryAfter = time.Second
)

// awaitTrial waits until a request may be sent. One that is on trial waits for its turn, for at most half of its time.
func (r *Router) awaitTrial(ctx context.Context, c *call) *fault.Error {
	end := time.Now().Add(time.Until(c.deadline) / 2)
	for {
		ok, f := r.beginTrial(time.Now(), c)
		switch {
		case ok || f != nil:
			return f
		case ctx.Err() != nil:
			return nil // the wait for a placement ends at once, too
		case time.Now().After(end):
			return trialRefusal("another request with this content is tried first")
		}
		follow.Pause(ctx, trialPoll)
	}
}

func trialRefusal(detail string) *fault.Error {
	return withRetryAfter(fault.NotRunf(fault.Trial, "targets crashed while requests with this content ran: %s", detail), trialRetryAfter)
}

// beginTrial reports whether a request may be sent now, or refuses it.
func (r *Router) beginTrial(now time.Time, c *call) (ok bool, f *fault.Error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if f = r.checkBlocked(now, c); f != nil || c.onTrial {
		return f == nil, f // it keeps its turn when its placement was released
	}
	t, onTrial := r.poison.Trial(now, c.features)
	if !onTrial {
		return true, nil
	}
	if n := r.pool(c.service).InUse(now); t.Refused(now, n) {
		return false, trialRefusal(fmt.Sprintf("it would run on the last target, %d in use", n))
	}
	ok, changed := r.docket.Begin(now, t, c.features, r.reportInterval(now)+trialHeardSlack)
	if changed {
		r.urgentHeartbeats = urgentHeartbeatsMax
	}
	if ok {
		c.onTrial = true
		r.log.Log(event.RequestOnTrial, "id", c.ID, "prints", t.Features, "since", now.Sub(t.Crashed).Milliseconds(), "waited", now.Sub(c.arrived).Milliseconds())
	}
	return ok, nil
}

// logTrials logs what was put on trial, and tells the other routers soon if it passed before; r.mu is held.
func (r *Router) logTrials(now time.Time) {
	for _, t := range r.poison.NewTrials(now) {
		var passed any = "never"
		if !t.Passed.IsZero() {
			passed = now.Sub(t.Passed).Milliseconds()
			r.urgentHeartbeats = urgentHeartbeatsMax
		}
		r.log.Log(event.RequestsOnTrial, "prints", t.Features, "targets", t.Targets, "since", now.Sub(t.Crashed).Milliseconds(), "passed", passed)
	}
}

// endTrial ends the trial of a request, if it was one, with the attempt a; nil if nothing was sent.
func (r *Router) endTrial(c *call, a *attempt) {
	if !c.onTrial {
		return
	}
	c.onTrial = false
	var after time.Duration
	if a != nil && a.result != notRun {
		after = poison.TimeToVerify(a.result == answerLost, a.silent(time.Now()))
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.docket.End(time.Now(), c.features, after)
	r.urgentHeartbeats = urgentHeartbeatsMax
}

// releaseIfOnTrial releases a placement if requests like this one are on trial since it waited for the placement, and
// reports whether it did.
func (r *Router) releaseIfOnTrial(c *call, d decision) bool {
	if c.onTrial || !r.needsTrial(c.features) {
		return false
	}
	r.log.Log(event.RequestUnsent, "id", c.ID, "target", d.target.ID)
	r.releasePlacement(c, d)
	return true
}

func (r *Router) needsTrial(features []ident.Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.poison.Trial(time.Now(), features)
	return ok
}
