package queue

import "hickoryvane.example/core/ident"

// Load returns the state for a load report.
func (q *Queue) Load() Summary {
	s := Summary{
		Running: len(q.run),
		Held:    q.held,
		Window:  q.win.requests,
		Prefill: q.speed.prefill.perSecond(),
		Decode:  q.speed.drain.perSecond(),
		Floor:   q.wait.floor(),
	}
	if s.Floor != NoFloor {
		s.Waiting = make([]ident.Tokens, int(s.Floor)+1)
		for _, t := range q.wait.tiers {
			s.Waiting[t.rank] = t.tokens
		}
	}
	return s
}
