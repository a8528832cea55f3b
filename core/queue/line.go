package queue

import (
	"slices"

	"hickoryvane.example/core/ident"
)

// line holds the waiting offers by tier, account and deadline.
type waitList struct {
	byID map[ident.RequestID]*entry
	// tiers holds the tiers in which offers wait, the highest first.
	tiers        []*tier
	tokens       ident.Tokens
	lastSequence uint64
}

type entry struct {
	Item
	// number orders offers with equal deadlines by arrival.
	sequence uint64
}

// tier holds the offers of one tier.
type tier struct {
	rank   ident.Tier
	tokens ident.Tokens
	// lanes holds one lane per account, in the order in which they were added.
	lanes []*lane
}

// lane holds the offers of one account in one tier, the earliest deadline first; it is never empty.
type lane struct {
	account ident.AccountID
	weight  int
	tokens  ident.Tokens
	entries []*entry
}

func newWaitList() waitList { return waitList{byID: map[ident.RequestID]*entry{}} }

func (l *waitList) add(e *entry) {
	l.lastSequence++
	e.sequence = l.lastSequence
	l.byID[e.ID] = e
	t := l.tier(e.Tier)
	la := t.lane(e)
	i, _ := slices.BinarySearchFunc(la.entries, e, compare)
	la.entries = slices.Insert(la.entries, i, e)
	la.tokens += e.Charge()
	t.tokens += e.Charge()
	l.tokens += e.Charge()
}

func (l *waitList) remove(e *entry) {
	delete(l.byID, e.ID)
	t := l.tier(e.Tier)
	la := t.lane(e)
	i, _ := slices.BinarySearchFunc(la.entries, e, compare)
	la.entries = slices.Delete(la.entries, i, i+1)
	la.tokens -= e.Charge()
	t.tokens -= e.Charge()
	l.tokens -= e.Charge()
	if len(la.entries) == 0 {
		t.lanes = slices.DeleteFunc(t.lanes, func(o *lane) bool { return o == la })
	}
	if len(t.lanes) == 0 {
		l.tiers = slices.DeleteFunc(l.tiers, func(o *tier) bool { return o == t })
	}
}

// worst returns the offer to evict for one of the given tier: of the lowest tier that waits, if it is
// lower, the one with the latest deadline. It returns nil when no lower tier waits.
func (l *waitList) evictionCandidate(above ident.Tier) (worst *entry) {
	if len(l.tiers) == 0 {
		return nil
	}
	t := l.tiers[len(l.tiers)-1]
	if t.rank <= above {
		return nil
	}
	for _, la := range t.lanes {
		if e := la.entries[len(la.entries)-1]; worst == nil || compare(e, worst) > 0 {
			worst = e
		}
	}
	return worst
}

// all returns the waiting offers in the order of tiers, accounts and deadlines.
func (l *waitList) all() []*entry {
	out := make([]*entry, 0, len(l.byID))
	for _, t := range l.tiers {
		for _, la := range t.lanes {
			out = append(out, la.entries...)
		}
	}
	return out
}

// floor returns the lowest tier that waits, or NoFloor.
func (l *waitList) lowestTier() ident.Tier {
	if len(l.tiers) == 0 {
		return NoneWaiting
	}
	return l.tiers[len(l.tiers)-1].rank
}

func (l *waitList) tier(rank ident.Tier) *tier {
	i, ok := slices.BinarySearchFunc(l.tiers, rank, func(t *tier, r ident.Tier) int { return int(t.rank) - int(r) })
	if !ok {
		l.tiers = slices.Insert(l.tiers, i, &tier{rank: rank})
	}
	return l.tiers[i]
}

func (t *tier) lane(e *entry) *lane {
	for _, la := range t.lanes {
		if la.account == e.Account {
			la.weight = e.Weight
			return la
		}
	}
	la := &lane{account: e.Account, weight: e.Weight}
	t.lanes = append(t.lanes, la)
	return la
}

// compare orders by deadline, then by arrival.
func compare(a, b *entry) int {
	if c := a.Deadline.Compare(b.Deadline); c != 0 {
		return c
	}
	switch {
	case a.sequence < b.sequence:
		return -1
	case a.sequence > b.sequence:
		return 1
	}
	return 0
}
