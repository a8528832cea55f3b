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

// writeStates writes the states of rollouts to the store until ctx ends.
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

// judgeRollouts checks the rollouts and queues the states that this router has to write; r.mu is held.
func (r *Router) judgeRollouts(now time.Time) {
	for s, m := range r.rollouts {
		due, ok := m.DueState(now)
		if m.State() == moves.Done && now.Sub(m.endedAt) >= retireDelay && !ok {
			r.retireRollout(s)
			continue
		}
		if v := m.Verdict(); v != nil && !m.badReported {
			m.badReported, r.urgentHeartbeats = true, urgentHeartbeatsMax
			r.log.Log(event.VersionJudgedBad, "service", s, "version", m.Request().To, "reason", v.Reason, "route", v.Route, "score", m.Judgement().Score, "age", m.Age(now))
		}
		if only := m.CanaryOnly(m.Request().To); only != m.canaryOnly {
			m.canaryOnly = only
			r.log.Log(event.RolloutShareChanged, "service", s, "version", m.Request().To, "apart", only, "score", m.Judgement().Score, "age", m.Age(now))
			r.updatePool(s)
		}
		if !ok || due != m.pendingState {
			m.pendingState, m.pendingFrom = due, now
		}
		if ok && m.object.Name != "" && now.Sub(m.pendingFrom) >= time.Duration(r.writeRank(now))*writeRankDelay {
			m.pendingFrom = now.Add(stateWriteRetry) // when this write fails
			o := m.object
			if m.State() != moves.Running && !m.lossReported {
				m.lossReported = true
				r.log.Log(event.RecordWrittenAgain, "sort", o.Kind, "name", o.Name)
			}
			o.Status = r.catalogue.EncodeState(m.Request(), due)
			select {
			case r.stateWrites <- o:
			default: // earlier writes are still waiting for the store
			}
		}
	}
}

// retireRollout removes a finished rollout, after which all versions are treated alike; r.mu is held.
func (r *Router) retireRollout(s ident.Service) {
	m := r.rollouts[s]
	r.finished[s] = pastRollout{m.Request(), m.object.Rev}
	delete(r.rollouts, s)
	for _, t := range r.targets {
		if _, ok := r.serviceVersions(s)[t.Version]; t.Service == s && !ok {
			r.serviceVersions(s)[t.Version] = versionState{use: used}
		}
	}
	r.updatePool(s)
}

// writeRank returns the number of routers that write a state before this one; r.mu is held.
func (r *Router) writeRank(now time.Time) (n int) {
	for id, p := range r.peers {
		if id < r.cfg.Name && p.storeReachable && now.Sub(p.lastSeen) < r.peerTimeout(p) {
			n++
		}
	}
	return n
}

// writeState writes the status of a rollout request. It reads the object back when it is unknown which status the
// store holds.
func (r *Router) writeState(ctx context.Context, o store.Object) {
	out, err := r.store.UpdateStatus(ctx, o)
	if errors.Is(err, store.ErrOutcomeUnknown) || errors.Is(err, store.ErrConflict) {
		out, err = r.store.Get(ctx, o.Kind, o.Name)
	}
	if err != nil {
		r.log.Log(event.StoreDown, "sort", o.Kind, "error", err)
		if errors.Is(err, store.ErrNotFound) {
			r.dropState(o)
		}
		return
	}
	r.applyRollout(out, "")
}

// dropState ends the writes of a final state whose request the store does not hold any more. A running rollout goes on, as
// its request may be written again.
func (r *Router) dropState(o store.Object) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.rollouts[ident.Service(o.Name)]
	if ok && m.object.Rev == o.Rev && m.State() != moves.Running {
		m.SetRecorded(m.State())
	}
}
