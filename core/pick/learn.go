package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// sampleDecay is the factor by which the weight of earlier samples decays with each new one; about 10
	// samples count.
	sampleDecay = 0.9
	// bestDecay is the factor by which the best prefill rate decays with each sample.
	bestDecay = 0.995
	// promptMin is the smallest number of uncached prompt tokens from which the prefill rate is learnt; below
	// it fixed costs dominate.
	promptMin ident.Tokens = 64
	// slowFirstByte and slowTokenGap are the time to the first byte (without the prefill) and the mean token gap
	// above which an outcome counts as slow: twice the latency targets by which agents adjust their window.
	slowFirstByte = 1340 * time.Millisecond
	slowTokenGap  = 72 * time.Millisecond
	// slowPrefillFactor is the multiple of the best prefill time that is added to slowFirstByte.
	slowPrefillFactor = 3

	// trustMin is the lower bound of trust; it leaves a slow target a few requests, so that its recovery is
	// detected.
	trustMin = 0.05
	// trustReadmitted is the upper bound of trust for a target that was unusable or restarted; its caches are
	// cold.
	trustReadmitted = 0.25
	// trustIncrement is added for each good outcome; trustSlowFactor and trustFailedFactor multiply the trust for
	// each slow or failed one.
	trustIncrement    = 0.05
	trustSlowFactor   = 0.5
	trustFailedFactor = 0.25
)

// decayingRate is a rate whose older samples decay exponentially. Samples are weighted by their length.
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

// recordOutcome updates the trust and the learnt prefill rate from an outcome.
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

// isSlow compares an outcome with the latency limits and the best prefill rate seen; the current rate would
// hide a lasting slowdown.
func (t *target) isSlow(o Outcome) bool {
	limit := slowFirstByte
	if t.bestPrefillRate > 0 {
		limit += seconds(slowPrefillFactor * float64(o.Prompt-o.Cached) / t.bestPrefillRate)
	}
	return o.TimeToFirstByte > limit || o.Output > 1 && o.DecodeTime > time.Duration(o.Output-1)*slowTokenGap
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
