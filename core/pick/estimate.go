package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// blockTokens is the length of a block in tokens.
	blockTokens = ident.BlockBytes / ident.TokenBytes
	// drainRateDefault is the drain rate in tokens per second assumed while none is known in the pool.
	drainRateDefault = 1000.0
	// fullWindowPenalty is the penalty of a full window; smaller fractions of it balance requests over targets that
	// all have free capacity.
	fullWindowPenalty = 20 * time.Millisecond
)

// candidate is a target with its estimate.
type candidate struct {
	target   *target
	estimate time.Duration
	cached   ident.Tokens
}

// estimate returns a target with the expected time to the first token there, including penalties.
func (p *Picker) estimate(t *target, r *Request) candidate {
	cached := min(ident.Tokens(t.cache.Leading(r.Blocks)*blockTokens), r.Prompt)
	d := t.queueTime(r.Tier) + t.prefillTime(r.Prompt-cached)
	if t.remote {
		d += p.remotePenalty(r)
	}
	return candidate{target: t, estimate: d, cached: cached}
}

// queueTime returns the expected time in the queue of a target, plus a small penalty for the running requests.
func (t *target) queueTime(tier ident.Tier) time.Duration {
	n, uncountedTokens := t.uncountedAhead(tier)
	ahead := t.tokensAhead(tier)
	loadPenalty := time.Duration(float64(fullWindowPenalty) * float64(t.running+n) / float64(max(t.window, 1)))
	if ahead == 0 && t.running+n < t.window || t.reportSeq == 0 {
		return loadPenalty
	}
	slotTokens := t.runningTokens / ident.Tokens(max(t.running, 1))
	return loadPenalty + seconds(float64(ahead+uncountedTokens+slotTokens)/
		firstPositive(t.drainRate, t.pool.drainRate, drainRateDefault))
}

// prefillTime returns the expected prefill time for n prompt tokens; zero while no rate is known in the pool.
func (t *target) prefillTime(n ident.Tokens) time.Duration {
	rate := firstPositive(t.learntPrefill.perSecond(), t.prefillRate, t.pool.prefillRate)
	if rate <= 0 {
		return 0
	}
	return seconds(float64(n) / rate)
}

// firstPositive returns the first positive value of a and b, otherwise c.
func firstPositive(a, b, c float64) float64 {
	switch {
	case a > 0:
		return a
	case b > 0:
		return b
	}
	return c
}
