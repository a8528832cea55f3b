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
	// claimSort is the kind of the objects that hold claims of keyed calls.
	claimKind = "claim"
	// callTimeout bounds one store call.
	callTimeout = 2 * time.Second
	// listInterval and listRare are the times between two reads of the list of VMs, by a process that
	// reads it for its region and by any other.
	listInterval      = time.Second
	listIntervalOther = 30 * time.Second
	// watchPause and watchPauseMax bound the pause before a lost watch is started again.
	watchBackoff    = 200 * time.Millisecond
	watchBackoffMax = 5 * time.Second
)

// follow reads the platform's list of VMs.
func (r *Router) followVMList(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	var read time.Time
	for {
		if r.watching.Load() || time.Since(read) >= listIntervalOther {
			if list, err := r.lister.List(ctx); err == nil {
				read = time.Now()
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

// watch starts or stops the watching of the object API.
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
	for _, sort := range []string{conf.ConfigKind, moves.ObjectKind} {
		r.startWorker(ctx, func(ctx context.Context) input { r.watchKind(ctx, sort); return nil })
	}
}

// watchSort lists the objects of a kind and watches them, again and again until ctx ends.
func (r *Router) watchKind(ctx context.Context, sort string) {
	pause := watchBackoff
	for ctx.Err() == nil {
		began := time.Now()
		err := r.watchOnce(ctx, sort)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // the store ends each watch after a while
			continue
		}
		if time.Since(began) > watchBackoffMax {
			pause = watchBackoff
		}
		r.storeFailed.Store(true)
		r.log.Log(event.StoreDown, "sort", sort, "error", err)
		_ = r.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandleStoreDown(now) })
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, watchBackoffMax)
	}
}

func (r *Router) watchOnce(ctx context.Context, sort string) error {
	lctx, cancel := context.WithTimeout(ctx, callTimeout)
	objects, rev, err := r.store.List(lctx, sort)
	cancel()
	if err != nil {
		return err
	}
	if r.storeFailed.CompareAndSwap(true, false) {
		r.log.Log(event.StoreUp, "sort", sort, "objects", len(objects))
	}
	if sort == conf.ConfigKind && len(objects) == 0 {
		_ = r.inbox.Put(ctx, func(_ time.Time, c *Core) { c.HandleStoreEmpty() })
	}
	for _, o := range objects {
		r.applyObject(ctx, o)
	}
	return r.store.Watch(ctx, sort, rev, func(ch store.Change) {
		if !ch.Deleted { // a configuration never reverts, and the end of a move stays
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

// claim writes the claim of a keyed call, at most once.
func (r *Router) recordClaim(ctx context.Context, act CreateClaim) input {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	res, held, err := writeClaim(ctx, r.store, act)
	if err != nil {
		r.log.Log(event.StoreDown, "claim", act.ID, "error", err)
	}
	return func(now time.Time, c *Core) { c.HandleClaimResult(now, act.Call, act.Claim.Attempt, res, held) }
}

// createClaim creates the object of a claim. After a lost answer it reads back; it never writes twice.
func writeClaim(ctx context.Context, s store.Store, act CreateClaim) (res ClaimOutcome, held Claim, err error) {
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

// replaceClaim replaces the claim of an attempt that was never dispatched, if it is still the one held.
func replaceClaim(ctx context.Context, s store.Store, o store.Object, act CreateClaim) error {
	cur, err := s.Get(ctx, o.Kind, o.Name)
	if err != nil {
		return err
	}
	var held Claim
	if err = json.Unmarshal(cur.Value, &held); err != nil {
		return errors.Wrap(err, "malformed claim")
	}
	if held.Attempt != act.Replace {
		return store.ErrConflict
	}
	o.Rev = cur.Rev
	_, err = s.Update(ctx, o)
	return err
}

func readClaim(ctx context.Context, s store.Store, act CreateClaim) (res ClaimOutcome, held Claim, err error) {
	o, err := s.Get(ctx, claimKind, string(act.ID))
	if err != nil {
		return ClaimUnknown, held, err
	}
	if err = json.Unmarshal(o.Value, &held); err != nil {
		return ClaimUnknown, held, errors.Wrap(err, "malformed claim")
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

// storeCall makes one call; without an answer in time a write is store.ErrUnsure.
func (r *Router) storeCall(ctx context.Context, read, update bool, o store.Object) (store.Object, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
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
