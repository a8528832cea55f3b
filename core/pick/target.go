package pick

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// noneWaiting stands for the lowest waiting tier of a target with an empty queue, as queue.NoneWaiting does.
	noneWaiting ident.Tier = 255
	// uncountedMax bounds the offers recorded per target since its last report; reports arrive once a second,
	// and a router sends a target a few offers in that time.
	uncountedMax = 32
)

// target is the state that the router knows of one target.
type target struct {
	Target
	pool   *pool
	remote bool
	// listIndex is the index in the pool's list of usable targets, or -1 when the target is not listed.
	listIndex int
	// suspected is set by SetSuspected; refusing is true while the target's reports say that it is draining or
	// refuses offers.
	suspected bool
	refusing  bool
	// excludedUntil is the end of the exclusion after a refusal.
	excludedUntil time.Time

	// reportSeq is the sequence number of the last load report, or zero; the fields down to drainRate are copied
	// from that report.
	reportSeq         ident.Seq
	running           int
	window            int
	runningTokens     ident.Tokens
	lowestWaitingTier ident.Tier
	// waitingTokens holds, for each tier, the tokens that wait in this or a higher tier.
	waitingTokens []ident.Tokens
	prefillRate   float64
	drainRate     float64

	// uncounted holds the offers that the last report may not include, the oldest first.
	uncounted []sentOffer
	cache     cache
	// learntPrefill is the prefill rate learnt from outcomes, and bestPrefillRate the highest one, in tokens per
	// second.
	learntPrefill   decayingRate
	bestPrefillRate float64
	// trust is the probability with which a sampled target is considered, from trustMin to 1.
	trust float64
}

// sentOffer is an offer that this router sent to the target.
type sentOffer struct {
	id     ident.RequestID
	sentAt time.Time
	tier   ident.Tier
	tokens ident.Tokens
}

// applyReport applies a load report that includes all offers sent up to the given time.
func (t *target) applyReport(counted time.Time, l *wire.Load) {
	t.reportSeq = l.Seq
	t.running, t.window, t.runningTokens, t.lowestWaitingTier = l.Running, l.Window, l.HeldTokens, l.LowestWaitingTier
	t.prefillRate, t.drainRate = l.PrefillRate, l.DrainRate
	t.refusing = l.Draining || l.Refusing
	t.waitingTokens = t.waitingTokens[:0]
	var sum ident.Tokens
	for _, n := range l.WaitingByTier {
		sum += n
		t.waitingTokens = append(t.waitingTokens, sum)
	}
	t.uncounted = slices.DeleteFunc(t.uncounted, func(s sentOffer) bool { return !s.sentAt.After(counted) })
}

func (t *target) addOffer(s sentOffer) {
	if len(t.uncounted) >= uncountedMax {
		t.uncounted = slices.Delete(t.uncounted, 0, 1)
	}
	t.uncounted = append(t.uncounted, s)
}

func (t *target) removeOffer(id ident.RequestID) {
	t.uncounted = slices.DeleteFunc(t.uncounted, func(s sentOffer) bool { return s.id == id })
}

// tokensAhead returns the waiting tokens at or above a tier according to the last report.
func (t *target) tokensAhead(tier ident.Tier) ident.Tokens {
	if len(t.waitingTokens) == 0 {
		return 0
	}
	return t.waitingTokens[min(int(tier), len(t.waitingTokens)-1)]
}

// uncountedAhead returns the number and tokens of the offers at or above a tier that the last report may not
// include.
func (t *target) uncountedAhead(tier ident.Tier) (n int, tokens ident.Tokens) {
	for i := range t.uncounted {
		if t.uncounted[i].tier <= tier {
			n++
			tokens += t.uncounted[i].tokens
		}
	}
	return n, tokens
}

func (t *target) usable() bool { return !t.suspected && !t.refusing }
