package ledger

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Grant records that room is reserved for id and returns its ticket.
// Errors: ErrDispatched, ErrGranted, ErrFull.
func (l *Ledger) Grant(now time.Time, id ident.RequestID) (ident.Ticket, error) {
	l.forget(now)
	if _, ok := l.ran[id]; ok {
		return 0, ErrDispatched
	}
	if _, ok := l.grants[id]; ok {
		return 0, ErrGranted
	}
	if len(l.ran)+len(l.grants) >= l.max {
		return 0, ErrFull
	}
	l.next++
	l.grants[id] = grant{ticket: l.next, at: now}
	l.order = append(l.order, Lapsed{ID: id, Ticket: l.next})
	return l.next, nil
}

// Decline ends a grant that is not needed and reports whether it was outstanding.
func (l *Ledger) Decline(id ident.RequestID, t ident.Ticket) bool {
	g, ok := l.grants[id]
	if !ok || g.ticket != t {
		return false
	}
	delete(l.grants, id)
	return true
}

// Revoke ends any outstanding grant of id and returns the state after that. When it returns Absent,
// the agent may state that it never received the body: a body that arrives later fails with ErrTicket.
func (l *Ledger) Revoke(now time.Time, id ident.RequestID) State {
	delete(l.grants, id)
	return l.State(now, id)
}

// Dispatch checks the ticket and records the dispatch. Only after a nil error may the request be
// written to the target. Errors: ErrDispatched, ErrTicket.
func (l *Ledger) Dispatch(now time.Time, id ident.RequestID, t ident.Ticket) error {
	if _, ok := l.ran[id]; ok {
		return ErrDispatched
	}
	g, ok := l.grants[id]
	if !ok || g.ticket != t || l.expired(now, g) {
		return ErrTicket
	}
	delete(l.grants, id)
	l.ran[id] = true
	return nil
}

// End records the end of a dispatched request; its retention time starts. A second call has no effect.
func (l *Ledger) End(now time.Time, id ident.RequestID) {
	if !l.ran[id] {
		return
	}
	l.ran[id] = false
	l.ended = append(l.ended, record{id: id, at: now})
}

// State returns what the ledger knows of id.
func (l *Ledger) State(now time.Time, id ident.RequestID) State {
	l.forget(now)
	if running, ok := l.ran[id]; ok {
		if running {
			return Running
		}
		return Ended
	}
	if g, ok := l.grants[id]; ok && !l.expired(now, g) {
		return Granted
	}
	return Absent
}

// Lapse removes the grants that expired and returns them, the oldest first. It is called at least once
// a second; an expired grant holds its id until then.
func (l *Ledger) Lapse(now time.Time) (out []Lapsed) {
	for len(l.order) > 0 {
		o := l.order[0]
		g, ok := l.grants[o.ID]
		if ok && g.ticket == o.Ticket {
			if !l.expired(now, g) {
				break
			}
			delete(l.grants, o.ID)
			out = append(out, o)
		}
		l.order = l.order[1:]
	}
	return out
}

// Len returns the number of dispatched ids held.
func (l *Ledger) Len() int { return len(l.ran) }

func (l *Ledger) expired(now time.Time, g grant) bool { return now.Sub(g.at) >= l.grantTime }

// forget drops the records whose retention time is over.
func (l *Ledger) forget(now time.Time) {
	n := 0
	for n < len(l.ended) && now.Sub(l.ended[n].at) >= l.retention {
		delete(l.ran, l.ended[n].id)
		n++
	}
	l.ended = l.ended[n:]
}
