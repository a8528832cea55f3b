package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// blockTokens is the length of a block in tokens.
	blockTokens = ident.BlockBytes / ident.TokenBytes
	// drainUnknown is the speed in tokens per second assumed while none is learnt in the pool.
	drainUnknown = 1000.0
	// busyCost is the penalty of a full window; it spreads requests over targets that all have room.
	busyCost = 20 * time.Millisecond
)

// score is a candidate with its estimate.
type score struct {
	target *target
	time   time.Duration
	cached ident.Tokens
}

// estimate returns the expected time to the first token at a target, with penalties.
func (p *Picker) estimate(t *target, r *Request) score {
	cached := min(ident.Tokens(t.cache.prefix(r.Blocks)*blockTokens), r.Prompt)
	d := t.wait(r.Tier) + t.prefillTime(r.Prompt-cached)
	if t.remote {
		d += p.remoteCost(r)
	}
	return score{target: t, time: d, cached: cached}
}

// wait returns the expected time in the queue of a target, and a small penalty for what runs there.
func (t *target) wait(tier ident.Tier) time.Duration {
	n, sent := t.since(tier)
	ahead := t.ahead(tier)
	busy := time.Duration(float64(busyCost) * float64(t.running+n) / float64(max(t.window, 1)))
	if ahead == 0 && t.running+n < t.window || t.report == 0 {
		return busy
	}
	slot := t.held / ident.Tokens(max(t.running, 1))
	return busy + seconds(float64(ahead+sent+slot)/firstOf(t.drain, t.pool.drain, drainUnknown))
}

// prefillTime returns the time for n prompt tokens; zero while no speed is known in the pool.
func (t *target) prefillTime(n ident.Tokens) time.Duration {
	v := firstOf(t.learnt.perSecond(), t.prefill, t.pool.prefill)
	if v <= 0 {
		return 0
	}
	return seconds(float64(n) / v)
}

// firstOf returns the first positive value, or the last.
func firstOf(a, b, c float64) float64 {
	switch {
	case a > 0:
		return a
	case b > 0:
		return b
	}
	return c
}
