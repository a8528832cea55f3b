package direct

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

// settle writes the states of moves.
func (r *Router) settle(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-r.marks:
			r.mark(ctx, o)
		}
	}
}

// judgeMoves looks at the moves, and hands out the states that this router has to write; r.mu is held.
func (r *Router) judgeMoves(now time.Time) {
	for s, m := range r.moves {
		if m.State() == moves.Done && now.Sub(m.ended) >= retireTime {
			r.retire(s)
			continue
		}
		due, ok := m.Due(now)
		if b := m.Bad(); b != nil && !m.badTold {
			m.badTold, r.urgent = true, true
			r.log.Log(event.MoveBad, "service", s, "version", m.Order().To, "reason", b.Reason, "route", b.Route, "score", m.Judged().Score, "age", m.Age(now))
		}
		if a := m.Apart(m.Order().To); a != m.apart {
			m.apart = a
			r.log.Log(event.MoveStage, "service", s, "version", m.Order().To, "apart", a, "score", m.Judged().Score, "age", m.Age(now))
			r.regroup(s)
		}
		if !ok || due != m.due {
			m.due, m.dueAt = due, now
		}
		if ok && m.object.Name != "" && now.Sub(m.dueAt) >= time.Duration(r.rank(now))*rankDelay {
			m.dueAt = now.Add(markRetry) // if this one fails
			o := m.object
			o.Status = r.catalogue.Mark(m.Order(), due)
			select {
			case r.marks <- o:
			default: // earlier writes still wait for the store
			}
		}
	}
}

// retire ends a finished move, after which all versions are treated alike; r.mu is held.
func (r *Router) retire(s ident.Service) {
	delete(r.moves, s)
	for _, t := range r.targets {
		if _, ok := r.uses(s)[t.Version]; t.Service == s && !ok {
			r.uses(s)[t.Version] = version{use: used}
		}
	}
	r.regroup(s)
}

// rank returns the number of routers that go before this one; r.mu is held.
func (r *Router) rank(now time.Time) (n int) {
	for id, p := range r.peers {
		if id < r.cfg.Name && p.linked && now.Sub(p.heard) < r.deaf(p) {
			n++
		}
	}
	return n
}

// mark writes a status, and reads it back where it is not known which one holds.
func (r *Router) mark(ctx context.Context, o store.Object) {
	out, err := r.store.UpdateStatus(ctx, o)
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrConflict) {
		out, err = r.store.Get(ctx, o.Kind, o.Name)
	}
	if err != nil {
		r.log.Log(event.StoreDown, "sort", o.Kind, "error", err)
		return
	}
	r.order(out, "")
}
