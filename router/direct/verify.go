package direct

import (
	"context"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/router/dial"
	"hickoryvane.example/router/follow"
)

// Whether a target that lost an answer has crashed.
//
// A target that refuses connections right after it lost an answer is down. Without a check, that is found out only
// when another request goes there, which may be seconds later or never.

const (
	// verifyWorkers is the number of targets that are checked at a time; verifyWaitingMax limits those that wait.
	verifyWorkers    = 4
	verifyWaitingMax = 256
	// verifyDelay is the time in which the other answers that a crashed target lost are noticed, too.
	verifyDelay = 10 * time.Millisecond
)

// requestVerify asks for a check of a target that lost an answer.
func (r *Router) requestVerify(t fleet.Target) {
	select {
	case r.toVerify <- t:
	default: // many targets lose answers at once; the next request to this one finds out
	}
}

// verifyTargets checks targets until ctx ends.
func (r *Router) verifyTargets(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case t := <-r.toVerify:
			r.verifyTarget(ctx, t)
		}
	}
}

// verifyTarget opens a connection to a target. One that refuses it is down; one that accepts it has not crashed, and
// the connection is kept for the next request.
func (r *Router) verifyTarget(ctx context.Context, t fleet.Target) {
	follow.Pause(ctx, verifyDelay)
	began := time.Now()
	r.mu.Lock()
	pending := len(r.lostAnswers[t.ID]) > 0
	r.mu.Unlock()
	if !pending {
		return // decided by an earlier check
	}
	k, err := dial.Dial(ctx, t.Address)
	if err == nil {
		r.conns.Put(k, nil)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch {
	case err == nil:
		r.pool(t.Service).Accepted(now, t.ID)
		r.forgetLostAnswers(t.ID, func(l lostAnswer) bool { return !l.silent && l.at.Before(began) })
	case errors.Is(err, syscall.ECONNREFUSED):
		p := r.pool(t.Service)
		p.MarkDown(now, t.ID)
		r.confirmCrashes(now, t.ID)
		r.schedule(now, p)
	}
}
