package store

import (
	"context"
	"time"

	"github.com/pkg/errors"
)

const (
	// settleBase is the first pause between read-backs; it doubles up to settleCap.
	firstReadBackPause = 50 * time.Millisecond
	readBackPauseMax   = 2 * time.Second
)

// Write creates o when o.Rev is empty and updates it otherwise. A lost answer is resolved by Settle.
func Write(ctx context.Context, s Store, o Object, same func(Object) bool) (out Object, err error) {
	out, err = writeOnce(ctx, s, o)
	if errors.Is(err, ErrOutcomeUnknown) {
		return ResolveWrite(ctx, s, o, same)
	}
	return out, err
}

// Settle resolves a write of o that ended with ErrUnsure. It reads the object back and returns it when
// same reports that it is what the write would have left. It repeats the write only after it has read
// that the object is still as it was before, and under the condition that it stays so; a first write
// that arrives late is therefore found by the next read and never overwritten.
//
// It returns ErrExists, ErrConflict or ErrNotFound, with the object found, when another writer came
// first, and ErrUnsure when ctx ended before the API could be read.
func ResolveWrite(ctx context.Context, s Store, o Object, same func(Object) bool) (out Object, err error) {
	defer func() { err = errors.WithMessagef(err, "settle %s/%s", o.Kind, o.Name) }()
	for pause := firstReadBackPause; ; pause = min(2*pause, readBackPauseMax) {
		out, err = s.Get(ctx, o.Kind, o.Name)
		switch {
		case err == nil && same(out):
			return out, nil
		case err == nil && o.Rev == "":
			return out, ErrExists
		case err == nil && out.Rev != o.Rev:
			return out, ErrConflict
		case err == nil, errors.Is(err, ErrNotFound) && o.Rev == "":
			if out, err = writeOnce(ctx, s, o); err == nil || !needsReadBack(err) {
				return out, err
			}
		case errors.Is(err, ErrNotFound):
			return out, err
		}
		if !sleep(ctx, pause) {
			return out, errors.Wrapf(ErrOutcomeUnknown, "%v, after: %v", ctx.Err(), err)
		}
	}
}

// again reports whether the object must be read once more: the conflict may be with our own first write.
func needsReadBack(err error) bool {
	for _, e := range []error{ErrOutcomeUnknown, ErrUnavailable, ErrExists, ErrConflict} {
		if errors.Is(err, e) {
			return true
		}
	}
	return false
}

func writeOnce(ctx context.Context, s Store, o Object) (Object, error) {
	if o.Rev == "" {
		return s.Create(ctx, o)
	}
	return s.Update(ctx, o)
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
