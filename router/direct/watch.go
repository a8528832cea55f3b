package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/follow"
)

// configHandler handles the configuration.
func (r *Router) configHandler() follow.Handler {
	kind, name := r.catalogue.ConfigObject()
	apply := func(o store.Object) {
		if o.Name == name {
			r.applyConfig(o, storeSource)
		}
	}
	return follow.Handler{
		Kind: kind,
		OnList: func(l []store.Object, _ store.Rev) {
			for _, o := range l {
				apply(o)
			}
		},
		OnChange: func(c store.Change) {
			if !c.Deleted { // the last configuration stays in force
				apply(c.Object)
			}
		},
	}
}

// storeSource is the source of a configuration that was read from the store.
const storeSource = "store"

// applyConfig puts a configuration in force unless a newer one is in force; source is storeSource or the admin address
// of a router.
func (r *Router) applyConfig(o store.Object, source string) {
	began := time.Now()
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
	r.log.Log(event.ConfigInForce, "generation", table.Generation, "rev", o.Rev, "accounts", len(accounts), "services", len(services), "idle", r.idleTimeout(),
		"source", source, "bytes", len(o.Value), "took", now.Sub(began), "behind", r.behindFor(now))
	for s, p := range r.pools {
		r.updateColdLimits(s, p)
	}
	r.applySlots(table)
}

// behindFor returns the time since a peer first reported a newer configuration than the one in force; r.mu is held.
func (r *Router) behindFor(now time.Time) time.Duration {
	if r.behindSince.IsZero() {
		return 0
	}
	return now.Sub(r.behindSince)
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

// applySlots applies the configured slots and memory of services to their targets; r.mu is held.
func (r *Router) applySlots(table *route.Table) {
	for _, t := range r.targets {
		if !t.Leaving && r.usable(t) {
			r.pool(t.Service).Update(r.poolTarget(t, table))
		}
	}
}

// poolTarget returns a target in the form that the pool takes.
func (r *Router) poolTarget(t fleet.Target, table *route.Table) sched.Target {
	out := sched.Target{ID: t.ID, Centre: t.Centre, Region: r.regions[t.Centre], Slots: t.Slots, CanaryOnly: r.canaryOnly(t), Start: prefix.Start{Boot: t.Boot, Version: t.Version}}
	out.RateShare = float64(r.cell.ForService(r.targetCounts[t.Service]).Count) / float64(r.cell.Count)
	if table == nil {
		return out
	}
	s := table.Services[t.Service]
	out.Memory, out.MemoryLimited = s.Memory, r.memoryLimited
	if s.Slots > 0 {
		out.Slots = s.Slots
	}
	return out
}

// targetHandler handles the registrations of targets.
func (r *Router) targetHandler() follow.Handler {
	return follow.Handler{
		Kind: r.catalogue.TargetKind(),
		OnList: func(l []store.Object, asOf store.Rev) {
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
		OnChange: r.recordTargetChange,
		OnUnreachable: func() {
			r.storeReachable.Store(false)
			r.mu.Lock()
			defer r.mu.Unlock()
			r.fleet.StoreUnreachable()
		},
		OnRestored: r.blocks.Restored,
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

// removeUnlisted removes the routers that are not registered and have been silent for a time, as the list may be stale and
// the watch may have missed their removal; r.mu is held.
func (r *Router) removeUnlisted(now time.Time, listed map[ident.ProcessID]bool) {
	for id, p := range r.peers {
		if !listed[id] && now.Sub(p.lastSeen) >= peerTTL {
			r.removePeer(id)
		}
	}
}

// removePeer removes a router that is not registered any more; r.mu is held.
func (r *Router) removePeer(id ident.ProcessID) {
	delete(r.peers, id)
	r.limiter.RemoveRouter(id)
}

// routerHandler handles the registrations of routers.
func (r *Router) routerHandler() follow.Handler {
	put := func(o store.Object) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if err := r.applyRegistration(time.Now(), o); err != nil {
			r.log.Log(event.PeerRejected, "peer", o.Name, "rev", o.Rev, "error", err)
		}
	}
	return follow.Handler{
		Kind: RouterKind,
		OnList: func(l []store.Object, _ store.Rev) {
			r.mu.Lock()
			r.ownAddress = ""
			r.mu.Unlock()
			listed := make(map[ident.ProcessID]bool, len(l))
			for _, o := range l {
				listed[ident.ProcessID(o.Name)] = true
				put(o)
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.removeUnlisted(time.Now(), listed)
			r.routersListed = true
			r.assignCells(time.Now())
			select {
			case <-r.registered: // of an earlier list
			default:
			}
			r.registered <- r.ownAddress == r.cfg.Heartbeat
		},
		OnChange: func(c store.Change) {
			if !c.Deleted {
				put(c.Object)
				return
			}
			r.mu.Lock()
			defer r.mu.Unlock()
			r.removePeer(ident.ProcessID(c.Object.Name))
		},
	}
}
