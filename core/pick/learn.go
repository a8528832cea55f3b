package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// fade is the part of earlier samples that is kept with each new one; about 10 samples count.
	sampleDecay = 0.9
	// bestFade is the part of the best speed that is kept with each sample.
	bestDecay = 0.995
	// promptMin is the shortest prompt from which prefill is learnt; below it fixed costs dominate.
	promptMin ident.Tokens = 64
	// firstSlow and gapSlow are the first-token time (besides the prefill) and the token gap from which
	// an outcome counts as slow: twice the targets of the agents' window.
	slowFirstByte = 1340 * time.Millisecond
	slowTokenGap  = 72 * time.Millisecond
	// prefillSlow is the multiple of the best prefill time that is added to firstSlow.
	slowPrefillFactor = 3

	// trustMin keeps a few requests on a slow target, so that its recovery is noticed.
	trustMin = 0.05
	// trustAgain is the trust of a target that was excluded; its caches are cold.
	trustReadmitted = 0.25
	// trustStep is added by each good outcome, and trustSlow and trustFailed multiply by each bad one.
	trustIncrement    = 0.05
	trustSlowFactor   = 0.5
	trustFailedFactor = 0.25
)

// ratio is a quotient of two sums in which older samples count less. Long samples count more.
type decayingRate struct{ tokens, seconds float64 }

func (r *decayingRate) add(n ident.Tokens, d time.Duration) {
	r.tokens = r.tokens*sampleDecay + float64(n)
	r.seconds = r.seconds*sampleDecay + d.Seconds()
}

func (r *decayingRate) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.tokens / r.seconds
}

// done learns from an outcome.
func (t *target) recordOutcome(o Outcome) {
	switch {
	case o.Failed:
		t.trust = max(t.trust*trustFailedFactor, trustMin)
	case t.isSlow(o):
		t.trust = max(t.trust*trustSlowFactor, trustMin)
	default:
		t.trust = min(t.trust+trustIncrement, 1)
	}
	if n := o.Prompt - o.Cached; !o.Failed && n >= promptMin && o.TimeToFirstByte > 0 {
		t.learntPrefill.add(n, o.TimeToFirstByte)
		t.bestPrefillRate = max(t.bestPrefillRate*bestDecay, t.learntPrefill.perSecond())
	}
}

// slow compares an outcome with the targets and the best speed seen; the current speed would hide a
// slowness that lasts.
func (t *target) isSlow(o Outcome) bool {
	limit := slowFirstByte
	if t.bestPrefillRate > 0 {
		limit += seconds(slowPrefillFactor * float64(o.Prompt-o.Cached) / t.bestPrefillRate)
	}
	return o.TimeToFirstByte > limit || o.Output > 1 && o.DecodeTime > time.Duration(o.Output-1)*slowTokenGap
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
