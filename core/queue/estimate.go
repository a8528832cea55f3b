package queue

import (
	"time"

	"hickoryvane.example/core/ident"
)

// waitPart is the part of the expected wait within which a new offer has to meet its deadline. An offer waits
// at two agents and takes the first grant, and the mean drain speed of all tiers is lower than that of the
// highest tier alone. docs/BENCH.md has the goodput with 0, 0.5, 1 and 2: with 2 requests of the highest tier
// were refused by eight agents on arrival, with 0 too many lapsed.
const waitFraction = 0.5

// feasible reports whether a request that starts now meets its deadline, behind the prompts that the engine
// has not read yet.
func (q *Queue) feasible(now time.Time, it *Item) bool {
	return !now.Add(q.rates.prefillTime(q.pendingPrompt + it.uncachedPrompt())).After(it.Deadline)
}

// reachable reports whether a new offer can meet its deadline. The engine reads the prompts that it holds
// while the offer waits.
func (q *Queue) feasibleOnArrival(now time.Time, it *Item) bool {
	wait := time.Duration(waitFraction * float64(q.expectedWait(it)))
	start := now.Add(max(wait, q.rates.prefillTime(q.pendingPrompt)))
	return !start.Add(q.rates.prefillTime(it.uncachedPrompt())).After(it.Deadline)
}

// estimate returns the expected wait of a new offer. It is zero while the window has room and nothing
// waits ahead, and as long as no speed is learnt.
func (q *Queue) expectedWait(it *Item) time.Duration {
	ahead := q.tokensAhead(it)
	if ahead == 0 && len(q.active) < q.window.requests && q.held+it.Charge() <= q.window.tokens {
		return 0
	}
	return q.rates.drainTime(ahead + q.held/ident.Tokens(max(len(q.active), 1)))
}

// ahead returns the waiting tokens that are expected to be granted before it: those of higher tiers and,
// in its own tier, those that a fair division between accounts puts before it. A single account that
// fills a tier does not make the deadlines of the others appear out of reach.
func (q *Queue) tokensAhead(it *Item) (n ident.Tokens) {
	for _, t := range q.waiting.tiers {
		if t.rank < it.Tier {
			n += t.tokens
		}
		if t.rank == it.Tier {
			n += t.tokensAhead(it)
		}
	}
	return n
}

func (t *tier) tokensAhead(it *Item) ident.Tokens {
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
