package entry

import (
	"context"
	"encoding/json"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/time/rate"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/store"
)

const (
	// claimRetention is the age from which a claim in the object API is deleted.
	claimRetention = 24 * time.Hour
	// sweepInterval is the interval between two deletions of old claims.
	sweepInterval = time.Hour
	// deletionsPerSecond limits the rate of deletions, as they count as writes.
	deletionsPerSecond = 10
	// sweepTimeout limits one round of deletions.
	sweepTimeout = 30 * time.Minute
)

// sweepTick requests the deletion of old claims while this router holds the lease.
func (c *Core) sweepTick(now time.Time) {
	_, _, held := c.lease.Held(now)
	if !held || now.Sub(c.periodic.lastSweep) < sweepInterval {
		return
	}
	c.periodic.lastSweep = now
	c.emit(SweepClaims{Before: now.Add(-claimRetention)})
}

// sweepClaims deletes the claims that were created before a time. A claim that was replaced meanwhile is kept,
// because a deletion names the version that was read.
func (r *Router) sweepClaims(ctx context.Context, before time.Time) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	if err := deleteClaims(ctx, r.store, before); err != nil {
		r.log.Log(event.StoreDown, "sort", claimKind, "error", err)
	}
}

func deleteClaims(ctx context.Context, s store.Store, before time.Time) (err error) {
	defer func() { err = errors.WithMessage(err, "delete old claims") }()
	objects, _, err := s.List(ctx, claimKind)
	if err != nil {
		return err
	}
	limit := rate.NewLimiter(deletionsPerSecond, 1)
	for _, o := range objects {
		var claim Claim
		if json.Unmarshal(o.Value, &claim) != nil || claim.CreatedUnix >= before.Unix() {
			continue
		}
		if err = limit.Wait(ctx); err != nil {
			return err
		}
		if err = s.Delete(ctx, o); errors.Is(err, store.ErrUnavailable) {
			return err
		}
	}
	return nil
}
