package sched

import (
	"cmp"
	"slices"
	"time"
)

// The order in which requests wait.
//
// Load pattern: a burst of all kinds above what the targets run. A request that can still be answered on
// time is worth more to its caller than one that is late in any case, so late requests use what the others
// leave. Among requests of the same chance, the higher tier goes first, then the earlier arrival.

// sort brings the waiting jobs into the order in which they are placed.
func (p *Pool) sort(now time.Time) {
	need := p.least()
	slices.SortStableFunc(p.waiting, func(a, b *Job) int {
		return cmp.Or(
			cmp.Compare(rank(now, need, a), rank(now, need, b)),
			cmp.Compare(a.Tier, b.Tier),
			a.At.Compare(b.At),
		)
	})
}

// rank is 0 for jobs whose answer has begun, 1 for those that can be on time, 2 for late ones.
func rank(now time.Time, need time.Duration, j *Job) int {
	switch {
	case j.Begun:
		return 0
	case !late(now, need, j):
		return 1
	}
	return 2
}

// late reports whether the job cannot be on time any more.
func late(now time.Time, need time.Duration, j *Job) bool { return now.Add(need).After(j.Due) }

// least returns the shortest time to a first event that any target needs.
func (p *Pool) least() (need time.Duration) {
	for i, t := range p.order {
		if i == 0 || t.base < need {
			need = t.base
		}
	}
	return need
}
