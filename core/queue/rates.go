package queue

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// sampleDecay is the factor on earlier samples with each new one; about 10 samples count.
	sampleDecay = 0.9
	// bestDecay is the factor on the best rate with each sample; half of it remains after 700 samples.
	bestDecay = 0.999
	// drainAverageTime is the time constant of the average drain rate; it spans several long requests, whose
	// ends are far apart.
	drainAverageTime = 10 * time.Second
	// promptMin is the shortest prompt from which the prefill rate is learnt; below it fixed costs dominate.
	promptMin ident.Tokens = 64
)

// decayingRate is the quotient of two sums in which older samples decay. Long samples count more.
type decayingRate struct{ tokens, seconds float64 }

func (r *decayingRate) add(tokens ident.Tokens, d time.Duration, decay float64) {
	r.tokens = r.tokens*decay + float64(tokens)
	r.seconds = r.seconds*decay + d.Seconds()
}

// perSecond returns the quotient, or zero while nothing is learnt.
func (r *decayingRate) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.tokens / r.seconds
}

// timeFor returns the time for n tokens, or zero while nothing is learnt.
func (r *decayingRate) timeFor(n ident.Tokens) time.Duration {
	v := r.perSecond()
	if v <= 0 || n <= 0 {
		return 0
	}
	return time.Duration(float64(n) / v * float64(time.Second))
}

// engineRates holds the learnt rates of an engine.
type engineRates struct {
	// prefill is the prompt rate of one request, and bestPrefill the highest one seen, which decays slowly.
	prefill     decayingRate
	bestPrefill float64
	// drain is the rate at which charged tokens complete while the window is full.
	drain decayingRate
}

func (s *engineRates) prefillTime(n ident.Tokens) time.Duration { return s.prefill.timeFor(n) }

func (s *engineRates) drainTime(n ident.Tokens) time.Duration { return s.drain.timeFor(n) }

// bestPrefillTime returns the prefill time at the best rate seen, or zero while nothing is learnt.
func (s *engineRates) bestPrefillTime(n ident.Tokens) time.Duration {
	if s.bestPrefill <= 0 {
		return 0
	}
	return time.Duration(float64(n) / s.bestPrefill * float64(time.Second))
}

// learnPrefill adds a sample: n prompt tokens led to a first token in the time d.
func (s *engineRates) learnPrefill(n ident.Tokens, d time.Duration) {
	if n < promptMin || d <= 0 {
		return
	}
	s.prefill.add(n, d, sampleDecay)
	s.bestPrefill = max(s.bestPrefill*bestDecay, s.prefill.perSecond())
}

// learnDrain adds a sample: n charged tokens completed in the time d of a full window.
func (s *engineRates) learnDrain(n ident.Tokens, d time.Duration) {
	s.drain.add(n, d, math.Exp(-d.Seconds()/drainAverageTime.Seconds()))
}
