package queue

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// Next takes the best offer for which there is room and reserves the room. It also returns the offers
// that were found unable to meet their deadline. It is called until ok is false.
func (q *Queue) Next(now time.Time) (it Item, refused []Refusal, ok bool) {
	for {
		e := q.best(now)
		if e == nil {
			return it, refused, false
		}
		if !q.feasible(now, &e.Item) {
			refused = append(refused, q.refuseLate(e))
			continue
		}
		if !q.hasRoom(e.Charge()) {
			return it, refused, false
		}
		q.reserve(now, e)
		return e.Item, refused, true
	}
}

// Lapse returns the offers that can no longer meet their deadline, and the grants that were not started
// within the grant time. It also lets the window follow the engine; it is called at least every 100 ms.
func (q *Queue) Expire(now time.Time) (refused []Refusal, lapsed []Item) {
	q.observe(now)
	for _, e := range q.waiting.all() {
		if !q.feasible(now, &e.Item) {
			refused = append(refused, q.refuseLate(e))
		}
	}
	for _, r := range q.active {
		if !r.started && now.Sub(r.grantedAt) >= q.grantTimeout {
			q.cancelGrant(r)
			lapsed = append(lapsed, r.Item)
		}
	}
	slices.SortFunc(lapsed, func(a, b Item) int {
		return cmp.Or(a.Arrived.Compare(b.Arrived), cmp.Compare(a.ID, b.ID))
	})
	return refused, lapsed
}

// best returns the offer that is next in order, or nil when none may be granted now.
func (q *Queue) best(now time.Time) *entry {
	if q.alone {
		return nil
	}
	for _, t := range q.waiting.tiers {
		var best *entry
		var least float64
		for _, la := range t.lanes {
			e := q.firstEligible(now, la)
			if served := q.fair.served(la.account); e != nil && (best == nil || served < least) {
				best, least = e, served
			}
		}
		if best != nil {
			if best.Alone && len(q.active) > 0 {
				return nil // the engine drains for it
			}
			return best
		}
	}
	return nil
}

// first returns the first offer of a lane. One that is to run alone is passed over while the engine is
// busy, until half of its time is over; then the engine is left to drain for it.
func (q *Queue) firstEligible(now time.Time, la *lane) *entry {
	for _, e := range la.entries {
		half := e.Deadline.Sub(e.Arrived) / 2
		if !e.Alone || len(q.active) == 0 || now.Sub(e.Arrived) >= half {
			return e
		}
	}
	return nil
}

// room reports whether the window has room. A request larger than the token window runs on an empty engine.
// There is none while the engine holds prompts that take it longer to read than the target of the first
// token: it would read further prompts in the order of their arrival, and not of their tiers.
func (q *Queue) hasRoom(n ident.Tokens) bool {
	switch {
	case len(q.active) == 0:
		return true
	case q.rates.prefillTime(q.pendingPrompt) > q.window.firstTokenTarget:
		return false
	case len(q.active) >= q.window.requests:
		q.window.requestBound = true
		return false
	case q.held+n > q.window.tokens:
		q.window.tokenBound = true
		return false
	}
	return true
}

func (q *Queue) reserve(now time.Time, e *entry) {
	q.waiting.remove(e)
	q.fair.grant(e.Account, e.Charge(), e.Weight)
	q.active[e.ID] = &run{Item: e.Item, grantedAt: now}
	q.held += e.Charge()
	q.alone = e.Alone
}

// release frees the room of a granted or running request.
func (q *Queue) release(r *run) {
	delete(q.active, r.ID)
	q.fair.removeRequest(r.Account)
	q.held -= r.Charge()
	if r.Alone {
		q.alone = false
	}
}

// giveBack frees the room of a request that did not start and undoes its charge.
func (q *Queue) cancelGrant(r *run) {
	q.fair.charge(r.Account, -r.Charge(), r.Weight)
	q.release(r)
}

func (q *Queue) refuseLate(e *entry) Refusal {
	q.dequeue(e)
	return Refusal{Item: e.Item, Fault: fault.NotRunf(fault.Deadline, "deadline can no longer be met")}
}
