package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// fade is the part of earlier samples that is kept with each new one; about 10 samples count.
	fade = 0.9
	// bestFade is the part of the best speed that is kept with each sample.
	bestFade = 0.995
	// promptMin is the shortest prompt from which prefill is learnt; below it fixed costs dominate.
	promptMin ident.Tokens = 64
	// firstSlow and gapSlow are the first-token time (besides the prefill) and the token gap from which
	// an outcome counts as slow: twice the targets of the agents' window.
	firstSlow = 1340 * time.Millisecond
	gapSlow   = 72 * time.Millisecond
	// prefillSlow is the multiple of the best prefill time that is added to firstSlow.
	prefillSlow = 3

	// trustMin keeps a few requests on a slow target, so that its recovery is noticed.
	trustMin = 0.05
	// trustAgain is the trust of a target that was excluded; its caches are cold.
	trustAgain = 0.25
	// trustStep is added by each good outcome, and trustSlow and trustFailed multiply by each bad one.
	trustStep   = 0.05
	trustSlow   = 0.5
	trustFailed = 0.25
)

// ratio is a quotient of two sums in which older samples count less. Long samples count more.
type ratio struct{ tokens, seconds float64 }

func (r *ratio) add(n ident.Tokens, d time.Duration) {
	r.tokens = r.tokens*fade + float64(n)
	r.seconds = r.seconds*fade + d.Seconds()
}

func (r *ratio) perSecond() float64 {
	if r.seconds <= 0 {
		return 0
	}
	return r.tokens / r.seconds
}

// done learns from an outcome.
func (t *target) done(o Outcome) {
	switch {
	case o.Failed:
		t.trust = max(t.trust*trustFailed, trustMin)
	case t.slow(o):
		t.trust = max(t.trust*trustSlow, trustMin)
	default:
		t.trust = min(t.trust+trustStep, 1)
	}
	if n := o.Prompt - o.Cached; !o.Failed && n >= promptMin && o.First > 0 {
		t.learnt.add(n, o.First)
		t.best = max(t.best*bestFade, t.learnt.perSecond())
	}
}

// slow compares an outcome with the targets and the best speed seen; the current speed would hide a
// slowness that lasts.
func (t *target) slow(o Outcome) bool {
	limit := firstSlow
	if t.best > 0 {
		limit += seconds(prefillSlow * float64(o.Prompt-o.Cached) / t.best)
	}
	return o.First > limit || o.Output > 1 && o.Decode > time.Duration(o.Output-1)*gapSlow
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
