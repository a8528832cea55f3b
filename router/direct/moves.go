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
	marksMax = 8
	// rankDelay is the time by which a router lets the one before it write, a few times what a write takes.
	rankDelay = 60 * time.Millisecond
	// markRetry is the pause before a state is written again that was not recorded.
	markRetry = 500 * time.Millisecond
	// retireTime is the time after a finished move from which all versions are treated alike: the old targets
	// have stopped, and their registrations have lapsed.
	retireTime = 5 * time.Second
	// ordersWait bounds the time for which the first targets wait for the orders of moves.
	ordersWait = time.Second
	// strangeRetry is the pause before orders are read again that could not be read.
	strangeRetry = 200 * time.Millisecond
)

// move is a move of a service.
type move struct {
	*moves.Quick
	// object is the order as read last; empty while only other routers have told of it.
	object store.Object
	// warm holds the time from which each target of the new version is warm.
	warm map[ident.TargetID]time.Time
	// due is the state that is to be written, and dueAt the time at which it came up.
	due   moves.State
	dueAt time.Time
	// apart is Apart of the new version when the targets were grouped last.
	apart bool
	// badTold is true once a line and a beacon told that the new version is bad.
	badTold bool
	// ended is the time at which the end was learnt; withdrawn is true when the order was removed.
	ended     time.Time
	withdrawn bool
}

// apart reports whether a target gets only requests of a trial; r.mu is held.
func (r *Router) apart(t fleet.Target) bool {
	m, ok := r.moves[t.Service]
	return ok && m.Apart(t.Version)
}

// moveFeed takes in the orders of moves.
func (r *Router) moveFeed() feed {
	return feed{
		sort:   r.catalogue.Moves(),
		listed: r.ordersRead,
		change: func(c store.Change) {
			if c.Deleted {
				r.withdraw(ident.Service(c.Object.Name))
				return
			}
			r.order(c.Object, "")
		},
	}
}

// ordersRead takes in a list of orders.
func (r *Router) ordersRead(l []store.Object) {
	for _, o := range l {
		r.order(o, "")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.ordered:
	default:
		close(r.ordered)
	}
}

// awaitOrders waits until the orders were read, as a new process must not take a version on trial for one in
// use.
func (r *Router) awaitOrders() {
	t := time.NewTimer(ordersWait)
	defer t.Stop()
	select {
	case <-r.ordered:
	case <-t.C:
	}
}

// askOrders lists the orders when a strange version was seen. The watch would tell of them as well, but it
// may have gone silent.
func (r *Router) askOrders(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.strange:
		}
		for ctx.Err() == nil {
			began := time.Now()
			l, _, err := r.store.List(ctx, r.catalogue.Moves())
			if err == nil {
				r.ordersRead(l)
				r.settleVersions(began)
				break
			}
			r.log.Log(event.StoreDown, "sort", r.catalogue.Moves(), "error", err)
			pause(ctx, strangeRetry)
		}
	}
}

// order takes in an order. peer is the router that told of it, whose knowledge may be old; empty if the store
// did.
func (r *Router) order(o store.Object, peer string) {
	ord, state, err := r.catalogue.Order(o)
	if err != nil {
		r.log.Log(event.RolloutRequestInvalid, "move", o.Name, "rev", o.Rev, "error", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[ord.Service]
	again := ok && (m.Order() != ord || state == "" && m.withdrawn)
	switch {
	case ok && store.Before(o.Rev, m.object.Rev):
		return // read before what is known
	case ok && peer != "" && (again || state == "" || state == moves.Running):
		return
	case !ok && state == moves.Done:
		return
	case !ok || again:
		m = r.startMove(now, ord, peer)
	}
	m.object = o
	r.record(now, m, state)
	r.regroup(ord.Service)
}

// startMove starts a move; r.mu is held.
func (r *Router) startMove(now time.Time, ord moves.Order, peer string) *move {
	m := &move{Quick: moves.NewQuick(now, ord, moves.Bound{Share: r.cfg.Expose, Slack: r.cfg.Leeway}), warm: map[ident.TargetID]time.Time{}, apart: true}
	r.moves[ord.Service] = m
	delete(r.versions[ord.Service], ord.To)
	for _, t := range r.targets {
		if t.Service == ord.Service && t.Version == ord.To {
			m.warm[t.ID] = now.Add(t.Cold)
		}
	}
	r.log.Log(event.RolloutRequested, "service", ord.Service, "version", ord.To, "length", ord.Length, "expose", r.cfg.Expose, "leeway", r.cfg.Leeway, "peer", peer)
	return m
}

// record takes in the state that the store holds; r.mu is held.
func (r *Router) record(now time.Time, m *move, s moves.State) {
	if s == "" || m.State() != moves.Running {
		return
	}
	m.Recorded(s)
	if m.State() == moves.Running {
		return
	}
	m.ended = now
	o, j := m.Order(), m.Judged()
	if m.State() == moves.Back {
		r.uses(o.Service)[o.To] = version{use: barred}
	}
	old, trial := m.Requests()
	var reason moves.Reason
	switch b := m.Bad(); {
	case s == moves.Done:
	case b != nil:
		reason = b.Reason
	default:
		reason = moves.ReasonDeadline
	}
	r.log.Log(event.RolloutConcluded, "service", o.Service, "version", o.To, "state", s, "reason", reason, "score", j.Score, "old", old, "new", trial, "age", m.Age(now), "rev", m.object.Rev)
}

// withdraw ends a running move whose order was removed.
func (r *Router) withdraw(s ident.Service) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[s]
	if !ok {
		return
	}
	m.withdrawn = true
	if m.State() == moves.Running {
		m.Condemn(moves.Verdict{Reason: moves.ReasonCancelled, At: time.Now()})
		r.record(time.Now(), m, moves.Back)
		r.regroup(s)
	}
}
