package ledger

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Grant records that capacity is reserved for id and returns the ticket of the grant.
// Errors: ErrAlreadyDispatched, ErrAlreadyGranted, ErrFull.
func (l *Ledger) Grant(now time.Time, id ident.RequestID) (ident.Ticket, error) {
	l.expireRecords(now)
	if _, ok := l.dispatched[id]; ok {
		return 0, ErrAlreadyDispatched
	}
	if _, ok := l.grants[id]; ok {
		return 0, ErrAlreadyGranted
	}
	if len(l.dispatched)+len(l.grants) >= l.recordsMax {
		return 0, ErrFull
	}
	l.lastTicket++
	l.grants[id] = grant{ticket: l.lastTicket, grantedAt: now}
	l.grantOrder = append(l.grantOrder, GrantRef{ID: id, Ticket: l.lastTicket})
	return l.lastTicket, nil
}

// Decline removes a grant that is not needed and reports whether it was outstanding.
func (l *Ledger) Decline(id ident.RequestID, t ident.Ticket) bool {
	g, ok := l.grants[id]
	if !ok || g.ticket != t {
		return false
	}
	delete(l.grants, id)
	return true
}

// Revoke removes any outstanding grant of id and returns the state after that. When it returns Absent, the agent
// may state that it never received the body: a body that arrives later fails with ErrInvalidTicket. The caller
// frees the reserved capacity of a revoked grant.
func (l *Ledger) Revoke(now time.Time, id ident.RequestID) State {
	delete(l.grants, id)
	return l.State(now, id)
}

// Dispatch checks the ticket and records the dispatch. Only after a nil error may the request be written to the
// target. Errors: ErrAlreadyDispatched, ErrInvalidTicket.
func (l *Ledger) Dispatch(now time.Time, id ident.RequestID, t ident.Ticket) error {
	if _, ok := l.dispatched[id]; ok {
		return ErrAlreadyDispatched
	}
	g, ok := l.grants[id]
	if !ok || g.ticket != t || l.grantExpired(now, g) {
		return ErrInvalidTicket
	}
	delete(l.grants, id)
	l.dispatched[id] = true
	return nil
}

// RecordEnd records the end of a dispatched request, which starts its retention time. A second call has no effect.
func (l *Ledger) RecordEnd(now time.Time, id ident.RequestID) {
	if !l.dispatched[id] {
		return
	}
	l.dispatched[id] = false
	l.ended = append(l.ended, endedRecord{id: id, endedAt: now})
}

// State returns the state of id.
func (l *Ledger) State(now time.Time, id ident.RequestID) State {
	l.expireRecords(now)
	if running, ok := l.dispatched[id]; ok {
		if running {
			return Running
		}
		return Ended
	}
	if g, ok := l.grants[id]; ok && !l.grantExpired(now, g) {
		return Granted
	}
	return Absent
}

// ExpireGrants removes the expired grants and returns them, the oldest first. It is called at least once a second;
// until then an expired grant prevents another grant of its id.
func (l *Ledger) ExpireGrants(now time.Time) (out []GrantRef) {
	for len(l.grantOrder) > 0 {
		o := l.grantOrder[0]
		g, ok := l.grants[o.ID]
		if ok && g.ticket == o.Ticket {
			if !l.grantExpired(now, g) {
				break
			}
			delete(l.grants, o.ID)
			out = append(out, o)
		}
		l.grantOrder = l.grantOrder[1:]
	}
	return out
}

// Len returns the number of dispatched ids held.
func (l *Ledger) Len() int { return len(l.dispatched) }

func (l *Ledger) grantExpired(now time.Time, g grant) bool {
	return now.Sub(g.grantedAt) >= l.grantTimeout
}

// expireRecords removes the dispatched ids whose retention time has passed.
func (l *Ledger) expireRecords(now time.Time) {
	n := 0
	for n < len(l.ended) && now.Sub(l.ended[n].endedAt) >= l.retention {
		delete(l.dispatched, l.ended[n].id)
		n++
	}
	l.ended = l.ended[n:]
}
