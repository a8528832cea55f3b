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
	claimSort = "claim"
	// callTimeout bounds one store call.
	callTimeout = 2 * time.Second
	// listInterval and listRare are the times between two reads of the list of VMs, by a process that
	// reads it for its region and by any other.
	listInterval = time.Second
	listRare     = 30 * time.Second
	// watchPause and watchPauseMax bound the pause before a lost watch is started again.
	watchPause    = 200 * time.Millisecond
	watchPauseMax = 5 * time.Second
)

// follow reads the platform's list of VMs.
func (r *Router) follow(ctx context.Context) error {
	tick := time.NewTicker(listInterval)
	defer tick.Stop()
	var read time.Time
	for {
		if r.watching.Load() || time.Since(read) >= listRare {
			if list, err := r.list.List(ctx); err == nil {
				read = time.Now()
				if r.inbox.Put(ctx, func(now time.Time, c *Core) { c.ListRead(now, list) }) != nil {
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
func (r *Router) watch(ctx context.Context, on bool) {
	r.watching.Store(on)
	if r.unwatch != nil {
		r.unwatch()
		r.unwatch = nil
	}
	if !on {
		return
	}
	ctx, r.unwatch = context.WithCancel(ctx)
	for _, sort := range []string{conf.ConfigSort, moves.Sort} {
		r.do(ctx, func(ctx context.Context) input { r.watchSort(ctx, sort); return nil })
	}
}

// watchSort lists the objects of a kind and watches them, again and again until ctx ends.
func (r *Router) watchSort(ctx context.Context, sort string) {
	pause := watchPause
	for ctx.Err() == nil {
		began := time.Now()
		err := r.watchOnce(ctx, sort)
		if ctx.Err() != nil {
			return
		}
		if err == nil { // the store ends each watch after a while
			continue
		}
		if time.Since(began) > watchPauseMax {
			pause = watchPause
		}
		r.out.Store(true)
		r.log.Log(event.StoreDown, "sort", sort, "error", err)
		_ = r.inbox.Put(ctx, func(now time.Time, c *Core) { c.StoreDown(now) })
		select {
		case <-ctx.Done():
		case <-time.After(pause/2 + rand.N(pause)):
		}
		pause = min(2*pause, watchPauseMax)
	}
}

func (r *Router) watchOnce(ctx context.Context, sort string) error {
	lctx, cancel := context.WithTimeout(ctx, callTimeout)
	objects, rev, err := r.store.List(lctx, sort)
	cancel()
	if err != nil {
		return err
	}
	if r.out.CompareAndSwap(true, false) {
		r.log.Log(event.StoreUp, "sort", sort, "objects", len(objects))
	}
	if sort == conf.ConfigSort && len(objects) == 0 {
		_ = r.inbox.Put(ctx, func(_ time.Time, c *Core) { c.StoreEmpty() })
	}
	for _, o := range objects {
		r.read(ctx, o)
	}
	return r.store.Watch(ctx, sort, rev, func(ch store.Change) {
		if !ch.Deleted { // a configuration never reverts, and the end of a move stays
			r.read(ctx, ch.Object)
		}
	})
}

func (r *Router) read(ctx context.Context, o store.Object) {
	_ = r.inbox.Put(ctx, func(now time.Time, c *Core) { // fails only when the process ends
		switch o.Kind {
		case conf.ConfigSort:
			c.ConfigRead(now, o.Value)
		case moves.Sort:
			c.MoveRead(now, o.Value)
		}
	})
}

// claim writes the claim of a keyed call, at most once.
func (r *Router) claim(ctx context.Context, act Create) input {
	ctx, cancel := context.WithTimeout(ctx, confirmTime)
	defer cancel()
	res, held, err := createClaim(ctx, r.store, act)
	if err != nil {
		r.log.Log(event.StoreDown, "claim", act.ID, "error", err)
	}
	return func(now time.Time, c *Core) { c.Claimed(now, act.Call, act.Claim.Attempt, res, held) }
}

// createClaim creates the object of a claim. After a lost answer it reads back; it never writes twice.
func createClaim(ctx context.Context, s store.Store, act Create) (res ClaimResult, held Claim, err error) {
	defer func() { err = errors.WithMessage(err, "claim") }()
	value, err := json.Marshal(act.Claim)
	if err != nil {
		return Out, held, err
	}
	o := store.Object{Kind: claimSort, Name: string(act.ID), Value: value}
	if act.Replace == "" {
		_, err = s.Create(ctx, o)
	} else {
		err = replaceClaim(ctx, s, o, act)
	}
	switch {
	case err == nil:
		return Won, act.Claim, nil
	case errors.Is(err, store.ErrExists), errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrOutcomeUnknown):
		return readClaim(ctx, s, act)
	default:
		return Out, held, err
	}
}

// replaceClaim replaces the claim of an attempt that was never dispatched, if it is still the one held.
func replaceClaim(ctx context.Context, s store.Store, o store.Object, act Create) error {
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

func readClaim(ctx context.Context, s store.Store, act Create) (res ClaimResult, held Claim, err error) {
	o, err := s.Get(ctx, claimSort, string(act.ID))
	if err != nil {
		return Out, held, err
	}
	if err = json.Unmarshal(o.Value, &held); err != nil {
		return Out, held, errors.Wrap(err, "malformed claim")
	}
	if held.Attempt == act.Claim.Attempt {
		return Won, held, nil
	}
	return Held, held, nil
}

func (r *Router) leaseCall(ctx context.Context, act LeaseCall) input {
	o, err := r.storeCall(ctx, act.Call.Verb == lease.Read, act.Call.Verb == lease.Update, act.Call.Object)
	return func(now time.Time, c *Core) { c.LeaseResult(now, act.Call.Seq, o, err) }
}

func (r *Router) endCall(ctx context.Context, act EndCall) input {
	o, err := r.storeCall(ctx, act.Call.Read, false, act.Call.Object)
	return func(now time.Time, c *Core) { c.EndResult(now, act.Move, act.Call.Seq, o, err) }
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
