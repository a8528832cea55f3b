package queue

import "hickoryvane.example/core/ident"

// Load returns the state for a load report.
func (q *Queue) Load() Summary {
	s := Summary{
		Running:           len(q.active),
		Held:              q.held,
		Window:            q.window.requests,
		PrefillRate:       q.rates.prefill.perSecond(),
		DrainRate:         q.rates.drain.perSecond(),
		LowestWaitingTier: q.waiting.lowestTier(),
	}
	if s.LowestWaitingTier != NoneWaiting {
		s.Waiting = make([]ident.Tokens, int(s.LowestWaitingTier)+1)
		for _, t := range q.waiting.tiers {
			s.Waiting[t.rank] = t.tokens
		}
	}
	return s
}
