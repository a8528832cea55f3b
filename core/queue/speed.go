package queue

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// fade is the part of earlier samples that is kept with each new one; about 10 samples count.
	sampleDecay = 0.9
	// bestFade is the part of the best speed that is kept with each sample; half is left after 700.
	bestDecay = 0.999
	// drainTime is the time constant with which the drain speed is averaged; it spans several long
	// requests, whose ends are far apart.
	drainAverageTime = 10 * time.Second
	// promptMin is the shortest prompt from which prefill is learnt; below it fixed costs dominate.
	promptMin ident.Tokens = 64
)

// ratio is a quotient of two sums in which older samples count less. Long samples count more.
type decayingRate struct{ tokens, seconds float64 }

func (r *decayingRate) add(tokens ident.Tokens, d time.Duration, keep float64) {
	r.tokens = r.tokens*keep + float64(tokens)
	r.seconds = r.seconds*keep + d.Seconds()
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

// speed holds what is learnt of an engine.
type engineRates struct {
	// prefill is the prompt speed of one request, and best the highest that was seen, slowly forgotten.
	prefill     decayingRate
	bestPrefill float64
	// drain is the speed at which charged tokens end while the window is full.
	drain decayingRate
}

func (s *engineRates) prefillTime(n ident.Tokens) time.Duration { return s.prefill.timeFor(n) }

func (s *engineRates) drainTime(n ident.Tokens) time.Duration { return s.drain.timeFor(n) }

// bestPrefillTime returns the prefill time at the best speed seen, or zero while nothing is learnt.
func (s *engineRates) bestPrefillTime(n ident.Tokens) time.Duration {
	if s.bestPrefill <= 0 {
		return 0
	}
	return time.Duration(float64(n) / s.bestPrefill * float64(time.Second))
}

// learnPrefill takes in the time in which n prompt tokens led to a first token.
func (s *engineRates) learnPrefill(n ident.Tokens, d time.Duration) {
	if n < promptMin || d <= 0 {
		return
	}
	s.prefill.add(n, d, sampleDecay)
	s.bestPrefill = max(s.bestPrefill*bestDecay, s.prefill.perSecond())
}

// learnDrain takes in the charged tokens that ended in the time d of a full window.
func (s *engineRates) learnDrain(n ident.Tokens, d time.Duration) {
	s.drain.add(n, d, math.Exp(-d.Seconds()/drainAverageTime.Seconds()))
}
