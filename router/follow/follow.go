// Package follow keeps a router up to date with the store: it lists and watches the objects of each kind, repeatedly,
// and chooses with core/scout how the watches are made. The router applies what it reports.
package follow

import (
	"context"
	"sync"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
)

const (
	// MinRetry is the pause after a failed call of the store. It doubles up to MaxRetry.
	MinRetry = 100 * time.Millisecond
	// MaxRetry is below the time within which a change has to be in force.
	MaxRetry = 800 * time.Millisecond
)

// Source is the store as far as it is followed.
type Source interface {
	List(ctx context.Context, kind string) ([]store.Object, store.Rev, error)
	Watch(ctx context.Context, kind string, rev store.Rev, f func(store.Change)) error
}

// Handler applies the objects of one kind and their changes.
type Handler struct {
	Kind string
	// OnList gets the objects and the revision of the store at the time of the list.
	OnList   func(l []store.Object, asOf store.Rev)
	OnChange func(store.Change)
	// OnUnreachable is called when the store cannot be reached, and OnRestored before the first list after a restore from
	// an older copy.
	OnUnreachable, OnRestored func()
}

// Follower follows the store. Its methods are safe for concurrent use.
type Follower struct {
	source Source
	log    *event.Logger
	// pacer is nil if the store has no modes.
	pacer Pacer

	mu sync.Mutex
	// cancels end the watches by kind.
	cancels map[string]context.CancelCauseFunc
	mode    scout.Mode
	lag     scout.Lag
}

// New returns a Follower of a store; p is nil if the store has no modes.
func New(s Source, l *event.Logger, p Pacer) *Follower {
	return &Follower{source: s, log: l, pacer: p, cancels: map[string]context.CancelCauseFunc{}}
}

// Follow lists the objects of a kind and watches them, repeatedly until ctx ends.
func (f *Follower) Follow(ctx context.Context, h Handler) error {
	wait, down, downSince, last := MinRetry, false, time.Now(), store.Rev("")
	lost, lostWait := time.Time{}, MinRetry
	for ctx.Err() == nil {
		objects, rev, err := f.source.List(ctx, h.Kind)
		if err == nil {
			if down {
				down = false
				f.log.Log(event.StoreUp, "sort", h.Kind, "objects", len(objects), "rev", rev, "away", time.Since(downSince))
			}
			if store.Restored(last, rev) {
				f.log.Log(event.StoreRestored, "sort", h.Kind, "before", last, "rev", rev, "objects", len(objects))
				if h.OnRestored != nil {
					h.OnRestored()
				}
			}
			last = rev
			h.OnList(objects, rev)
			began := time.Now()
			if err = f.watch(ctx, h, rev); time.Since(began) >= MaxRetry {
				wait = MinRetry // a store that answers lists and refuses watches is not listed every MinRetry
			}
		}
		switch {
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, errRestarted):
			continue
		case errors.Is(err, store.ErrUnreadable):
			f.log.Log(event.ChangeUnreadable, "sort", h.Kind, "rev", rev)
			Pause(ctx, MaxRetry)
			continue
		case errors.Is(err, store.ErrRevTooOld):
			f.log.Log(event.StoreHistoryLost, "sort", h.Kind, "rev", rev)
			if time.Since(lost) < MaxRetry {
				Pause(ctx, lostWait)
				lostWait = min(2*lostWait, MaxRetry)
			} else {
				lostWait = MinRetry
			}
			lost = time.Now()
			continue
		case err == nil:
			continue
		}
		if !down {
			down, downSince = true, time.Now()
			f.log.Log(event.StoreDown, "sort", h.Kind, "error", err)
		}
		if h.OnUnreachable != nil {
			h.OnUnreachable()
		}
		Pause(ctx, wait)
		wait = min(2*wait, MaxRetry)
	}
	return nil
}

// errRestarted means that restart ended a watch.
var errRestarted = errors.New("watch is started again")

// watch watches a kind until an error or restart.
func (f *Follower) watch(ctx context.Context, h Handler, rev store.Rev) error {
	wctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f.mu.Lock()
	f.cancels[h.Kind] = cancel
	f.mu.Unlock()
	err := f.source.Watch(wctx, h.Kind, rev, h.OnChange)
	if errors.Is(context.Cause(wctx), errRestarted) {
		return errRestarted
	}
	return err
}

// restart makes the watch of a kind list the objects again; f.mu is held.
func (f *Follower) restart(kind string) {
	if cancel, ok := f.cancels[kind]; ok {
		cancel(errRestarted)
	}
}

// Pause waits for d or the end of ctx.
func Pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
