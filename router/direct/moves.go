package direct

import (
	"context"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

const (
	// marksMax bounds the states that wait to be written.
	stateWritesMax = 8
	// rankDelay is the time by which a router lets the one before it write, a few times what a write takes.
	writeRankDelay = 60 * time.Millisecond
	// markRetry is the pause before a state is written again that was not recorded.
	stateWriteRetry = 500 * time.Millisecond
	// retireTime is the time after a finished move from which all versions are treated alike: the old targets
	// have stopped, and their registrations have lapsed.
	retireDelay = 5 * time.Second
	// ordersWait bounds the time for which the first targets wait for the orders of moves.
	rolloutListTimeout = time.Second
	// strangeRetry is the pause before orders are read again that could not be read.
	relistRetry = 200 * time.Millisecond
)

// move is a move of a service.
type rollout struct {
	*moves.ShortRollout
	// object is the order as read last; empty while only other routers have told of it.
	object store.Object
	// warm holds the time from which each target of the new version is warm.
	warmAt map[ident.TargetID]time.Time
	// due is the state that is to be written, and dueAt the time at which it came up.
	pendingState moves.State
	pendingFrom  time.Time
	// apart is Apart of the new version when the targets were grouped last.
	canaryOnly bool
	// badTold is true once a line and a beacon told that the new version is bad.
	badReported bool
	// ended is the time at which the end was learnt; withdrawn is true when the order was removed.
	endedAt   time.Time
	withdrawn bool
}

// apart reports whether a target gets only requests of a trial; r.mu is held.
func (r *Router) canaryOnly(t fleet.Target) bool {
	m, ok := r.rollouts[t.Service]
	return ok && m.CanaryOnly(t.Version)
}

// moveFeed takes in the orders of moves.
func (r *Router) rolloutHandler() kindHandler {
	return kindHandler{
		kind:   r.catalogue.RolloutKind(),
		onList: r.applyRolloutList,
		onChange: func(c store.Change) {
			if c.Deleted {
				r.withdrawRollout(ident.Service(c.Object.Name))
				return
			}
			r.applyRollout(c.Object, "")
		},
	}
}

// ordersRead takes in a list of orders.
func (r *Router) applyRolloutList(l []store.Object) {
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

// awaitOrders waits until the orders were read, as a new process must not take a version on trial for one in
// use.
func (r *Router) awaitRolloutList() {
	t := time.NewTimer(rolloutListTimeout)
	defer t.Stop()
	select {
	case <-r.rolloutsListed:
	case <-t.C:
	}
}

// askOrders lists the orders when a strange version was seen. The watch would tell of them as well, but it
// may have gone silent.
func (r *Router) relistRollouts(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.relist:
		}
		for ctx.Err() == nil {
			began := time.Now()
			l, _, err := r.store.List(ctx, r.catalogue.RolloutKind())
			if err == nil {
				r.applyRolloutList(l)
				r.verifyVersions(began)
				break
			}
			r.log.Log(event.StoreDown, "sort", r.catalogue.RolloutKind(), "error", err)
			pause(ctx, relistRetry)
		}
	}
}

// order takes in an order. peer is the router that told of it, whose knowledge may be old; empty if the store
// did.
func (r *Router) applyRollout(o store.Object, peer string) {
	ord, state, err := r.catalogue.DecodeRollout(o)
	if err != nil {
		r.log.Log(event.RolloutRequestInvalid, "move", o.Name, "rev", o.Rev, "error", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[ord.Service]
	again := ok && (m.Request() != ord || state == "" && m.withdrawn)
	switch {
	case ok && store.Before(o.Rev, m.object.Rev):
		return // read before what is known
	case ok && peer != "" && (again || state == "" || state == moves.Running):
		return
	case !ok && state == moves.Done:
		return
	case !ok || again:
		m = r.startRollout(now, ord, peer)
	}
	m.object = o
	r.applyState(now, m, state)
	r.updatePool(ord.Service)
}

// startMove starts a move; r.mu is held.
func (r *Router) startRollout(now time.Time, ord moves.Request, peer string) *rollout {
	m := &rollout{ShortRollout: moves.NewShortRollout(now, ord, moves.ExposureLimit{Share: r.cfg.ExposureRatio, ExtraRequests: r.cfg.ExtraExposedRequests}), warmAt: map[ident.TargetID]time.Time{}, canaryOnly: true}
	r.rollouts[ord.Service] = m
	delete(r.versions[ord.Service], ord.To)
	for _, t := range r.targets {
		if t.Service == ord.Service && t.Version == ord.To {
			m.warmAt[t.ID] = now.Add(t.ColdRemaining)
		}
	}
	r.log.Log(event.RolloutRequested, "service", ord.Service, "version", ord.To, "length", ord.Duration, "expose", r.cfg.ExposureRatio, "leeway", r.cfg.ExtraExposedRequests, "peer", peer)
	return m
}

// record takes in the state that the store holds; r.mu is held.
func (r *Router) applyState(now time.Time, m *rollout, s moves.State) {
	if s == "" || m.State() != moves.Running {
		return
	}
	m.SetRecorded(s)
	if m.State() == moves.Running {
		return
	}
	m.endedAt = now
	o, j := m.Request(), m.Judgement()
	if m.State() == moves.RolledBack {
		r.serviceVersions(o.Service)[o.To] = versionState{use: barred}
	}
	old, trial := m.RequestCounts()
	var reason moves.Reason
	switch b := m.Verdict(); {
	case s == moves.Done:
	case b != nil:
		reason = b.Reason
	default:
		reason = moves.ReasonDeadline
	}
	r.log.Log(event.RolloutConcluded, "service", o.Service, "version", o.To, "state", s, "reason", reason, "score", j.Score, "old", old, "new", trial, "age", m.Age(now), "rev", m.object.Rev)
}

// withdraw ends a running move whose order was removed.
func (r *Router) withdrawRollout(s ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[s]
	if !ok {
		return
	}
	m.withdrawn = true
	if m.State() == moves.Running {
		m.SetVerdict(moves.Verdict{Reason: moves.ReasonCancelled, JudgedAt: time.Now()})
		r.applyState(time.Now(), m, moves.RolledBack)
		r.updatePool(s)
	}
}
