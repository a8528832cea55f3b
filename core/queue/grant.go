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
			refused = append(refused, q.late(e))
			continue
		}
		if !q.room(e.Charge()) {
			return it, refused, false
		}
		q.reserve(now, e)
		return e.Item, refused, true
	}
}

// Lapse returns the offers that can no longer meet their deadline, and the grants that were not started
// within the grant time. It also lets the window follow the engine; it is called at least every 100 ms.
func (q *Queue) Lapse(now time.Time) (refused []Refusal, lapsed []Item) {
	q.observe(now)
	for _, e := range q.wait.all() {
		if !q.feasible(now, &e.Item) {
			refused = append(refused, q.late(e))
		}
	}
	for _, r := range q.run {
		if !r.started && now.Sub(r.granted) >= q.grantTime {
			q.giveBack(r)
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
	for _, t := range q.wait.tiers {
		var best *entry
		var least float64
		for _, la := range t.lanes {
			e := q.first(now, la)
			if served := q.fair.served(la.account); e != nil && (best == nil || served < least) {
				best, least = e, served
			}
		}
		if best != nil {
			if best.Alone && len(q.run) > 0 {
				return nil // the engine drains for it
			}
			return best
		}
	}
	return nil
}

// first returns the first offer of a lane. One that is to run alone is passed over while the engine is
// busy, until half of its time is over; then the engine is left to drain for it.
func (q *Queue) first(now time.Time, la *lane) *entry {
	for _, e := range la.entries {
		half := e.Deadline.Sub(e.Arrived) / 2
		if !e.Alone || len(q.run) == 0 || now.Sub(e.Arrived) >= half {
			return e
		}
	}
	return nil
}

// room reports whether the window has room. A request larger than the token window runs on an empty engine.
// There is none while the engine holds prompts that take it longer to read than the target of the first
// token: it would read further prompts in the order of their arrival, and not of their tiers.
func (q *Queue) room(n ident.Tokens) bool {
	switch {
	case len(q.run) == 0:
		return true
	case q.speed.prefillTime(q.unread) > q.win.firstTarget:
		return false
	case len(q.run) >= q.win.requests:
		q.win.requestBound = true
		return false
	case q.held+n > q.win.tokens:
		q.win.tokenBound = true
		return false
	}
	return true
}

func (q *Queue) reserve(now time.Time, e *entry) {
	q.wait.remove(e)
	q.fair.grant(e.Account, e.Charge(), e.Weight)
	q.run[e.ID] = &run{Item: e.Item, granted: now}
	q.held += e.Charge()
	q.alone = e.Alone
}

// release frees the room of a granted or running request.
func (q *Queue) release(r *run) {
	delete(q.run, r.ID)
	q.fair.leave(r.Account)
	q.held -= r.Charge()
	if r.Alone {
		q.alone = false
	}
}

// giveBack frees the room of a request that did not start and undoes its charge.
func (q *Queue) giveBack(r *run) {
	q.fair.charge(r.Account, -r.Charge(), r.Weight)
	q.release(r)
}

func (q *Queue) late(e *entry) Refusal {
	q.take(e)
	return Refusal{Item: e.Item, Fault: fault.NotRunf(fault.Deadline, "deadline can no longer be met")}
}
