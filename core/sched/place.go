package sched

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Where a request is placed.
//
// Load pattern: long prompts beside short questions on targets whose speeds differ several times over. A
// prompt delays the first events of all that are read after it, so a request goes where the least unread
// prompt text is ahead of it, weighed with the speed and load of the target, and with the distance.

const (
	// centrePenalty and regionPenalty are the times that a target in another data centre or region must
	// be better by. They stand for the traffic between data centres and over the narrow region link.
	centrePenalty = 20 * time.Millisecond
	regionPenalty = 150 * time.Millisecond
	// slotCost is the time that a slot of a target of mean speed counts for; slower targets cost more.
	slotCost = 100 * time.Millisecond
	// silence is the shortest time without a first event after which a target gets no new jobs while
	// others have room; silenceTimes is the multiple of the expected time.
	shortestSilence = 800 * time.Millisecond
	silenceFactor   = 4
)

// place returns the target for the job, or nil. A job that is apart goes to another target if none of those has
// room: a trial delays nobody.
func (p *Pool) place(now time.Time, j *Job) (*target, time.Duration) {
	if j.Canary {
		if t := p.canaryTarget(now, j); t != nil {
			return t, t.expectedFirstEvent(j)
		}
		j.Canary = false
	}
	return p.bestTarget(now, j)
}

// packed returns the target that is apart and has most jobs, of those with no more than the other targets have
// in the mean; if there is none, the one with fewest.
//
// Load pattern: a version on trial gets a small part of the requests. Spread over its targets they would run
// nearly alone, and a version that fails under load would pass.
func (p *Pool) canaryTarget(now time.Time, j *Job) *target {
	mean := p.meanJobs()
	var below, above *target
	for _, t := range p.sorted {
		if !t.CanaryOnly || t.draining || t.missing || now.Before(t.backoffUntil) || slices.Contains(j.Avoid, t.ID) || t.freeSlots() <= 0 {
			continue
		}
		switch n := t.jobs(); {
		case float64(n) <= mean:
			if below == nil || n > below.jobs() {
				below = t
			}
		case above == nil || n < above.jobs():
			above = t
		}
	}
	if below != nil {
		return below
	}
	return above
}

// mean returns the mean number of jobs at the targets that are not apart.
func (p *Pool) meanJobs() float64 {
	jobs, n := 0, 0
	for _, t := range p.sorted {
		if !t.CanaryOnly && !t.draining {
			jobs += t.jobs()
			n++
		}
	}
	return float64(jobs) / float64(max(n, 1))
}

// survey collects the targets that can take a job now. While all slots are taken, these are few, however many
// jobs wait for them.
func (p *Pool) collectUsable(now time.Time) {
	p.usable = p.usable[:0]
	for _, t := range p.sorted {
		if !t.CanaryOnly && !t.draining && !now.Before(t.backoffUntil) && p.mayPlace(now, t) {
			p.usable = append(p.usable, t)
		}
	}
}

// choose returns the best target with room for the job, or nil.
func (p *Pool) bestTarget(now time.Time, j *Job) (best *target, expected time.Duration) {
	var bestScore time.Duration
	bestRank := 0
	avoid := len(j.Avoid) > 0 && p.hasUntriedTarget(j)
	for _, t := range p.usable {
		if avoid && slices.Contains(j.Avoid, t.ID) || !p.mayPlace(now, t) {
			continue
		}
		rank := p.riskLevel(now, t, j)
		score := p.score(t, j)
		if best == nil || rank < bestRank || rank == bestRank && score < bestScore {
			best, bestScore, bestRank = t, score, rank
			expected = t.expectedFirstEvent(j)
		}
	}
	return best, expected
}

// avoids reports whether the job waits for another target rather than go back to one that failed it: unless
// all have.
func (p *Pool) hasUntriedTarget(j *Job) bool {
	for _, t := range p.sorted {
		if !t.CanaryOnly && !t.draining && !t.missing && !slices.Contains(j.Avoid, t.ID) {
			return true
		}
	}
	return false
}

// doubt ranks targets by what speaks against them: 0 nothing, 1 that the answer would end too late there, 2
// silence, 3 a registration that is missing.
func (p *Pool) riskLevel(now time.Time, t *target, j *Job) int {
	switch {
	case t.missing:
		return 3
	case t.silent(now):
		return 2
	case t.eventGap > 0 && j.Stride > 0 && now.Add(t.expectedFirstEvent(j)+t.eventGap*time.Duration(int64(j.Output)/int64(j.Stride))).After(j.Deadline):
		return 1
	}
	return 0
}

// score is the expected time to the first event, with the cost of the slot and of the distance.
func (p *Pool) score(t *target, j *Job) time.Duration {
	d := t.expectedFirstEvent(j)
	slow := 1.0
	if p.meanEventGap > 0 && t.eventGap > 0 {
		slow = float64(t.eventGap) / float64(p.meanEventGap)
	}
	load := float64(t.jobs()) / float64(t.Slots)
	d += time.Duration(float64(slotCost) * slow * (0.5 + load))
	return d + p.distance(t.Centre, t.Region)
}

func (p *Pool) distance(c ident.DataCentre, r ident.Region) time.Duration {
	switch {
	case c == p.centre:
		return 0
	case r == p.region:
		return centrePenalty
	}
	return regionPenalty
}

// Duration estimates the length of a stream of the given number of tokens, stride of which are in an event.
// ok is false while the pool has seen no stream.
func (p *Pool) StreamDuration(tokens ident.Tokens, stride int) (d time.Duration, ok bool) {
	if p.meanEventGap <= 0 || stride <= 0 {
		return 0, false
	}
	return p.minBaseLatency() + time.Duration(int64(tokens)/int64(stride)+1)*p.meanEventGap, true
}
