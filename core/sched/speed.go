package sched

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

// How long a target takes to a first event.
//
// Load pattern: tens of routers before tens of targets whose speeds differ eightfold. Each router sends a target few
// requests, so what it measures there comes too late: long prompts go to slow targets for tens of seconds. The time
// between events is known early, as routers tell each other. A target that takes twice as long between events also takes
// about twice as long to read prompts, so what was measured at all targets is scaled by it, and the router's own
// measurements at the target replace that estimate as they grow in number.

const (
	// estimateWeight is the number of own measurements that count as much as the estimate from all targets.
	estimateWeight = 4
	// slownessMin and slownessMax bound the ratio of speeds that is assumed.
	slownessMin, slownessMax = 0.1, 10
	// rateSampleMax bounds a measured prompt rate as a multiple of the present one: a cached prompt is not read.
	rateSampleMax = 4
	// errorWeight is the weight of a new sample of the error of an expected time.
	errorWeight = 0.02
	// initialErrorSpread is the standard deviation of the logarithm of actual over expected time before any sample, and
	// errorSpreadMin the smallest one that is assumed.
	initialErrorSpread = 0.5
	errorSpreadMin     = 0.2
)

// ownSpeed is what this router has measured at one target.
type ownSpeed struct {
	base  time.Duration
	rate  float64
	bases int
	rates int
}

// poolSpeed is what was measured at all targets, scaled to one of mean speed.
type poolSpeed struct {
	base         time.Duration
	rate         float64
	bases, rates int
	errors       lengthStats
}

func newErrorStats() lengthStats {
	return lengthStats{variance: initialErrorSpread * initialErrorSpread}
}

// slowness returns how many times as long the target takes as one of mean speed; 1 if that is not known.
func (p *Pool) slowness(t *target) float64 {
	if p.meanEventGap <= 0 || t.eventGap <= 0 {
		return 1
	}
	return min(max(float64(t.eventGap)/float64(p.meanEventGap), slownessMin), slownessMax)
}

// learnFirstEvent learns from the time to the first event of a job of which prompt tokens were read: the prompt rate from
// long prompts, the base latency from short ones.
func (p *Pool) learnFirstEvent(t *target, elapsed time.Duration, ahead ident.Tokens, j *Job, prompt ident.Tokens) {
	p.learnError(t, elapsed, ahead+prompt)
	p.learnTypical(j, elapsed)
	slowness := p.slowness(t)
	if prompt >= promptMin {
		if read := elapsed - t.baseLatency; read > 0 {
			sample := min(float64(prompt+ahead/2)/read.Seconds(), rateSampleMax*t.promptRate)
			t.own.rate = average(t.own.rate, sample, &t.own.rates)
			p.speed.rate = average(p.speed.rate, sample*slowness, &p.speed.rates)
		}
	} else {
		read := time.Duration(float64(prompt+ahead/2) / t.promptRate * float64(time.Second))
		sample := max(elapsed-read, time.Millisecond)
		t.own.base = time.Duration(average(float64(t.own.base), float64(sample), &t.own.bases))
		p.speed.base = time.Duration(average(float64(p.speed.base), float64(sample)/slowness, &p.speed.bases))
	}
	p.estimateSpeed(t)
}

// average adds a sample to a mean, which becomes a moving one once there are enough samples, and counts it.
func average(mean, sample float64, n *int) float64 {
	*n++
	return mean + max(sampleWeight, 1/float64(*n))*(sample-mean)
}

// estimateSpeed updates the estimates of a target's speed.
func (p *Pool) estimateSpeed(t *target) {
	slowness := p.slowness(t)
	base, rate := initialBaseLatency, initialPromptRate
	if p.speed.bases > 0 {
		base = time.Duration(float64(p.speed.base) * slowness)
	}
	if p.speed.rates > 0 {
		rate = p.speed.rate / slowness
	}
	n := float64(t.own.bases)
	t.baseLatency = time.Duration((n*float64(t.own.base) + estimateWeight*float64(base)) / (n + estimateWeight))
	n = float64(t.own.rates)
	t.promptRate = (n*t.own.rate + estimateWeight*rate) / (n + estimateWeight)
}

// learnError learns how far the expected time to a first event was off.
func (p *Pool) learnError(t *target, elapsed time.Duration, pending ident.Tokens) {
	expected := t.baseLatency.Seconds() + float64(pending)/t.promptRate
	if expected <= 0 || elapsed <= 0 {
		return
	}
	d := math.Log(elapsed.Seconds()/expected) - p.speed.errors.mean
	p.speed.errors.mean += errorWeight * d
	p.speed.errors.variance += errorWeight * (d*d - p.speed.errors.variance)
}
