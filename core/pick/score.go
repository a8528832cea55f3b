package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// blockTokens is the length of a block in tokens.
	blockTokens = ident.BlockBytes / ident.TokenBytes
	// drainUnknown is the speed in tokens per second assumed while none is learnt in the pool.
	drainRateDefault = 1000.0
	// busyCost is the penalty of a full window; it spreads requests over targets that all have room.
	fullWindowPenalty = 20 * time.Millisecond
)

// score is a candidate with its estimate.
type candidate struct {
	target   *target
	estimate time.Duration
	cached   ident.Tokens
}

// estimate returns the expected time to the first token at a target, with penalties.
func (p *Picker) estimate(t *target, r *Request) candidate {
	cached := min(ident.Tokens(t.cache.prefix(r.Blocks)*blockTokens), r.Prompt)
	d := t.queueTime(r.Tier) + t.prefillTime(r.Prompt-cached)
	if t.remote {
		d += p.remotePenalty(r)
	}
	return candidate{target: t, estimate: d, cached: cached}
}

// wait returns the expected time in the queue of a target, and a small penalty for what runs there.
func (t *target) queueTime(tier ident.Tier) time.Duration {
	n, sent := t.uncountedAhead(tier)
	ahead := t.tokensAhead(tier)
	busy := time.Duration(float64(fullWindowPenalty) * float64(t.running+n) / float64(max(t.window, 1)))
	if ahead == 0 && t.running+n < t.window || t.reportSeq == 0 {
		return busy
	}
	slot := t.runningTokens / ident.Tokens(max(t.running, 1))
	return busy + seconds(float64(ahead+sent+slot)/firstPositive(t.drainRate, t.pool.drainRate, drainRateDefault))
}

// prefillTime returns the time for n prompt tokens; zero while no speed is known in the pool.
func (t *target) prefillTime(n ident.Tokens) time.Duration {
	v := firstPositive(t.learntPrefill.perSecond(), t.prefillRate, t.pool.prefillRate)
	if v <= 0 {
		return 0
	}
	return seconds(float64(n) / v)
}

// firstOf returns the first positive value, or the last.
func firstPositive(a, b, c float64) float64 {
	switch {
	case a > 0:
		return a
	case b > 0:
		return b
	}
	return c
}
