package sched

import (
	"math"
	"time"
)

// Which target gives a request the best chance to be on time.
//
// Load pattern: streams on targets of unlike speed, some of which pause in the middle of an answer. An answer is on time
// if its first event is, and if no time between two events is longer than the goal of the route. Slow targets miss the
// second condition however early they begin, so what the chance to be on time loses at a target counts as time.

const (
	// gapRatios is the number of classes of targets by the ratio of the time between events to the goal, each of which
	// covers a factor of two; the first one holds ratios below gapRatioMin.
	gapRatios   = 8
	gapRatioMin = 1.0 / 32
	// pauseMemory is the number of events that are remembered of a class.
	pauseMemory = 20_000
	// priorEvents is the number of events that count as much as the assumption before any was seen, that pausePrior
	// pauses an event occur where the time between events is the goal, and fewer at faster targets in proportion to
	// the square.
	priorEvents = 500
	pausePrior  = 0.5
)

// pauseStats counts events and pauses within streams, by class of target.
type pauseStats [gapRatios]struct{ events, pauses float64 }

// ratioClass returns the class of a ratio of the time between events to the goal.
func ratioClass(ratio float64) int {
	if ratio < gapRatioMin {
		return 0
	}
	return min(int(math.Log2(ratio/gapRatioMin))+1, gapRatios-1)
}

// recordPauses learns from the pauses of a stream.
func (p *Pool) recordPauses(t *target, j *Job, o Outcome) {
	if o.Events < 2 || j.GapGoal <= 0 || t.eventGap <= 0 {
		return
	}
	c := &p.pauses[ratioClass(float64(t.eventGap)/float64(j.GapGoal))]
	if c.events > pauseMemory {
		c.events, c.pauses = c.events/2, c.pauses/2
	}
	c.events += float64(o.Events)
	c.pauses += float64(o.Pauses)
}

// steadyChance returns the probability that no time between two events of the job's answer is too long.
func (p *Pool) steadyChance(j *Job, gap time.Duration) float64 {
	if j.GapGoal <= 0 || gap <= 0 || !j.generates() {
		return 1
	}
	ratio := float64(gap) / float64(j.GapGoal)
	c := p.pauses[ratioClass(ratio)]
	prior := min(pausePrior*ratio*ratio, 1)
	perEvent := min((c.pauses+prior*priorEvents)/(c.events+priorEvents), 1)
	return math.Pow(1-perEvent, float64(j.Output)/float64(j.Stride))
}

// onTimeChance returns the probability that the answer is on time if its first event is expected after first, at a
// target with the given time between events.
func (p *Pool) onTimeChance(now time.Time, j *Job, first, gap time.Duration) float64 {
	left := j.FirstEventDue.Sub(now)
	if left <= 0 || first <= 0 {
		return 0
	}
	return p.speed.errors.chance(float64(left)/float64(first)) * p.steadyChance(j, gap)
}

// lateCost returns the time that stands for the risk that the job is late.
func lateCost(onTime float64, j *Job) time.Duration {
	return time.Duration((1 - onTime) * float64(max(j.FirstEventDue.Sub(j.Arrived), 0)))
}

const (
	// onTimeShare is the part of the best chance to be on time that a job accepts as long as it can wait for a better
	// target.
	onTimeShare = 0.5
	// slackShare is the part of the time to its due first event that a job must have left beyond the usual time to its
	// first event in order to wait.
	slackShare = 0.25
)

// onTimeMin returns the least chance to be on time that a target must offer to get the job now; zero if the job cannot
// wait for a better one.
func (p *Pool) onTimeMin(now time.Time, j *Job) float64 {
	typical := p.typicalFirstEvent(j)
	slack := time.Duration(slackShare * float64(j.FirstEventDue.Sub(j.Arrived)))
	if j.AnswerStarted || now.Add(typical+slack).After(j.FirstEventDue) {
		return 0
	}
	return onTimeShare * p.onTimeChance(now, j, typical, p.shortestGap(j))
}
