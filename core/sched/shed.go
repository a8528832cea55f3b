package sched

import (
	"time"
)

// Which requests are refused, and when callers should retry.
//
// Load pattern: more requests than the targets can run, for seconds. A request is refused as soon as the work
// ahead of it shows that it will not be placed while its caller still waits, not after it has waited that long.
// The caller can then retry when the queue is expected to have drained.

const (
	// waitFraction is the fraction of the time from arrival to deadline for which a late request may wait. The
	// caller can use the remaining time for a second attempt and for the answer itself.
	waitFraction = 0.25
	// shortestRetryAfter and longestRetryAfter bound the retry time given to callers. The lower bound is a few network
	// round trips, the upper one the longest overload that is expected to pass by itself.
	shortestRetryAfter = 100 * time.Millisecond
	longestRetryAfter  = 10 * time.Second
	// deadlineMargin is the time before its deadline at which a waiting job is refused, so that the refusal
	// arrives in time.
	deadlineMargin = 100 * time.Millisecond
	// rateSteps is the number of steps of rateStep over which placements and refusals are counted. Their span is
	// shorter than a burst, and long enough for some placements. placementRateMin is the least rate assumed, per
	// second.
	rateSteps        = 20
	rateStep         = 100 * time.Millisecond
	placementRateMin = 0.2
)

// refuse decides whether a job for which no target was found is refused. ahead is the number of waiting jobs
// before it, sameClass the number of those in the job's own class.
func (p *Pool) refuse(now time.Time, j *Job, k class, ahead, sameClass int) (r Refusal, ok bool) {
	if p.spareSlots >= 0 && now.Before(j.waitLimit()) {
		return r, false // borrowing is spread over time; it goes on with the next report interval
	}
	expected := p.expectedWait(now, k, ahead, sameClass)
	if now.Add(deadlineMargin).Before(j.Deadline) && (j.AnswerStarted || !now.Add(expected).After(j.waitLimit())) {
		return r, false
	}
	return Refusal{Job: j, JobsAhead: ahead, ExpectedWait: expected, RetryAfter: min(max(expected, shortestRetryAfter), longestRetryAfter)}, true
}

// freeSlots returns the number of jobs that all routers together can place now.
func (p *Pool) freeSlots(now time.Time) (n int) {
	for _, t := range p.sorted {
		if p.serves(t) && p.takes(now, t) {
			n += p.rateRoom(now, t, max(t.freeSlots(), 0))
		}
	}
	return n
}

// countSpareSlots returns the number of free slots that remain if all waiting jobs of all routers get one.
func (p *Pool) countSpareSlots(now time.Time) int {
	n := p.freeSlots(now)
	for _, r := range p.peers {
		n -= r.Waiting
	}
	return n - len(p.waiting)
}

// waitLimit returns the time until which the job may wait.
func (j *Job) waitLimit() time.Time {
	limit := j.Arrived.Add(time.Duration(waitFraction * float64(j.Deadline.Sub(j.Arrived))))
	if limit.Before(j.FirstEventDue) {
		limit = j.FirstEventDue
	}
	return limit
}

// expectedWait estimates the time until a job is placed. Behind jobs of higher classes, of which more arrive all the
// time, a class gets the slots that these leave free, whose rate is that of the recent placements of the class and of
// those after it. The first class of a pool without recent placements waits for the next free slot, whose time is unknown.
func (p *Pool) expectedWait(now time.Time, k class, ahead, sameClass int) time.Duration {
	n, rate := ahead+1, p.placements.perSecond(now)
	if ahead > sameClass {
		n, rate = sameClass+1, p.rateFrom(now, k)
	} else if rate == 0 {
		return 0
	}
	return time.Duration(float64(n) / max(rate, placementRateMin) * float64(time.Second))
}

// rateFrom returns the recent placements per second of a class and of those that go after it.
func (p *Pool) rateFrom(now time.Time, k class) (rate float64) {
	for other, s := range p.classes {
		if other.compare(k) >= 0 {
			rate += s.placements.perSecond(now)
		}
	}
	return rate
}

// rateCounter counts placements or refusals over the last rateSteps steps.
type rateCounter struct {
	// steps holds one count for each rateStep of time; newest is the number of the newest step.
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
