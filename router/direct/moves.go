package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
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

// use says how a version that no order names is used.
type use uint8

const (
	// used versions get requests.
	used use = iota
	// strange versions get none until the orders were read after they were first seen.
	strange
	// barred versions were taken back, and get none until they are ordered again.
	barred
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
	// ended is the time at which the end was learnt; withdrawn is true when the order was removed.
	ended     time.Time
	withdrawn bool
}

// apart reports whether a target gets only requests of a trial; r.mu is held.
func (r *Router) apart(t fleet.Target) bool {
	m, ok := r.moves[t.Service]
	return ok && m.Apart(t.Version)
}

// mayUse reports whether a target gets requests at all; r.mu is held.
func (r *Router) mayUse(t fleet.Target) bool {
	return r.versions[t.Service][t.Version] == used && r.cell.Holds(t.ID, r.sizes[t.Service])
}

// meet takes in that a target is up; r.mu is held. A version that comes beside others may be on trial, and its
// targets may be seen before the order is.
func (r *Router) meet(t fleet.Target) {
	if m, ok := r.moves[t.Service]; ok && t.Version == m.Order().To {
		m.warm[t.ID] = time.Now().Add(t.Cold)
		return
	}
	vs := r.uses(t.Service)
	if _, ok := vs[t.Version]; ok {
		return
	}
	vs[t.Version] = used
	if len(vs) > 1 {
		vs[t.Version] = strange
		select {
		case r.strange <- struct{}{}:
		default: // a list is asked for already
		}
	}
}

// uses returns the versions of a service; r.mu is held.
func (r *Router) uses(s ident.Service) map[ident.Version]use {
	vs := r.versions[s]
	if vs == nil {
		vs = map[ident.Version]use{}
		r.versions[s] = vs
	}
	return vs
}

// settleVersions lets strange versions be used, as the orders were read; r.mu is not held.
func (r *Router) settleVersions() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for s, vs := range r.versions {
		changed := false
		for v, u := range vs {
			if u == strange {
				changed, vs[v] = true, used
			}
		}
		if changed {
			r.regroup(s)
		}
	}
}

// regroup puts the targets of a service into the pool anew; r.mu is held.
func (r *Router) regroup(s ident.Service) {
	p := r.plan.Load()
	for _, t := range r.targets {
		switch {
		case t.Service != s || t.Leaving:
		case r.mayUse(t):
			r.pool(s).Put(r.member(t, p), false)
		default:
			r.pool(s).Leave(t.ID)
		}
	}
	r.next(time.Now(), r.pool(s))
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
	r.settleVersions()
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
			l, _, err := r.store.List(ctx, r.catalogue.Moves())
			if err == nil {
				r.ordersRead(l)
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
		r.log.Log(event.MoveInvalid, "move", o.Name, "rev", o.Rev, "error", err)
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
	r.log.Log(event.MoveOrdered, "service", ord.Service, "version", ord.To, "length", ord.Length, "expose", r.cfg.Expose, "leeway", r.cfg.Leeway, "peer", peer)
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
		r.uses(o.Service)[o.To] = barred
	}
	old, trial := m.Requests()
	reason := j.Reason
	if b := m.Bad(); b != nil {
		reason = b.Reason
	}
	r.log.Log(event.MoveEnded, "service", o.Service, "version", o.To, "state", s, "reason", reason, "score", j.Score, "old", old, "new", trial, "age", m.Age(now), "rev", m.object.Rev)
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

// settle writes the states of moves.
func (r *Router) settle(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-r.marks:
			r.mark(ctx, o)
		}
	}
}

// judgeMoves looks at the moves, and hands out the states that this router has to write; r.mu is held.
func (r *Router) judgeMoves(now time.Time) {
	for s, m := range r.moves {
		if m.State() == moves.Done && now.Sub(m.ended) >= retireTime {
			delete(r.moves, s)
			for _, t := range r.targets {
				if _, ok := r.uses(s)[t.Version]; t.Service == s && !ok {
					r.uses(s)[t.Version] = used
				}
			}
			r.regroup(s)
			continue
		}
		bad := m.Bad()
		due, ok := m.Due(now)
		if b := m.Bad(); b != nil && bad == nil {
			r.urgent = true
			r.log.Log(event.MoveBad, "service", s, "version", m.Order().To, "reason", b.Reason, "route", b.Route, "score", m.Judged().Score, "age", m.Age(now))
		}
		if a := m.Apart(m.Order().To); a != m.apart {
			m.apart = a
			r.log.Log(event.MoveStage, "service", s, "version", m.Order().To, "apart", a, "score", m.Judged().Score, "age", m.Age(now))
			r.regroup(s)
		}
		if !ok || due != m.due {
			m.due, m.dueAt = due, now
		}
		if ok && m.object.Name != "" && now.Sub(m.dueAt) >= time.Duration(r.rank(now))*rankDelay {
			m.dueAt = now.Add(markRetry) // if this one fails
			o := m.object
			o.Status = r.catalogue.Mark(m.Order(), due)
			select {
			case r.marks <- o:
			default: // earlier writes still wait for the store
			}
		}
	}
}

