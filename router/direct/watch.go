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
	"hickoryvane.example/core/wire"
)

const (
	// minStoreRetry is the pause after a failed call of the store; it doubles up to maxStoreRetry, below the
	// time within which a change has to be in force.
	minStoreRetry = 100 * time.Millisecond
	maxStoreRetry = 800 * time.Millisecond
)

// kindHandler applies the objects of one kind and their changes.
type kindHandler struct {
	kind string
	// onList gets the objects and the revision of the store at the time of the list.
	onList   func(l []store.Object, asOf store.Rev)
	onChange func(store.Change)
	// onUnreachable is called when the store cannot be reached, and onRestored before the first list after a restore from
	// an older copy.
	onUnreachable, onRestored func()
}

// followKind lists the objects of a kind and watches them, repeatedly until ctx ends.
func (r *Router) followKind(ctx context.Context, h kindHandler) error {
	wait, down, downSince, last := minStoreRetry, false, time.Now(), store.Rev("")
	lost, lostWait := time.Time{}, minStoreRetry
	for ctx.Err() == nil {
		objects, rev, err := r.store.List(ctx, h.kind)
		if err == nil {
			if down {
				down, wait = false, minStoreRetry
				r.log.Log(event.StoreUp, "sort", h.kind, "objects", len(objects), "rev", rev, "away", time.Since(downSince))
			}
			if store.Restored(last, rev) {
				r.log.Log(event.StoreRestored, "sort", h.kind, "before", last, "rev", rev, "objects", len(objects))
				if h.onRestored != nil {
					h.onRestored()
				}
			}
			last = rev
			h.onList(objects, rev)
			err = r.watchKind(ctx, h, rev)
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, errWatchRestarted):
			continue
		case errors.Is(err, store.ErrUnreadable):
			r.log.Log(event.ChangeUnreadable, "sort", h.kind, "rev", rev)
			pause(ctx, maxStoreRetry)
			continue
		case errors.Is(err, store.ErrRevTooOld):
			r.log.Log(event.StoreHistoryLost, "sort", h.kind, "rev", rev)
			if time.Since(lost) < maxStoreRetry {
				pause(ctx, lostWait)
				lostWait = min(2*lostWait, maxStoreRetry)
			} else {
				lostWait = minStoreRetry
			}
			lost = time.Now()
			continue
		case err == nil:
			continue
		}
		if !down {
			down, downSince = true, time.Now()
			r.log.Log(event.StoreDown, "sort", h.kind, "error", err)
		}
		if h.onUnreachable != nil {
			h.onUnreachable()
		}
		pause(ctx, wait)
		wait = min(2*wait, maxStoreRetry)
	}
	return nil
}

// errWatchRestarted means that restartWatch ended a watch.
var errWatchRestarted = errors.New("watch is started again")

// watchKind watches a kind until an error or restartWatch.
func (r *Router) watchKind(ctx context.Context, h kindHandler, rev store.Rev) error {
	wctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	r.mu.Lock()
	r.watchCancels[h.kind] = cancel
	r.mu.Unlock()
	err := r.store.Watch(wctx, h.kind, rev, h.onChange)
	if errors.Is(context.Cause(wctx), errWatchRestarted) {
		return errWatchRestarted
	}
	return err
}

// restartWatch makes the watch of a kind list the objects again; r.mu is held.
func (r *Router) restartWatch(kind string) {
	if cancel, ok := r.watchCancels[kind]; ok {
		cancel(errWatchRestarted)
	}
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

// configHandler handles the configuration.
func (r *Router) configHandler() kindHandler {
	kind, name := r.catalogue.ConfigObject()
	apply := func(o store.Object) {
		if o.Name == name {
			r.applyConfig(o)
		}
	}
	return kindHandler{
		kind: kind,
		onList: func(l []store.Object, _ store.Rev) {
			for _, o := range l {
				apply(o)
			}
		},
		onChange: func(c store.Change) {
			if !c.Deleted { // the last configuration stays in force
				apply(c.Object)
			}
		},
	}
}

// applyConfig puts a configuration in force unless a newer one is in force.
func (r *Router) applyConfig(o store.Object) {
	table, err := r.catalogue.DecodeTable(o)
	if err != nil {
		r.log.Log(event.ConfigInvalid, "rev", o.Rev, "error", err)
		return
	}
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.table.Load()
	if old != nil && old.Generation >= table.Generation {
		return
	}
	for _, f := range table.CheckHomes(r.hasRegion, old) {
		r.log.Log(event.HomesInvalid, "key", f.Key, "name", f.Name, "regions", f.Unknown, "ignored", f.Ignored, "generation", table.Generation)
	}
	var accounts []ident.AccountID
	var services []ident.Service
	r.applyLimits(now, table)
	for _, a := range table.Accounts {
		accounts = append(accounts, a.Name)
	}
	for s := range table.Services {
		services = append(services, s)
	}
	r.meter.Configure(accounts, services)
	r.startLimits(now)
	r.table.Store(table)
	r.callers.ApplyIdleTime()
	r.configObject = o
	r.logReady()
	r.log.Log(event.ConfigInForce, "generation", table.Generation, "rev", o.Rev, "accounts", len(accounts), "services", len(services), "idle", r.idleTimeout())
	for s, p := range r.pools {
		r.updateColdLimits(s, p)
	}
	r.applySlots(table)
}

// hasRegion reports whether a region has a data centre.
func (r *Router) hasRegion(region ident.Region) bool {
	for _, known := range r.regions {
		if known == region {
			return true
		}
	}
	return false
}

// applySlots applies the configured slots of services to their targets; r.mu is held.
func (r *Router) applySlots(table *route.Table) {
	for _, t := range r.targets {
		if s := table.Services[t.Service]; s.Slots > 0 && !t.Leaving && r.usable(t) {
			r.pool(t.Service).Update(r.poolTarget(t, table))
		}
	}
}

// poolTarget returns a target in the form that the pool takes.
func (r *Router) poolTarget(t fleet.Target, table *route.Table) sched.Target {
	out := sched.Target{ID: t.ID, Centre: t.Centre, Region: r.regions[t.Centre], Slots: t.Slots, CanaryOnly: r.canaryOnly(t)}
	out.RateShare = float64(r.cell.ForService(r.targetCounts[t.Service]).Count) / float64(r.cell.Count)
	if table != nil && table.Services[t.Service].Slots > 0 {
		out.Slots = table.Services[t.Service].Slots
	}
	return out
}

// targetHandler handles the registrations of targets.
func (r *Router) targetHandler() kindHandler {
	return kindHandler{
		kind: r.catalogue.TargetKind(),
		onList: func(l []store.Object, asOf store.Rev) {
			r.awaitRolloutList()
			r.awaitEvacuationList()
			list := r.decodeTargets(l)
			r.replaceTargetObjects(l, asOf)
			r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
				r.targetCounts = countTargets(list)
				return f.ApplyList(time.Now(), list)
			})
			r.targetsListed.Store(true)
			r.storeReachable.Store(true)
			r.logReady()
		},
		onChange: func(c store.Change) {
			r.updateTargetObject(c)
			t, ok := fleet.Target{}, false
			if !c.Deleted {
				t, ok = r.decodeTarget(c.Object)
			}
			r.updateFleet(func(f *fleet.Fleet) []fleet.Event {
				if ok {
					return f.Put(t)
				}
				return f.Remove(time.Now(), ident.TargetID(c.Object.Name))
			})
		},
		onUnreachable: func() {
			r.storeReachable.Store(false)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.fleet.StoreUnreachable()
		},
		onRestored: r.blocks.Restored,
	}
}

