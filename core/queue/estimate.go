package queue

import (
	"time"

	"hickoryvane.example/core/ident"
)

// waitFraction is the fraction of the expected wait after which a new offer must still be able to meet its
// deadline. An offer waits at two agents and takes the first grant, and the mean drain rate of all tiers is
// lower than that of the highest tier alone. docs/BENCH.md has the goodput with 0, 0.5, 1 and 2: with 2, eight
// agents refused requests of the highest tier on arrival; with 0, too many expired.
const waitFraction = 0.5

// feasible reports whether a request that starts now meets its deadline, given the prompts that the engine has
// not read yet.
func (q *Queue) feasible(now time.Time, it *Item) bool {
	return !now.Add(q.rates.prefillTime(q.pendingPrompt + it.uncachedPrompt())).After(it.Deadline)
}

// feasibleOnArrival reports whether a new offer can meet its deadline. The engine reads its pending prompts
// while the offer waits.
func (q *Queue) feasibleOnArrival(now time.Time, it *Item) bool {
	wait := time.Duration(waitFraction * float64(q.expectedWait(it)))
	start := now.Add(max(wait, q.rates.prefillTime(q.pendingPrompt)))
	return !start.Add(q.rates.prefillTime(it.uncachedPrompt())).After(it.Deadline)
}

// expectedWait returns the expected wait of a new offer: the time in which the tokens ahead of it and the mean
// charge of an active request drain. It is zero while the window has room and nothing waits ahead, and while no
// drain rate is learnt.
func (q *Queue) expectedWait(it *Item) time.Duration {
	ahead := q.tokensAhead(it)
	if ahead == 0 && len(q.active) < q.window.requests && q.held+it.Charge() <= q.window.tokens {
		return 0
	}
	return q.rates.drainTime(ahead + q.held/ident.Tokens(max(len(q.active), 1)))
}

// tokensAhead returns the waiting tokens that are expected to be granted before the offer: those of higher tiers
// and, in its own tier, those that fair sharing between accounts places before it. So a single account that
// fills a tier does not make the deadlines of other accounts appear infeasible.
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

// tokensAhead returns the tokens of the offer's own tier that are expected to be granted before it: those of its
// account with the same or an earlier deadline, and what the other accounts get meanwhile according to their weights.
func (t *tier) tokensAhead(it *Item) ident.Tokens {
	var ownTokens ident.Tokens
	weights := it.Weight
	for _, la := range t.lanes {
		if la.account != it.Account {
			weights += la.weight
			continue
		}
		for _, e := range la.entries {
			if !e.Deadline.After(it.Deadline) {
				ownTokens += e.Charge()
			}
		}
	}
	return min(t.tokens, ownTokens*ident.Tokens(weights)/ident.Tokens(it.Weight))
}
