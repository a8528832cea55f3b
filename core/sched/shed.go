package sched

import (
	"time"
)

// Which requests are turned away, and when they may come back.
//
// Load pattern: more requests than the targets run, for seconds. A request is turned away as soon as the
// work ahead of it shows that it will not be placed while its caller is still patient, not after it has
// waited that long; the caller can then come back when the queue is expected to have drained.

const (
	// patience is the part of a caller's time for which a late request waits: the caller can use the rest
	// for a second try and for the answer itself.
	waitFraction = 0.25
	// afterFloor and afterCap bound the time after which a caller may come back. The lower bound is a few
	// network round trips, the upper one the longest overload that is expected to pass by itself.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 10 * time.Second
	// endMargin is the time before End at which a waiting job is given up, so that its refusal arrives.
	deadlineMargin = 100 * time.Millisecond
	// rateSpan is the span over which starts are counted, in steps of rateStep. It is shorter than a
	// burst, and long enough for some starts.
	rateSteps        = 20
	rateStep         = 100 * time.Millisecond
	placementRateMin = 0.2
)

// refuse decides whether a job that found no target is turned away. ahead jobs go first, same of them of
// the job's own class.
func (p *Pool) refuse(now time.Time, j *Job, k class, ahead, same int) (r Refusal, ok bool) {
	expected := p.expectedWait(now, k, ahead, same)
	if now.Add(deadlineMargin).Before(j.Deadline) && (j.AnswerStarted || !now.Add(expected).After(j.waitLimit())) {
		return r, false
	}
	return Refusal{Job: j, JobsAhead: ahead, ExpectedWait: expected, RetryAfter: min(max(expected, shortestRetryAfter), longestRetryAfter)}, true
}

// limit returns the time until which the job may wait.
func (j *Job) waitLimit() time.Time {
	limit := j.Arrived.Add(time.Duration(waitFraction * float64(j.Deadline.Sub(j.Arrived))))
	if limit.Before(j.FirstEventDue) {
		limit = j.FirstEventDue
	}
	return limit
}

// expected estimates the time until a job is placed. Behind jobs of higher classes, of which more arrive
// all the time, a class gets only what these leave, which is the rate of its recent starts. The first class
// of a pool without recent starts waits for the next slot, of which nothing is known.
func (p *Pool) expectedWait(now time.Time, k class, ahead, same int) time.Duration {
	n, starts := ahead+1, p.placements.perSecond(now)
	if ahead > same {
		n, starts = same+1, 0
		if r := p.classes[k]; r != nil {
			starts = r.placements.perSecond(now)
		}
	} else if starts == 0 {
		return 0
	}
	return time.Duration(float64(n) / max(starts, placementRateMin) * float64(time.Second))
}

// rate counts events over a sliding span.
type rateCounter struct {
	steps  [rateSteps]int
	newest int64
}

func (r *rateCounter) add(now time.Time) {
	r.advance(now)
	r.steps[r.newest%rateSteps]++
}

func (r *rateCounter) perSecond(now time.Time) float64 {
	r.advance(now)
	n := 0
	for _, c := range r.steps {
		n += c
	}
	return float64(n) / (rateSteps * rateStep).Seconds()
}

// advance clears the steps between the newest one and now.
func (r *rateCounter) advance(now time.Time) {
	n := now.UnixNano() / int64(rateStep)
	for i := max(r.newest+1, n-rateSteps+1); i <= n; i++ {
		r.steps[i%rateSteps] = 0
	}
	r.newest = max(r.newest, n)
}
