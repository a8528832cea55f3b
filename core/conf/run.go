package conf

import (
	"context"
	"time"

	"hickoryvane.example/core/store"
)

// ObjectStore is the subset of store.Store that an Apply needs.
type ObjectStore interface {
	Get(ctx context.Context, kind, name string) (store.Object, error)
	Create(ctx context.Context, o store.Object) (store.Object, error)
	Update(ctx context.Context, o store.Object) (store.Object, error)
}

// RunApply makes the calls of an Apply until it has finished. clock returns the current time. pause waits for
// a duration and returns early when ctx is cancelled, which aborts the Apply.
func RunApply(ctx context.Context, st ObjectStore, a *Apply, clock func() time.Time, pause func(context.Context, time.Duration)) Outcome {
	for s := a.Step(); s.Op != Finished; s = a.Step() {
		if s.Wait > 0 {
			pause(ctx, s.Wait)
		}
		if ctx.Err() != nil {
			a.Abort(ctx.Err())
			break
		}
		o, err := callStore(ctx, st, s)
		a.HandleResult(clock(), o, err)
	}
	return a.Outcome()
}

// callStore makes the call of a step.
func callStore(ctx context.Context, st ObjectStore, s Step) (store.Object, error) {
	switch s.Op {
	case Create:
		return st.Create(ctx, s.Object)
	case Update:
		return st.Update(ctx, s.Object)
	default:
		return st.Get(ctx, s.Object.Kind, s.Object.Name)
	}
}

// Abort ends the sequence early, for example when the operator interrupts it.
func (a *Apply) Abort(err error) {
	switch {
	case a.step.Op == Finished:
	case a.maybeWritten:
		a.finish(Outcome{Result: Unknown, Err: err})
	default:
		a.finish(Outcome{Result: Unavailable, Err: err})
	}
}
