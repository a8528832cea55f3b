package direct

import (
	"context"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/router/follow"
)

const (
	// stateWritesMax limits the states that wait to be written.
	stateWritesMax = 8
	// writeRankDelay is the time that a router leaves to each router ranked before it to write a state, a few
	// times the duration of a write.
	writeRankDelay = 60 * time.Millisecond
	// stateWriteRetry is the pause before a state that was not recorded is written again.
	stateWriteRetry = 500 * time.Millisecond
	// retireDelay is the time after a finished rollout from which all versions are treated alike: the old
	// targets have stopped by then, and their registrations have expired.
	retireDelay = 5 * time.Second
	// rolloutListTimeout limits the time for which the first list of targets waits for the rollout requests.
	rolloutListTimeout = time.Second
	// endedEarlyMargin is the time before the deadline up to which a recorded rollback cannot be due to the deadline.
	endedEarlyMargin = time.Second
	// relistRetry is the pause after a failed attempt to list the rollout requests.
	relistRetry = 200 * time.Millisecond
)

// rollout is the rollout of a version of a service.
type rollout struct {
	*moves.ShortRollout
	// earlier is the rollout that this one replaced.
	earlier pastRollout
	// object is the rollout request as last read; empty while it is known from other routers only.
	object store.Object
	// warmAt holds the time from which each target of the new version is warm.
	warmAt map[ident.TargetID]time.Time
	// pendingState is the state that is to be written, and pendingFrom the time from which the delay by rank
	// counts: when the state became due, or the time of the next retry.
	pendingState moves.State
	pendingFrom  time.Time
	// canaryOnly is true if the targets of the new version took only canary requests when the pool was last
	// updated.
	canaryOnly bool
	// badReported is true once a log line and a heartbeat have reported that the new version is bad.
	badReported bool
	// lossReported is true once a log line has reported that a final state is written again.
	lossReported bool
	// endedAt is the time at which this router learnt of the conclusion; withdrawn is true once the rollout
	// request was deleted.
	endedAt   time.Time
	withdrawn bool
}

// pastRollout is a rollout that was done or replaced, and the revision of its object then.
type pastRollout struct {
	request moves.Request
	rev     store.Rev
}

// canaryOnly reports whether a target gets canary requests only; r.mu is held.
func (r *Router) canaryOnly(t fleet.Target) bool {
	m, ok := r.rollouts[t.Service]
	return ok && m.CanaryOnly(t.Version)
}

// rolloutHandler handles rollout requests.
func (r *Router) rolloutHandler() follow.Handler {
	return follow.Handler{
		Kind:   r.catalogue.RolloutKind(),
		OnList: r.applyRolloutList,
		OnChange: func(c store.Change) {
			if c.Deleted {
				r.withdrawRollout(ident.Service(c.Object.Name))
				return
			}
			r.applyRollout(c.Object, "")
		},
	}
}

// applyRolloutList applies a list of rollout requests.
func (r *Router) applyRolloutList(l []store.Object, _ store.Rev) {
	for _, o := range l {
		r.applyRollout(o, "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.rolloutsListed:
	default:
		close(r.rolloutsListed)
	}
}

// awaitRolloutList waits until the rollout requests were read, so that a new process does not treat a canary
// version as one in use.
func (r *Router) awaitRolloutList() {
	t := time.NewTimer(rolloutListTimeout)
	defer t.Stop()
	select {
	case <-r.rolloutsListed:
	case <-t.C:
	}
}

// relistRollouts lists the rollout requests when an unknown version was seen. The watch would report them as
// well, but it may have stalled.
func (r *Router) relistRollouts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.relist:
		}
		for ctx.Err() == nil {
			began := time.Now()
			l, rev, err := r.store.List(ctx, r.catalogue.RolloutKind())
			if err == nil {
				r.applyRolloutList(l, rev)
				r.verifyVersions(began)
				break
			}
			r.log.Log(event.StoreDown, "sort", r.catalogue.RolloutKind(), "error", err)
			follow.Pause(ctx, relistRetry)
		}
	}
}

