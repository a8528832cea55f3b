package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/store"
)

const (
	// watchPause is the pause after a failed call of the store; it doubles up to watchPauseMax, below the
	// time in which a change has to be in force.
	watchPause    = 100 * time.Millisecond
	watchPauseMax = 800 * time.Millisecond
)

// feed takes in the objects of one kind.
type feed struct {
	sort   string
	listed func([]store.Object)
	change func(store.Change)
	// away is called when the store cannot be reached.
	away func()
}

// follow lists the objects of a kind and watches them, again and again until ctx ends.
func (r *Router) follow(ctx context.Context, f feed) error {
	wait, down, began := watchPause, false, time.Now()
	for ctx.Err() == nil {
		objects, rev, err := r.store.List(ctx, f.sort)
		if err == nil {
			if down {
				down, wait = false, watchPause
				r.log.Log(event.StoreUp, "sort", f.sort, "objects", len(objects), "rev", rev, "away", time.Since(began))
			}
			f.listed(objects)
			err = r.store.Watch(ctx, f.sort, rev, f.change)
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, store.ErrRevTooOld):
			r.log.Log(event.StoreBehind, "sort", f.sort, "rev", rev)
			continue
		case err == nil:
			continue
		}
		if !down {
			down, began = true, time.Now()
			r.log.Log(event.StoreDown, "sort", f.sort, "error", err)
		}
		if f.away != nil {
			f.away()
		}
		pause(ctx, wait)
		wait = min(2*wait, watchPauseMax)
	}
	return nil
}

// pause waits for d or the end of ctx.
func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// configFeed takes in the configuration.
func (r *Router) configFeed() feed {
	sort, name := r.catalogue.Config()
	one := func(o store.Object) {
		if o.Name == name {
			r.configure(o)
		}
	}
	return feed{
		sort: sort,
		listed: func(l []store.Object) {
			for _, o := range l {
				one(o)
			}
		},
		change: func(c store.Change) {
			if !c.Deleted { // a configuration never reverts
				one(c.Object)
			}
		},
	}
}

// configure puts a configuration in force unless a newer one is.
func (r *Router) configure(o store.Object) {
	p, err := r.catalogue.Plan(o)
	if err != nil {
		r.log.Log(event.ConfigInvalid, "rev", o.Rev, "error", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.plan.Load()
	if old != nil && old.Generation >= p.Generation {
		return
	}
	var accounts []ident.AccountID
	var services []ident.Service
	r.limit(now, p)
	for _, a := range p.Accounts {
		accounts = append(accounts, a.Name)
	}
	for s := range p.Services {
		services = append(services, s)
	}
	r.meter.Configure(accounts, services)
	r.plan.Store(p)
	r.config = o
	r.announceReady()
	r.log.Log(event.ConfigInForce, "generation", p.Generation, "rev", o.Rev, "accounts", len(accounts), "services", len(services))
	r.slots(p)
}

// slots applies the declared slots of services to their targets; r.mu is held.
func (r *Router) slots(p *route.Plan) {
	for _, t := range r.targets {
		if s := p.Services[t.Service]; s.Slots > 0 && !t.Leaving && r.mayUse(t) {
			r.pool(t.Service).Change(r.member(t, p))
		}
	}
}

// member returns a target as the pool sees it.
func (r *Router) member(t fleet.Target, p *route.Plan) sched.Target {
	m := sched.Target{ID: t.ID, Centre: t.Centre, Region: r.regions[t.Centre], Slots: t.Slots, Apart: r.apart(t)}
	if p != nil && p.Services[t.Service].Slots > 0 {
		m.Slots = p.Services[t.Service].Slots
	}
	return m
}

// targetFeed takes in the registrations of targets.
func (r *Router) targetFeed() feed {
	return feed{
		sort: r.catalogue.Targets(),
		listed: func(l []store.Object) {
			r.awaitOrders()
			list := r.decode(l)
			r.keep(l)
			r.change(func(f *fleet.Fleet) []fleet.Event {
				r.sizes = sizesOf(list)
				return f.Listed(time.Now(), list)
			})
			r.listed.Store(true)
			r.linked.Store(true)
			r.announceReady()
		},
		change: func(c store.Change) {
			r.keepOne(c)
			t, ok := fleet.Target{}, false
			if !c.Deleted {
				t, ok = r.target(c.Object)
			}
			r.change(func(f *fleet.Fleet) []fleet.Event {
				if ok {
					return f.Put(t)
				}
				return f.Drop(time.Now(), ident.TargetID(c.Object.Name))
			})
		},
		away: func() {
			r.linked.Store(false)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.fleet.Away()
		},
	}
}

// decode returns the registrations that can be read.
func (r *Router) decode(l []store.Object) (list []fleet.Target) {
	for _, o := range l {
		if t, ok := r.target(o); ok {
			list = append(list, t)
		}
	}
	return list
}

func (r *Router) target(o store.Object) (fleet.Target, bool) {
	t, err := r.catalogue.Target(o)
	if err != nil {
		r.log.Log(event.TargetInvalid, "target", o.Name, "rev", o.Rev, "error", err)
		return t, false
	}
	return t, true
}

func (r *Router) change(f func(*fleet.Fleet) []fleet.Event) {
	r.mu.Lock()
	events := f(r.fleet)
	r.apply(events)
	r.mu.Unlock()
	r.logFleet(events)
}

// apply tells the pools what happened to targets; r.mu is held.
func (r *Router) apply(events []fleet.Event) {
	now, p := time.Now(), r.plan.Load()
	for _, e := range events {
		t := e.Target
		old, known := r.targets[t.ID]
		if known && (old.Born != t.Born || e.Change == fleet.Gone) {
			r.confirm(now, t.ID)
		}
		pool := r.pool(t.Service)
		if e.Change == fleet.Up {
			if known && old.Service != t.Service {
				r.pool(old.Service).Leave(t.ID)
			}
			r.targets[t.ID] = t
			r.meet(t)
			if !r.mayUse(t) {
				continue
			}
			pool.Put(r.member(t, p), !known || old.Born != t.Born)
			r.next(now, pool)
			continue
		}
		if e.Change == fleet.Missing {
			pool.Doubt(t.ID)
			continue
		}
		pool.Leave(t.ID)
		r.targets[t.ID] = t
		if e.Change == fleet.Gone {
			delete(r.targets, t.ID)
		}
	}
}

func (r *Router) logFleet(events []fleet.Event) {
	for _, e := range events {
		id := event.TargetUp
		switch e.Change {
		case fleet.Leaving:
			id = event.TargetLeaving
		case fleet.Missing:
			id = event.TargetMissing
		case fleet.Gone:
			id = event.TargetGone
		}
		t := e.Target
		r.log.Log(id, "target", t.ID, "service", t.Service, "address", t.Address, "centre", t.Centre, "version", t.Version, "slots", t.Slots, "born", t.Born)
	}
}

// routerFeed takes in the registrations of routers.
func (r *Router) routerFeed() feed {
	put := func(o store.Object) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.enrol(time.Now(), o); err != nil {
			r.log.Log(event.BadPeer, "peer", o.Name, "rev", o.Rev, "error", err)
		}
	}
	return feed{
		sort: RoutersSort,
		listed: func(l []store.Object) {
			for _, o := range l {
				put(o)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.divide(time.Now())
		},
		change: func(c store.Change) {
			if !c.Deleted {
				put(c.Object)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			delete(r.peers, ident.ProcessID(c.Object.Name))
		},
	}
}
