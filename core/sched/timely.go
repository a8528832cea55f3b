package sched

import (
	"math"
	"time"
)

// Which requests can still be on time.
//
// Load pattern: more requests than slots, so that each request is placed at the last moment at which it counts as one
// that can be on time. If that moment is judged by the fastest target, which has nothing to read, nearly all of them are
// late. So it is judged by the time that requests of its class have taken lately from their placement to the first event.

// typicalWeight is the weight of a new sample of the time to a first event.
const typicalWeight = 0.02

// plainEstimate returns the time to a first event at an idle target of mean speed.
func (p *Pool) plainEstimate(j *Job) time.Duration {
	base, rate := initialBaseLatency, initialPromptRate
	if p.speed.bases > 0 {
		base = p.speed.base
	}
	if p.speed.rates > 0 {
		rate = p.speed.rate
	}
	return base + seconds(float64(j.Prompt)/rate)
}

// learnTypical learns from the time to a first event of a job.
func (p *Pool) learnTypical(j *Job, elapsed time.Duration) {
	plain := p.plainEstimate(j)
	if elapsed <= 0 || plain <= 0 {
		return
	}
	s := p.statsOf(arrivalClass(j))
	s.firstEvents += typicalWeight * (math.Log(elapsed.Seconds()/plain.Seconds()) - s.firstEvents)
}

// typicalFirstEvent returns the median time to the first event of a job that is placed now.
func (p *Pool) typicalFirstEvent(j *Job) time.Duration {
	d := p.plainEstimate(j)
	if s := p.classes[arrivalClass(j)]; s != nil {
		d = seconds(d.Seconds() * math.Exp(s.firstEvents))
	}
	return max(d, p.shortestLatency)
}