// decodeTargets returns the targets whose registrations can be decoded.
func (r *Router) decodeTargets(l []store.Object) (list []fleet.Target) {
	for _, o := range l {
		if t, ok := r.decodeTarget(o); ok {
			list = append(list, t)
		}
	}
	return list
}

func (r *Router) decodeTarget(o store.Object) (fleet.Target, bool) {
	t, err := r.catalogue.DecodeTarget(o)
	if err != nil {
		r.log.Log(event.TargetInvalid, "target", o.Name, "rev", o.Rev, "error", err)
		return t, false
	}
	return t, true
}

// updateFleet updates the fleet by f, and applies and logs the resulting events, with pairs as their cause.
func (r *Router) updateFleet(f func(*fleet.Fleet) []fleet.Event, pairs ...any) {
	r.mu.Lock()
	events := f(r.fleet)
	r.applyFleetEvents(events)
	r.mu.Unlock()
	r.logFleetEvents(events, pairs...)
}

// applyFleetEvents applies events of targets to the pools; r.mu is held.
func (r *Router) applyFleetEvents(events []fleet.Event) {
	now, table := time.Now(), r.table.Load()
	for _, e := range events {
		t := e.Target
		old, known := r.targets[t.ID]
		if known && (old.Boot != t.Boot || e.Change == fleet.Deregistered) {
			r.confirmCrashes(now, t.ID)
		}
		pool := r.pool(t.Service)
		if e.Change == fleet.Up {
			if !known {
				r.confirmReplaced(now, t)
			}
			if known && old.Service != t.Service {
				r.pool(old.Service).Drain(t.ID)
			}
			r.targets[t.ID] = t
			r.addTargetKey(t.ID)
			r.observeVersion(t)
			r.markCold(now, e, pool)
			if !r.usable(t) {
				continue
			}
			pool.Put(r.poolTarget(t, table), !known || old.Boot != t.Boot)
			r.schedule(now, pool)
			continue
		}
		if e.Change == fleet.Missing {
			pool.MarkMissing(t.ID)
			continue
		}
		pool.Drain(t.ID)
		r.targets[t.ID] = t
		if e.Change == fleet.Deregistered {
			delete(r.targets, t.ID)
			delete(r.activity, t.ID)
			delete(r.targetKeys, wire.KeyOf(t.ID))
		}
	}
}

// logFleetEvents logs events of targets; pairs name their cause if it is not the registration.
func (r *Router) logFleetEvents(events []fleet.Event, pairs ...any) {
	for _, e := range events {
		id := event.TargetUp
		switch e.Change {
		case fleet.Leaving:
			id = event.TargetLeaving
		case fleet.Missing:
			id = event.TargetMissing
		case fleet.Deregistered:
			id = event.TargetDeregistered
		}
		t := e.Target
		fields := []any{"target", t.ID, "service", t.Service, "address", t.Address, "centre", t.Centre, "version", t.Version, "slots", t.Slots, "born", t.Boot}
		r.log.Log(id, append(fields, pairs...)...)
	}
}

// routerHandler handles the registrations of routers.
func (r *Router) routerHandler() kindHandler {
	put := func(o store.Object) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.applyRegistration(time.Now(), o); err != nil {
			r.log.Log(event.PeerRejected, "peer", o.Name, "rev", o.Rev, "error", err)
		}
	}
	return kindHandler{
		kind: RouterKind,
		onList: func(l []store.Object, _ store.Rev) {
			r.mu.Lock()
			r.ownAddress = ""
			r.mu.Unlock()
			for _, o := range l {
				put(o)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.routersListed = true
			r.assignCells(time.Now())
			select {
			case <-r.registered: // of an earlier list
			default:
			}
			r.registered <- r.ownAddress == r.cfg.Heartbeat
		},
		onChange: func(c store.Change) {
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