// rank returns the number of routers that go before this one; r.mu is held.
func (r *Router) rank(now time.Time) (n int) {
	for id, p := range r.peers {
		if id < r.cfg.Name && p.linked && now.Sub(p.heard) < r.deaf(p) {
			n++
		}
	}
	return n
}

// mark writes a status, and reads it back where it is not known which one holds.
func (r *Router) mark(ctx context.Context, o store.Object) {
	out, err := r.store.Mark(ctx, o)
	if errors.Is(err, store.ErrUnsure) || errors.Is(err, store.ErrConflict) {
		out, err = r.store.Get(ctx, o.Sort, o.Name)
	}
	if err != nil {
		r.log.Log(event.StoreDown, "sort", o.Sort, "error", err)
		return
	}
	r.order(out, "")
}

// assign chooses the version for a request, and reports whether it goes to targets that are apart.
func (r *Router) assign(c *call) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[c.service]
	if !ok || m.State() != moves.Running {
		return false
	}
	takes, _ := r.pool(c.service).Duration(c.length(), c.job.Stride) // plain calls end within the margin of a move
	return m.Assign(time.Now(), r.known(time.Now()), c.route.Name, takes)
}

// unassign takes back the choice for a request that was turned away.
func (r *Router) unassign(c *call, trial bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if m, ok := r.moves[c.service]; ok && m.State() == moves.Running {
		m.Drop(c.route.Name, trial)
	}
}

// witness counts the end of a request at a target as evidence on its version.
func (r *Router) witness(c *call, v *visit) {
	if v.end == notRun || v.end == left {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.moves[c.service]
	if !ok {
		return
	}
	now := time.Now()
	e := moves.Ended{Route: c.route.Name, Version: v.target.Version, Target: v.target.ID, Failed: v.end == failed, Lost: v.end == lost, Took: v.first}
	if v.held != nil && v.held.status >= 500 {
		e.Failed = true
	}
	if now.Before(m.warm[v.target.ID]) {
		e.Took = 0
	}
	m.Add(now, e)
}

// tellMoves returns the running moves for a beacon; r.mu is held.
func (r *Router) tellMoves(now time.Time) (out []wire.BeaconMove) {
	for s, m := range r.moves {
		if m.State() != moves.Running {
			continue
		}
		o := m.Order()
		b := wire.BeaconMove{Service: s, To: o.To, Length: o.Length.Milliseconds(), Age: m.Age(now).Milliseconds(), Evidence: m.Value()}
		if v := m.Bad(); v != nil {
			b.Bad = string(v.Reason)
		}
		out = append(out, b)
	}
	return out
}

// hearMoves takes in the moves that another router knows of; r.mu is held.
func (r *Router) hearMoves(now time.Time, b *wire.Beacon) {
	for _, x := range b.Moves {
		ord := moves.Order{Service: x.Service, To: x.To, Length: time.Duration(x.Length) * time.Millisecond}
		age := time.Duration(x.Age) * time.Millisecond
		m, ok := r.moves[x.Service]
		if !ok && age < ord.Length {
			m, ok = r.startMove(now, ord, string(b.Process)), true
			r.regroup(x.Service)
		}
		if !ok || m.Order() != ord || m.State() != moves.Running {
			continue
		}
		m.Older(now, age)
		if err := m.Merge(b.Process, b.Boot, x.Evidence); err != nil {
			r.log.Log(event.BadFrame, "peer", b.Process, "error", err)
		}
		if x.Bad != "" {
			m.Condemn(moves.Verdict{Reason: moves.Reason(x.Bad), At: now})
		}
	}
}
