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
	patience = 0.25
	// afterFloor and afterCap bound the time after which a caller may come back. The lower bound is a few
	// network round trips, the upper one the longest overload that is expected to pass by itself.
	afterFloor = 100 * time.Millisecond
	afterCap   = 10 * time.Second
	// endMargin is the time before End at which a waiting job is given up, so that its refusal arrives.
	endMargin = 100 * time.Millisecond
	// rateSpan is the span over which starts are counted, in steps of rateStep. It is shorter than a
	// burst, and long enough for some starts.
	rateSpan  = 20
	rateStep  = 100 * time.Millisecond
	startsMin = 0.2
)

// refuse decides whether a job that found no target is turned away. ahead jobs go first, same of them of
// the job's own class.
func (p *Pool) refuse(now time.Time, j *Job, k class, ahead, same int) (r Refusal, ok bool) {
	expected := p.expected(now, k, ahead, same)
	if now.Add(endMargin).Before(j.End) && (j.Begun || !now.Add(expected).After(j.limit())) {
		return r, false
	}
	return Refusal{Job: j, Ahead: ahead, Expected: expected, After: min(max(expected, afterFloor), afterCap)}, true
}

// limit returns the time until which the job may wait.
func (j *Job) limit() time.Time {
	limit := j.At.Add(time.Duration(patience * float64(j.End.Sub(j.At))))
	if limit.Before(j.Due) {
		limit = j.Due
	}
	return limit
}

// expected estimates the time until a job is placed. Behind jobs of higher classes, of which more arrive
// all the time, a class gets only what these leave, which is the rate of its recent starts. The first class
// of a pool without recent starts waits for the next slot, of which nothing is known.
func (p *Pool) expected(now time.Time, k class, ahead, same int) time.Duration {
	n, starts := ahead+1, p.starts.perSecond(now)
	if ahead > same {
		n, starts = same+1, 0
		if r := p.classes[k]; r != nil {
			starts = r.starts.perSecond(now)
		}
	} else if starts == 0 {
		return 0
	}
	return time.Duration(float64(n) / max(starts, startsMin) * float64(time.Second))
}

// rate counts events over a sliding span.
type rate struct {
	steps [rateSpan]int
	at    int64
}

func (r *rate) add(now time.Time) {
	r.advance(now)
	r.steps[r.at%rateSpan]++
}

func (r *rate) perSecond(now time.Time) float64 {
	r.advance(now)
	n := 0
	for _, c := range r.steps {
		n += c
	}
	return float64(n) / (rateSpan * rateStep).Seconds()
}

// advance clears the steps between the newest one and now.
func (r *rate) advance(now time.Time) {
	n := now.UnixNano() / int64(rateStep)
	for i := max(r.at+1, n-rateSpan+1); i <= n; i++ {
		r.steps[i%rateSpan] = 0
	}
	r.at = max(r.at, n)
}
