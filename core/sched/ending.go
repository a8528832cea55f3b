package sched

import (
	"math"
	"time"
)

// Which requests a router that stops still places.
//
// Load pattern: all routers stop in turn, so each of them goes on serving callers in its grace period, while the lengths
// of answers are known by estimates that are often far off, and targets differ in speed. An answer that still runs when
// the router ends is lost, and a request that must not run twice with it. A refusal loses nothing: the caller can come
// back. So a request is placed only where its deadline, or nearly certainly its answer, comes before the end.

const (
	// endingSpreads is the number of standard deviations above the mean up to which lengths and durations are allowed
	// for: one answer in 2,000 lasts longer.
	endingSpreads = 3.3
	// endingGapFactor and endingFirstFactor allow for targets that become slower when they fill up.
	endingGapFactor   = 1.2
	endingFirstFactor = 1.5
	// endingAgeFactor is the multiple of the time for which similar calls have been running that a call may last.
	endingAgeFactor = 2
	// targetPauseMax is the time for which a sound target may pause in an answer.
	targetPauseMax = 800 * time.Millisecond
)

// StopAt makes the pool place only jobs that end by t, when the router stops.
func (p *Pool) StopAt(t time.Time) { p.stopAt = t }

// isUnbound reports whether the job is placed whenever the router stops: a job whose deadline comes first, and one that
// would be lost otherwise, as its answer has begun or it goes on elsewhere.
func (p *Pool) isUnbound(j *Job) bool {
	return p.stopAt.IsZero() || j.AnswerStarted || !j.Deadline.After(p.stopAt) || j.running > 0
}

// endsInTime reports whether the job, sent to the target now, ends before the router stops.
func (p *Pool) endsInTime(now time.Time, t *target, j *Job) bool {
	if p.isUnbound(j) {
		return true
	}
	if j.isCall() {
		return p.fitsBeforeStop(now, p.longestCall(now, j))
	}
	return p.fitsBeforeStop(now, p.longestStream(t, j))
}

// fitsBeforeStop reports whether what takes d at the longest ends before the router stops.
func (p *Pool) fitsBeforeStop(now time.Time, d time.Duration) bool {
	return !now.Add(d + targetPauseMax).After(p.stopAt)
}

// canEndInTime reports whether a target can end the job before the router stops once it has a free slot.
func (p *Pool) canEndInTime(now time.Time, j *Job) bool {
	if p.isUnbound(j) {
		return true
	}
	if j.isCall() {
		return p.fitsBeforeStop(now, p.longestCall(now, j))
	}
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary && f.Open() && j.Homes.Allow(t.Region) && p.fitsBeforeStop(now, p.longestStream(t, j)) {
			return true
		}
	}
	return false
}

// unknownDuration stands for the duration of a job about which nothing is known yet.
const unknownDuration = 365 * 24 * time.Hour

// longestCall returns the time that a plain call takes at the longest.
func (p *Pool) longestCall(now time.Time, j *Job) time.Duration {
	k := arrivalClass(j)
	s := p.statsOf(k)
	if !s.hasDurations {
		return unknownDuration
	}
	return max(seconds(s.durations.upper()), endingAgeFactor*p.oldestRun(now, k))
}

// longestStream returns the time that a stream takes at the longest at a target.
func (p *Pool) longestStream(t *target, j *Job) time.Duration {
	if !j.generates() || t.eventGap <= 0 {
		return unknownDuration
	}
	events := p.statsOf(arrivalClass(j)).lengths.upper() * float64(j.Output) / float64(j.Stride)
	return seconds(endingFirstFactor*t.expectedFirstEvent(j).Seconds() + endingGapFactor*events*t.eventGap.Seconds())
}

// oldestRun returns the age of the oldest running call of a class.
func (p *Pool) oldestRun(now time.Time, k class) (age time.Duration) {
	for _, t := range p.sorted {
		for _, r := range t.runs {
			if r.job.isCall() && arrivalClass(r.job) == k {
				age = max(age, now.Sub(r.sent))
			}
		}
	}
	return age
}

// ExpectedDuration estimates the duration of a job. ok is false while the pool has observed no similar one.
func (p *Pool) ExpectedDuration(j *Job) (d time.Duration, ok bool) {
	if !j.isCall() {
		return p.StreamDuration(j.Output, j.Stride)
	}
	s := p.statsOf(arrivalClass(j))
	return seconds(math.Exp(s.durations.mean)), s.hasDurations
}

// recordDuration learns from the duration of a complete answer to a plain call.
func (p *Pool) recordDuration(j *Job, d time.Duration) {
	if !j.isCall() || d <= 0 {
		return
	}
	s := p.statsOf(arrivalClass(j))
	if !s.hasDurations {
		s.durations, s.hasDurations = newLengthStats(), true
		s.durations.mean = math.Log(d.Seconds())
	}
	s.durations.record(d.Seconds())
}

// generates reports whether the length of the answer is known in tokens.
func (j *Job) generates() bool { return j.Stride > 0 && j.Output > 0 }

// isCall reports whether the answer comes as a whole and its length is not known.
func (j *Job) isCall() bool { return !j.Stream && !j.generates() }

// upper returns a bound that nearly all samples stay below.
func (s *lengthStats) upper() float64 { return math.Exp(s.mean + endingSpreads*s.spread()) }

// seconds converts a number of seconds; what does not fit is unknownDuration.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, unknownDuration.Seconds()) * float64(time.Second))
}
