package pick

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// noFloor is the floor of a target where nothing waits.
	noTierWaiting ident.Tier = 255
	// sentMax bounds the offers remembered per target since its last report; reports come once a second,
	// and a router sends a target a few offers in that time.
	uncountedMax = 32
)

// target is what the router knows of one target.
type target struct {
	Target
	pool   *pool
	remote bool
	// slot is the position in the pool's list of usable targets, or -1.
	listIndex int
	suspected bool
	refusing  bool
	// until ends an exclusion after a refusal.
	excludedUntil time.Time

	// report is the number of the last load report; the fields below it are taken from that.
	reportSeq         ident.Seq
	running           int
	window            int
	runningTokens     ident.Tokens
	lowestWaitingTier ident.Tier
	// waiting holds, at each tier, the tokens that wait in it or in higher ones.
	waitingTokens []ident.Tokens
	prefillRate   float64
	drainRate     float64

	// sent holds the offers that the last report may not count, the oldest first.
	uncounted []sentOffer
	cache     cache
	// learnt is the prefill speed from outcomes, and best the highest seen.
	learntPrefill   decayingRate
	bestPrefillRate float64
	// trust is the part of the samplings in which the target is considered, from trustMin to 1.
	trust float64
}

type sentOffer struct {
	id     ident.RequestID
	sentAt time.Time
	tier   ident.Tier
	tokens ident.Tokens
}

// load takes in a report that counts what was sent up to the given time.
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

// ahead returns the waiting tokens at or above a tier by the last report.
func (t *target) tokensAhead(tier ident.Tier) ident.Tokens {
	if len(t.waitingTokens) == 0 {
		return 0
	}
	return t.waitingTokens[min(int(tier), len(t.waitingTokens)-1)]
}

// since returns number and tokens of the offers at or above a tier that the last report may not count.
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
