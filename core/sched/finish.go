package sched

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

// Which targets can end an answer before its deadline.
//
// Load pattern: answers whose lengths differ a hundredfold, on targets of which the slowest need six times as long
// for an event as the fastest, while nearly all slots are occupied. A long answer that takes the first free slot, at
// a slow target, holds it until the deadline and is then worth nothing. So it waits, for as long as it can be on time,
// for a target that is about as likely to end it before the deadline as the fastest one; shorter requests use the
// slow targets meanwhile.

const (
	// initialLengthSpread is the standard deviation of the logarithm of actual over expected length until it is
	// learnt: callers' estimates are exact at the median and often off by a factor of two.
	initialLengthSpread = 0.6
	// lengthSpreadMin keeps some doubt when the last answers happened to have the expected length.
	lengthSpreadMin = 0.2
	// lengthWeight is the weight of a new sample of the length.
	lengthWeight = 0.02
	// chanceTolerance is the loss of the chance to end in time that a job accepts instead of waiting.
	chanceTolerance = 0.2
	// lateChanceShare is the part of the chance at the fastest target that a job accepts once it is late.
	lateChanceShare = 0.5
	// hopelessChance is the chance below which a target is not used, unless the fastest one is no better.
	hopelessChance = 0.1
)

// lengthStats is the learnt distribution of the logarithm of actual over expected length, or of a duration in seconds.
type lengthStats struct{ mean, variance float64 }

func newLengthStats() lengthStats {
	return lengthStats{variance: initialLengthSpread * initialLengthSpread}
}

// record updates the distribution with the ratio of actual over expected length of a complete answer.
func (s *lengthStats) record(ratio float64) {
	d := math.Log(ratio) - s.mean
	s.mean += lengthWeight * d
	s.variance += lengthWeight * (d*d - s.variance)
}

// chance returns the probability that an answer has at most ratio times its expected length.
func (s *lengthStats) chance(ratio float64) float64 { return s.chanceWith(ratio, lengthSpreadMin) }

// chanceWith is chance with another least standard deviation of the logarithm.
func (s *lengthStats) chanceWith(ratio, spreadMin float64) float64 {
	if ratio <= 0 {
		return 0
	}
	spread := max(math.Sqrt(s.variance), spreadMin)
	return 0.5 * math.Erfc(-(math.Log(ratio)-s.mean)/(spread*math.Sqrt2))
}

// finishChance returns the probability that an answer of which the first event is expected after first, and the
// others at intervals of gap, ends before the deadline; 1 if nothing is known about its length or speed.
func (p *Pool) finishChance(now time.Time, j *Job, first, gap time.Duration) float64 {
	if gap <= 0 || !j.generates() {
		return 1
	}
	events := float64(j.Deadline.Sub(now)-first) / float64(gap)
	return p.statsOf(arrivalClass(j)).lengths.chance(events * float64(j.Stride) / float64(j.Output))
}

// chanceAt returns the probability that the job, sent to the target now, ends before its deadline.
func (p *Pool) chanceAt(now time.Time, t *target, j *Job) float64 {
	return p.finishChance(now, j, t.expectedFirstEvent(j), p.gapOf(t))
}

// gapOf returns the time between events at a target, or the mean over all targets while it is not known.
func (p *Pool) gapOf(t *target) time.Duration {
	if t.eventGap > 0 {
		return t.eventGap
	}
	return p.meanEventGap
}

// chanceMin returns the least chance to end in time that a target must offer to get the job now. While the job can
// still be on time, that is nearly the chance at the fastest target; while it may wait, a part of that.
func (p *Pool) chanceMin(now time.Time, j *Job) float64 {
	if !j.generates() || p.shortestEventGap <= 0 {
		return 0
	}
	best := p.finishChance(now, j, p.shortestLatency, p.shortestGap(j))
	switch {
	case j.AnswerStarted || !now.Before(j.waitLimit()):
		return min(hopelessChance, best/2)
	case p.isLate(now, j):
		return lateChanceShare * best
	}
	return best - chanceTolerance
}

// shortestGap returns the time between events of the fastest target that may serve the job.
func (p *Pool) shortestGap(j *Job) (shortest time.Duration) {
	if !j.Homes.Restricted() {
		return p.shortestEventGap
	}
	for _, t := range p.sorted {
		if f, gap := p.facts(t), p.gapOf(t); j.Homes.Allow(t.Region) && f.Open() && !f.Missing && (shortest == 0 || gap < shortest) {
			shortest = gap
		}
	}
	return shortest
}

// recordLength learns from the length of a complete answer, in events.
func (p *Pool) recordLength(j *Job, events int) {
	if events > 0 && j.generates() {
		p.statsOf(arrivalClass(j)).lengths.record(float64(events*j.Stride) / float64(j.Output))
	}
}

// EventGap records the times between events of an answer that is still running, so that the speed of a target is known
// before the first answer ends.
func (p *Pool) EventGap(id ident.TargetID, o Outcome) {
	if t, ok := p.targets[id]; ok {
		t.learnGap(o.Gap)
		t.learnSteadyGap(o.steadyGap())
		p.updateEventGap()
	}
}
