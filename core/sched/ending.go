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
	// cutRiskMax is the chance that the router stops before the answer ends up to which a job is placed.
	cutRiskMax = 1.0 / 5000
	// endingSpreadMin is the least standard deviation of the logarithm of lengths and durations that is assumed. The
	// factors below keep the doubt for which other decisions assume more.
	endingSpreadMin = 0.1
	// endingSlack is the time that is left for the network and for late timers.
	endingSlack = 200 * time.Millisecond
	// endingGapFactor and endingFirstFactor allow for targets that become slower when they fill up.
	endingGapFactor   = 1.2
	endingFirstFactor = 1.5
	// endingAgeFactor is the multiple of the time for which similar calls have been running that a call may last.
	endingAgeFactor = 2
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
	return p.isUnbound(j) || p.cutRisk(now, t, j) <= cutRiskMax
}

// canEndInTime reports whether a target can end the job before the router stops once it has a free slot.
func (p *Pool) canEndInTime(now time.Time, j *Job) bool {
	if p.isUnbound(j) {
		return true
	}
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary && f.Open() && j.Homes.Allow(t.Region) && p.cutRisk(now, t, j) <= cutRiskMax {
			return true
		}
	}
	return false
}

// cutRisk returns the chance that the router stops before the job ends if it is sent to the target now. Few answers are
// much longer than expected, and in few of them the target falls silent, so the chance of both is small.
func (p *Pool) cutRisk(now time.Time, t *target, j *Job) float64 {
	outlasts := p.streamOutlasts
	if j.isCall() {
		outlasts = p.callOutlasts
	}
	left := p.stopAt.Sub(now)
	silent := p.silences.chance(left)
	return (1-silent)*outlasts(now, t, j, left-endingSlack) + silent*outlasts(now, t, j, left-p.silences.length())
}

// callOutlasts returns the chance that a plain call takes longer than d.
func (p *Pool) callOutlasts(now time.Time, _ *target, j *Job, d time.Duration) float64 {
	k := arrivalClass(j)
	s := p.statsOf(k)
	if !s.hasDurations || endingAgeFactor*p.oldestRun(now, k) > d {
		return 1
	}
	return 1 - s.durations.chanceWith(d.Seconds(), endingSpreadMin)
}

// streamOutlasts returns the chance that a stream takes longer than d at a target that does not fall silent.
func (p *Pool) streamOutlasts(_ time.Time, t *target, j *Job, d time.Duration) float64 {
	gap := t.steadyGap
	if gap <= 0 {
		gap = t.eventGap
	}
	if !j.generates() || gap <= 0 {
		return 1
	}
	first := endingFirstFactor * t.expectedFirstEvent(j).Seconds()
	tokens := float64(j.Stride) * (d.Seconds() - first) / (endingGapFactor * gap.Seconds())
	if j.OutputMax > 0 && tokens >= float64(j.OutputMax) {
		return 0
	}
	return 1 - p.statsOf(arrivalClass(j)).lengths.chanceWith(tokens/float64(j.Output), endingSpreadMin)
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

// durationMax limits durations that are computed from estimates.
const durationMax = 365 * 24 * time.Hour

// seconds converts a number of seconds, up to durationMax.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, durationMax.Seconds()) * float64(time.Second))
}
