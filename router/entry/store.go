package entry

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

const (
	// claimKind is the kind of the objects that hold claims of keyed calls.
	claimKind = "claim"
	// storeCallTimeout limits one store call.
	storeCallTimeout = 2 * time.Second
	// listInterval and listIntervalOther are the intervals between two reads of the list of VMs, by a process that
	// reads it for its region and by any other process.
	listInterval      = time.Second
	listIntervalOther = 30 * time.Second
	// watchBackoff and watchBackoffMax limit the pause before a failed watch is restarted.
	watchBackoff    = 200 * time.Millisecond
	watchBackoffMax = 5 * time.Second
)

// followVMList reads the platform's list of VMs periodically.
func (r *Router) followVMList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	var lastRead time.Time
	for {
		if r.watching.Load() || time.Since(lastRead) >= listIntervalOther {
			if list, err := r.lister.List(ctx); err == nil {
				lastRead = time.Now()
				if r.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandleListRead(now, list) }) != nil {
					return nil
				}
			}
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
	}
}

// setStoreWatch starts or stops watching the object API.
func (r *Router) setStoreWatch(ctx context.Context, on bool) {
	r.watching.Store(on)
	if r.stopWatch != nil {
		r.stopWatch()
		r.stopWatch = nil
	}
	if !on {
		return
	}
	ctx, r.stopWatch = context.WithCancel(ctx)
	for _, kind := range []string{conf.ConfigKind, moves.ObjectKind} {
		r.startWorker(ctx, func(ctx context.Context) input { r.watchKind(ctx, kind); return nil })
	}
}

// watchKind lists and watches the objects of a kind, and restarts the watch until ctx ends.
func (r *Router) watchKind(ctx context.Context, kind string) {
	pause := watchBackoff
	for ctx.Err() == nil {
		start := time.Now()
		err := r.watchOnce(ctx, kind)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // the store ends each watch after a while
			continue
		}
		if time.Since(start) > watchBackoffMax {
			pause = watchBackoff
		}
		r.storeFailed.Store(true)
		r.log.Log(event.StoreDown, "sort", kind, "error", err)
		_ = r.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandleStoreDown(now) })
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, watchBackoffMax)
	}
}

func (r *Router) watchOnce(ctx context.Context, kind string) error {
	objects, rev, err := r.store.List(ctx, kind)
	if err != nil {
		return err
	}
	if r.storeFailed.CompareAndSwap(true, false) {
		r.log.Log(event.StoreUp, "sort", kind, "objects", len(objects))
	}
	if kind == conf.ConfigKind && len(objects) == 0 {
		_ = r.inbox.Put(ctx, func(_ time.Time, c *Core) { c.HandleStoreEmpty() })
	}
	for _, o := range objects {
		r.applyObject(ctx, o)
	}
	return r.store.Watch(ctx, kind, rev, func(ch store.Change) {
		if !ch.Deleted { // a configuration is never reverted, and the conclusion of a rollout is final
			r.applyObject(ctx, ch.Object)
		}
	})
}

func (r *Router) applyObject(ctx context.Context, o store.Object) {
	_ = r.inbox.Put(ctx, func(now time.Time, c *Core) { // fails only when the process ends
		switch o.Kind {
		case conf.ConfigKind:
			c.HandleConfigRead(now, o.Value)
		case moves.ObjectKind:
			c.HandleRolloutRead(now, o.Value)
		}
	})
}

// recordClaim writes the claim of a keyed call at most once.
func (r *Router) recordClaim(ctx context.Context, act CreateClaim) input {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	outcome, held, err := writeClaim(ctx, r.store, act)
	if err != nil {
		r.log.Log(event.StoreDown, "claim", act.ID, "error", err)
	}
	return func(now time.Time, c *Core) { c.HandleClaimResult(now, act.Call, act.Claim.Attempt, outcome, held) }
}

// writeClaim creates the object of a claim. If the answer was lost it reads the object back; it never writes
// twice.
func writeClaim(ctx context.Context, s store.Store, act CreateClaim) (outcome ClaimOutcome, held Claim, err error) {
	defer func() { err = errors.WithMessage(err, "claim") }()
	value, err := json.Marshal(act.Claim)
	if err != nil {
		return ClaimUnknown, held, err
	}
	o := store.Object{Kind: claimKind, Name: string(act.ID), Value: value}
	if act.Replace == "" {
		_, err = s.Create(ctx, o)
	} else {
		err = replaceClaim(ctx, s, o, act)
	}
	switch {
	case err == nil:
		return ClaimRecorded, act.Claim, nil
	case errors.Is(err, store.ErrExists), errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		return readClaim(ctx, s, act)
	default:
		return ClaimUnknown, held, err
	}
}

// replaceClaim replaces the claim of an attempt that was never dispatched, if that claim is still the one held.
func replaceClaim(ctx context.Context, s store.Store, o store.Object, act CreateClaim) error {
	current, err := s.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	var held Claim
	if err = json.Unmarshal(current.Value, &held); err != nil {
		return errors.Wrap(err, "decode claim object")
	}
	if held.Attempt != act.Replace {
		return store.ErrConflict
	}
	o.Rev = current.Rev
	_, err = s.Update(ctx, o)
	return err
}

func readClaim(ctx context.Context, s store.Store, act CreateClaim) (outcome ClaimOutcome, held Claim, err error) {
	o, err := s.Get(ctx, claimKind, string(act.ID))
	if err != nil {
		return ClaimUnknown, held, err
	}
	if err = json.Unmarshal(o.Value, &held); err != nil {
		return ClaimUnknown, held, errors.Wrap(err, "decode claim object")
	}
	if held.Attempt == act.Claim.Attempt {
		return ClaimRecorded, held, nil
	}
	return ClaimHeld, held, nil
}

func (r *Router) leaseCall(ctx context.Context, act LeaseCall) input {
	o, err := r.storeCall(ctx, act.Call.Verb == lease.Read, act.Call.Verb == lease.Update, act.Call.Object)
	return func(now time.Time, c *Core) { c.HandleLeaseResult(now, act.Call.Seq, o, err) }
}

func (r *Router) conclusionCall(ctx context.Context, act ConclusionCall) input {
	o, err := r.storeCall(ctx, act.Call.Read, false, act.Call.Object)
	return func(now time.Time, c *Core) { c.HandleConclusionResult(now, act.Rollout, act.Call.Seq, o, err) }
}

// storeCall makes one store call; a write without an answer in time returns store.ErrOutcomeUnknown.
func (r *Router) storeCall(ctx context.Context, read, update bool, o store.Object) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, storeCallTimeout)
	defer cancel()
	switch {
	case read:
		return r.store.Get(ctx, o.Kind, o.Name)
	case update:
		return r.store.Update(ctx, o)
	default:
		return r.store.Create(ctx, o)
	}
}
