package pick

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// noFloor is the floor of a target where nothing waits.
	noFloor ident.Tier = 255
	// sentMax bounds the offers remembered per target since its last report; reports come once a second,
	// and a router sends a target a few offers in that time.
	sentMax = 32
)

// target is what the router knows of one target.
type target struct {
	Target
	pool   *pool
	remote bool
	// slot is the position in the pool's list of usable targets, or -1.
	slot      int
	suspected bool
	refusing  bool
	// until ends an exclusion after a refusal.
	until time.Time

	// report is the number of the last load report; the fields below it are taken from that.
	report  ident.Seq
	running int
	window  int
	held    ident.Tokens
	floor   ident.Tier
	// waiting holds, at each tier, the tokens that wait in it or in higher ones.
	waiting []ident.Tokens
	prefill float64
	drain   float64

	// sent holds the offers that the last report may not count, the oldest first.
	sent  []send
	cache cache
	// learnt is the prefill speed from outcomes, and best the highest seen.
	learnt ratio
	best   float64
	// trust is the part of the samplings in which the target is considered, from trustMin to 1.
	trust float64
}

type send struct {
	id     ident.RequestID
	at     time.Time
	tier   ident.Tier
	tokens ident.Tokens
}

// load takes in a report that counts what was sent up to the given time.
func (t *target) load(counted time.Time, l *wire.Load) {
	t.report = l.Seq
	t.running, t.window, t.held, t.floor = l.Running, l.Window, l.HeldTokens, l.LowestWaitingTier
	t.prefill, t.drain = l.PrefillRate, l.DrainRate
	t.refusing = l.Draining || l.Refusing
	t.waiting = t.waiting[:0]
	var sum ident.Tokens
	for _, n := range l.WaitingByTier {
		sum += n
		t.waiting = append(t.waiting, sum)
	}
	t.sent = slices.DeleteFunc(t.sent, func(s send) bool { return !s.at.After(counted) })
}

func (t *target) add(s send) {
	if len(t.sent) >= sentMax {
		t.sent = slices.Delete(t.sent, 0, 1)
	}
	t.sent = append(t.sent, s)
}

func (t *target) remove(id ident.RequestID) {
	t.sent = slices.DeleteFunc(t.sent, func(s send) bool { return s.id == id })
}

// ahead returns the waiting tokens at or above a tier by the last report.
func (t *target) ahead(tier ident.Tier) ident.Tokens {
	if len(t.waiting) == 0 {
		return 0
	}
	return t.waiting[min(int(tier), len(t.waiting)-1)]
}

// since returns number and tokens of the offers at or above a tier that the last report may not count.
func (t *target) since(tier ident.Tier) (n int, tokens ident.Tokens) {
	for i := range t.sent {
		if t.sent[i].tier <= tier {
			n++
			tokens += t.sent[i].tokens
		}
	}
	return n, tokens
}

func (t *target) usable() bool { return !t.suspected && !t.refusing }
