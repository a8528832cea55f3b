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
func (r *Router) writeStates(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case o := <-r.stateWrites:
			r.writeState(ctx, o)
		}
	}
}

// judgeMoves looks at the moves, and hands out the states that this router has to write; r.mu is held.
func (r *Router) judgeRollouts(now time.Time) {
	for s, m := range r.rollouts {
		if m.State() == moves.Done && now.Sub(m.endedAt) >= retireDelay {
			r.retireRollout(s)
			continue
		}
		due, ok := m.DueState(now)
		if b := m.Verdict(); b != nil && !m.badReported {
			m.badReported, r.urgentHeartbeat = true, true
			r.log.Log(event.VersionJudgedBad, "service", s, "version", m.Request().To, "reason", b.Reason, "route", b.Route, "score", m.Judgement().Score, "age", m.Age(now))
		}
		if a := m.CanaryOnly(m.Request().To); a != m.canaryOnly {
			m.canaryOnly = a
			r.log.Log(event.RolloutShareChanged, "service", s, "version", m.Request().To, "apart", a, "score", m.Judgement().Score, "age", m.Age(now))
			r.updatePool(s)
		}
		if !ok || due != m.pendingState {
			m.pendingState, m.pendingFrom = due, now
		}
		if ok && m.object.Name != "" && now.Sub(m.pendingFrom) >= time.Duration(r.writeRank(now))*writeRankDelay {
			m.pendingFrom = now.Add(stateWriteRetry) // if this one fails
			o := m.object
			o.Status = r.catalogue.EncodeState(m.Request(), due)
			select {
			case r.stateWrites <- o:
			default: // earlier writes still wait for the store
			}
		}
	}
}

// retire ends a finished move, after which all versions are treated alike; r.mu is held.
func (r *Router) retireRollout(s ident.Service) {
	delete(r.rollouts, s)
	for _, t := range r.targets {
		if _, ok := r.serviceVersions(s)[t.Version]; t.Service == s && !ok {
			r.serviceVersions(s)[t.Version] = versionState{use: used}
		}
	}
	r.updatePool(s)
}

// rank returns the number of routers that go before this one; r.mu is held.
func (r *Router) writeRank(now time.Time) (n int) {
	for id, p := range r.peers {
		if id < r.cfg.Name && p.storeReachable && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			n++
		}
	}
	return n
}

// mark writes a status, and reads it back where it is not known which one holds.
func (r *Router) writeState(ctx context.Context, o store.Object) {
	out, err := r.store.UpdateStatus(ctx, o)
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrConflict) {
		out, err = r.store.Get(ctx, o.Kind, o.Name)
	}
	if err != nil {
		r.log.Log(event.StoreDown, "sort", o.Kind, "error", err)
		return
	}
	r.applyRollout(out, "")
}
