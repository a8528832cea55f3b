package queue

import (
	"time"

	"hickoryvane.example/core/ident"
)

// waitMargin is the multiple of the expected wait within which a new offer has to meet its deadline. Waits
// scatter widely: if exponentially, one of seven exceeds twice the mean. An offer that is refused at once can
// still be made elsewhere, one that lapses cannot.
const waitMargin = 2

// feasible reports whether a request that starts at the given time meets its deadline, behind the prompts
// that the engine has not read yet.
func (q *Queue) feasible(start time.Time, it *Item) bool {
	return !start.Add(q.speed.prefillTime(q.unread + it.unread())).After(it.Deadline)
}

// estimate returns the expected wait of a new offer. It is zero while the window has room and nothing
// waits ahead, and as long as no speed is learnt.
func (q *Queue) estimate(it *Item) time.Duration {
	ahead := q.ahead(it)
	if ahead == 0 && len(q.run) < q.win.requests && q.held+it.Charge() <= q.win.tokens {
		return 0
	}
	return q.speed.drainTime(ahead + q.held/ident.Tokens(max(len(q.run), 1)))
}

// ahead returns the waiting tokens that are expected to be granted before it: those of higher tiers and,
// in its own tier, those that a fair division between accounts puts before it. A single account that
// fills a tier does not make the deadlines of the others appear out of reach.
func (q *Queue) ahead(it *Item) (n ident.Tokens) {
	for _, t := range q.wait.tiers {
		if t.rank < it.Tier {
			n += t.tokens
		}
		if t.rank == it.Tier {
			n += t.ahead(it)
		}
	}
	return n
}

func (t *tier) ahead(it *Item) ident.Tokens {
	var own ident.Tokens
	weights := it.Weight
	for _, la := range t.lanes {
		if la.account != it.Account {
			weights += la.weight
			continue
		}
		for _, e := range la.entries {
			if !e.Deadline.After(it.Deadline) {
				own += e.Charge()
			}
		}
	}
	return min(t.tokens, own*ident.Tokens(weights)/ident.Tokens(it.Weight))
}