// applyRollout applies a rollout request. peer is the router that sent it, whose copy may be outdated; it is
// empty if the request was read from the store.
func (r *Router) applyRollout(o store.Object, peer string) {
	req, state, err := r.catalogue.DecodeRollout(o)
	if err != nil {
		r.log.Log(event.RolloutRequestInvalid, "move", o.Name, "rev", o.Rev, "error", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[req.Service]
	known := store.Rev("")
	if ok {
		known = m.object.Rev
	}
	replaced := ok && (m.Request() != req || state == "" && m.withdrawn && !fromCopy(known, o.Rev))
	finished, done := r.finished[req.Service]
	done = done && finished.request == req && store.Restored(finished.rev, o.Rev)
	switch {
	case ok && store.Before(o.Rev, known):
		return // older than the object that is known
	case ok && peer != "" && (replaced || state == "" || state == moves.Running):
		return
	case !ok && state == moves.Done:
		if peer == "" && !fromCopy(finished.rev, o.Rev) && !store.Before(o.Rev, finished.rev) {
			r.finished[req.Service] = pastRollout{req, o.Rev}
		}
		return
	case !ok && done:
		m = r.resumeFinished(now, req)
	case replaced && (done && fromCopy(finished.rev, o.Rev) || m.earlier.request == req && fromCopy(m.earlier.rev, o.Rev)):
		return // the request that replaced it comes again
	case !ok || replaced:
		m = r.startRollout(now, req, peer)
	}
	m.object = o
	if peer == "" && store.Restored(known, o.Rev) && (state == "" || state == moves.Running) {
		m.SetLost()
		m.lossReported = false
	}
	r.applyState(now, m, state)
	r.updatePool(req.Service)
}

// fromCopy reports whether an object of a restored store may be no newer than a version that was known before.
func fromCopy(known, found store.Rev) bool {
	_, a, _ := known.Split()
	_, b, _ := found.Split()
	return store.Restored(known, found) && b <= a
}

// newRollout returns a rollout that has not begun.
func (r *Router) newRollout(now time.Time, req moves.Request) *rollout {
	limit := moves.ExposureLimit{Share: r.cfg.ExposureRatio, ExtraRequests: r.cfg.ExtraExposedRequests}
	return &rollout{ShortRollout: moves.NewShortRollout(now, req, limit), warmAt: map[ident.TargetID]time.Time{}}
}

// resumeFinished returns a rollout that is done and whose state the store has lost; r.mu is held.
func (r *Router) resumeFinished(now time.Time, req moves.Request) *rollout {
	m := r.newRollout(now, req)
	m.SetRecorded(moves.Done)
	m.SetLost()
	m.endedAt = now
	r.rollouts[req.Service] = m
	return m
}

// startRollout starts a rollout; r.mu is held.
func (r *Router) startRollout(now time.Time, req moves.Request, peer string) *rollout {
	m := r.newRollout(now, req)
	if old, ok := r.rollouts[req.Service]; ok {
		m.earlier = pastRollout{old.Request(), old.object.Rev}
		if old.State() == moves.Done {
			r.finished[req.Service] = m.earlier
		}
	}
	m.canaryOnly = true
	r.rollouts[req.Service] = m
	delete(r.versions[req.Service], req.To)
	for _, t := range r.targets {
		if t.Service == req.Service && t.Version == req.To {
			m.warmAt[t.ID] = now.Add(t.ColdRemaining)
		}
	}
	r.log.Log(event.RolloutRequested, "service", req.Service, "version", req.To, "length", req.Duration, "expose", r.cfg.ExposureRatio, "leeway", r.cfg.ExtraExposedRequests, "peer", peer)
	return m
}

// applyState applies the state that the store holds, and logs the conclusion of the rollout; r.mu is held.
func (r *Router) applyState(now time.Time, m *rollout, s moves.State) {
	if m.State() != moves.Running {
		if s == m.State() {
			m.SetRecorded(s)
		}
		return
	}
	if s == "" {
		return
	}
	m.SetRecorded(s)
	if m.State() == moves.Running {
		return
	}
	m.endedAt = now
	req, judged := m.Request(), m.Judgement()
	if m.State() == moves.RolledBack {
		r.serviceVersions(req.Service)[req.To] = versionState{use: barred}
	}
	old, canary := m.RequestCounts()
	var reason moves.Reason
	switch v := m.Verdict(); {
	case s == moves.Done:
	case v != nil:
		reason = v.Reason
	case m.Age(now) < req.Duration-endedEarlyMargin:
		reason = moves.ReasonUnknown
	default:
		reason = moves.ReasonDeadline
	}
	r.log.Log(event.RolloutConcluded, "service", req.Service, "version", req.To, "state", s, "reason", reason, "score", judged.Score, "old", old, "new", canary, "age", m.Age(now), "rev", m.object.Rev)
}

// withdrawRollout rolls back a running rollout whose request was deleted.
func (r *Router) withdrawRollout(s ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[s]
	if !ok {
		return
	}
	m.withdrawn = true
	if m.State() != moves.Running {
		m.SetRecorded(m.State()) // nothing is left to write it to
	} else {
		m.SetVerdict(moves.Verdict{Reason: moves.ReasonCancelled, JudgedAt: time.Now()})
		r.applyState(time.Now(), m, moves.RolledBack)
		r.updatePool(s)
	}
}
