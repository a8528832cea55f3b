package node

import (
	"context"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/store"
)

const (
	// probeInterval is the time between two probes of the target.
	probeInterval = 250 * time.Millisecond
	// probeFails is the number of failed probes in sequence after which the target counts as down.
	probeFailuresMax = 4
	// loadInterval is the time between two reads of the target's load report, which names its version.
	loadInterval = time.Second
	// cacheInterval is the time between two reads of the target's cache events.
	cacheInterval = 500 * time.Millisecond
)

// probe tells the core whether the target answers.
func (a *Agent) probeTarget(ctx context.Context) error {
	tick := time.NewTicker(probeInterval)
	defer tick.Stop()
	fails := 0
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		if a.target.Probe(ctx) == nil {
			fails = 0
		} else {
			fails++
		}
		if fails > 0 && fails < probeFailuresMax {
			continue
		}
		up := fails == 0
		if a.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandleProbe(now, up) }) != nil {
			return nil
		}
	}
}

// follow reads the cache events of an engine. After a gap it reads the whole contents.
func (a *Agent) watchCache(ctx context.Context, e *target.Engine) error {
	tick := time.NewTicker(cacheInterval)
	defer tick.Stop()
	var seq ident.Seq
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		events, err := e.CacheEventsAfter(ctx, seq)
		if err != nil || len(events) == 0 {
			continue // the probe tells about an engine that is down
		}
		if contiguous(seq, events) {
			seq = events[len(events)-1].Seq
			if a.inbox.Put(ctx, func(_ time.Time, c *Core) { c.HandleCacheEvents(events) }) != nil {
				return nil
			}
			continue
		}
		all, err := e.ReadCache(ctx)
		if err != nil {
			continue
		}
		seq = all.Seq
		if a.inbox.Put(ctx, func(_ time.Time, c *Core) { c.HandleCacheContents(all.Blocks) }) != nil {
			return nil
		}
	}
}

// report tells the core which version an engine runs.
func (a *Agent) watchVersion(ctx context.Context, e *target.Engine) error {
	tick := time.NewTicker(loadInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		}
		l, err := e.Load(ctx)
		if err != nil || l.Version == "" {
			continue // the probe tells about an engine that is down
		}
		if a.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandleReportedVersion(now, l.Version) }) != nil {
			return nil
		}
	}
}

func contiguous(seq ident.Seq, events []target.CacheEvent) bool {
	for _, e := range events {
		if e.Seq != seq+1 {
			return false
		}
		seq = e.Seq
	}
	return true
}

// readLease returns the record of a lease; one that does not exist is the zero record.
func readLease(ctx context.Context, s store.Store, name string) (r lease.Record, err error) {
	o, err := s.Get(ctx, lease.ObjectKind, name)
	if errors.Is(err, store.ErrNotFound) {
		return r, nil
	}
	if err != nil {
		return r, errors.WithMessage(err, "read lease")
	}
	return lease.Decode(o.Value)
}

// source serves the admin address.
type source struct {
	*Agent
	// ctx ends with the process; connections of peers outlive their HTTP requests.
	ctx context.Context
}

// Accept implements admin.Source.
func (s *source) Accept(w http.ResponseWriter, r *http.Request) { s.links.Accept(s.ctx, w, r) }

// Status implements admin.Source.
func (s *source) Status(ctx context.Context) (st conf.Status, ok bool) {
	st, ok = admin.QueryStatus(ctx, s.inbox, func(c *Core) conf.Status { return c.status(s.cfg.Centre) })
	st.Sent, st.Received = s.links.Bytes()
	return st, ok
}
