package sched

import (
	"slices"
	"time"
)

// Which requests may wait at a target instead of at their router.
//
// Load pattern: all slots are occupied, and many routers have requests of all classes waiting. Which router finds a slot
// that becomes free is a matter of chance, so a request of the highest class waits behind lower ones of other routers.
// Targets admit in the order of arrival, so a request that waits at a target gets its next slot. Only the highest classes
// may do so, as long as they are a small part of all requests, and only one request at a target: then lower ones lose no
// more than their rank demands, and the wait at the target is short.

const (
	// aheadMax is the number of requests that may wait at a target.
	aheadMax = 1
	// aheadShare is the share of the recent placements up to which the highest classes together may wait at targets.
	aheadShare = 1.0 / 3
)

// updateAhead determines the classes whose jobs may wait at targets.
func (p *Pool) updateAhead(now time.Time) {
	p.lastAhead, p.anyAhead = class{}, false
	total := p.placements.perSecond(now)
	if total == 0 {
		return
	}
	var all []class
	for k := range p.classes {
		if k.timeliness == timely {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, class.compare)
	sum := 0.0
	for _, k := range all {
		if sum += p.placementRate(now, k); sum > aheadShare*total {
			return
		}
		p.lastAhead, p.anyAhead = k, true
	}
}

// placementRate returns the recent placements per second of a class, those of its late jobs and of resumed answers included.
func (p *Pool) placementRate(now time.Time, k class) (rate float64) {
	for k.timeliness = answerStarted; k.timeliness <= overdue; k.timeliness++ {
		if s := p.classes[k]; s != nil {
			rate += s.placements.perSecond(now)
		}
	}
	return rate
}

// mayWaitAhead reports whether a job may wait at a target.
func (p *Pool) mayWaitAhead(now time.Time, j *Job) bool {
	if !p.anyAhead || j.Canary {
		return false
	}
	k := p.classOf(now, j)
	return k.timeliness == timely && p.isHighest(k)
}

// isHighest reports whether a class of jobs that can be on time is one of the highest.
func (p *Pool) isHighest(k class) bool { return p.anyAhead && k.compare(p.lastAhead) <= 0 }

// collectAhead lists the targets without a free slot at which one more job may wait.
func (p *Pool) collectAhead(now time.Time) {
	p.ahead = p.ahead[:0]
	if !p.anyAhead {
		return
	}
	for _, t := range p.sorted {
		if p.serves(t) && p.mayPlaceAhead(now, t) {
			p.ahead = append(p.ahead, t)
		}
	}
}

// mayPlaceAhead reports whether this router may send the target a job that waits there. Routers with waiting jobs take
// turns as for free slots.
func (p *Pool) mayPlaceAhead(now time.Time, t *target) bool {
	room := t.freeSlots() + aheadMax
	if t.freeSlots() > 0 || room <= 0 || !p.takes(now, t) || !p.withinRate(now, t) {
		return false
	}
	return len(p.peers) == 0 || p.mayBorrow(now, t, room)
}

// slotWait returns the expected time until a slot of a target becomes free.
func (p *Pool) slotWait(t *target) time.Duration {
	d := p.meanDuration
	if d <= 0 {
		d = t.baseLatency
	}
	return time.Duration(p.slowness(t) * float64(d) / float64(t.Slots))
}

// bestAhead returns the best target at which the job may wait, or nil, with its score and the expected time to the first
// event.
func (p *Pool) bestAhead(now time.Time, j *Job) (best *target, bestScore, expected time.Duration) {
	chanceMin := p.chanceMin(now, j)
	for _, t := range p.ahead {
		if !j.Homes.Allow(t.Region) || slices.Contains(j.Avoid, t.ID) || !p.mayPlaceAhead(now, t) || !p.fits(t, j) || t.silent(now) || !p.endsInTime(now, t, j) || p.chanceAt(now, t, j) < chanceMin {
			continue
		}
		first := p.slotWait(t) + t.expectedFirstEvent(j)
		score := p.score(t, j) + p.slotWait(t) + lateCost(p.onTimeChance(now, j, first, p.gapOf(t)), j)
		if best == nil || score < bestScore {
			best, bestScore, expected = t, score, first
		}
	}
	return best, bestScore, expected
}
