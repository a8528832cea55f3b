package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// demandMin is the demand in tokens per second below which none is announced.
	demandMin = 0.5
	// quietRouters is the number of routers above which a demand below quietParts equal parts of the
	// rate is not announced; the equal parts and what is left of the rate serve it. Otherwise
	// announcements of accounts spread over 100 routers would exceed the budget for facts.
	quietRouters = 16
	quietParts   = 3
	// othersMax bounds the demand facts held per account.
	othersMax = 512
	// announcements is the number of rounds within Settle, plus the current one.
	announcements = int(Settle/Round) + 1
	// retryMax bounds the time told to a caller.
	retryMax = time.Minute
)

// bucket is the state of one account at one router.
type bucket struct {
	limit Limit
	// level is in tokens; a debt is negative.
	level float64
	at    time.Time
	// rate is the averaged own demand in tokens per second at askedAt.
	rate    float64
	askedAt time.Time
	// said holds the last announcements, the newest first; saidAt is the time of the newest.
	said   [announcements]float64
	saidAt time.Time
	// others holds the demand of the other routers in the order of their ids, so that the sum does not
	// depend on the order of a map.
	others []seen
	// total is the sum of others as of the last change.
	total float64
	// oldest is the receipt time of the oldest fact in others.
	oldest time.Time
}

type seen struct {
	router ident.ProcessID
	rate   float64
	at     time.Time
}

// asked adds n tokens to the averaged demand.
func (b *bucket) asked(now time.Time, n ident.Tokens) {
	b.rate = b.demand(now) + float64(n)/DemandTime.Seconds()
	b.askedAt = now
}

func (b *bucket) demand(now time.Time) float64 {
	if b.rate == 0 {
		return 0
	}
	return b.rate * math.Exp(-now.Sub(b.askedAt).Seconds()/DemandTime.Seconds())
}

func (b *bucket) learn(now time.Time, d Demand) {
	i, ok := slices.BinarySearchFunc(b.others, d.Router, func(s seen, r ident.ProcessID) int {
		return cmp.Compare(s.router, r)
	})
	n := seen{router: d.Router, rate: max(d.Rate, 0), at: now}
	switch {
	case ok:
		b.total += n.rate - b.others[i].rate
		b.others[i] = n
	case len(b.others) < othersMax:
		b.total += n.rate
		b.others = slices.Insert(b.others, i, n)
	}
	if len(b.others) == 1 {
		b.sum(now)
	}
}

// sum drops facts that are too old and adds up the rest. It runs when the oldest may be too old, because a
// sum per fact would cost the square of the number of routers each second.
func (b *bucket) sum(now time.Time) {
	b.others = slices.DeleteFunc(b.others, func(s seen) bool { return now.Sub(s.at) >= DemandKeep })
	b.total, b.oldest = 0, now
	for _, s := range b.others {
		b.total += s.rate
		if s.at.Before(b.oldest) {
			b.oldest = s.at
		}
	}
}

// announce returns the demand to spread, or zero. Calls within Round of the last one repeat its value.
func (b *bucket) announce(now time.Time, routers int) float64 {
	if !b.saidAt.IsZero() && now.Sub(b.saidAt) < Round {
		return b.said[0]
	}
	copy(b.said[1:], b.said[:announcements-1])
	b.said[0], b.saidAt = b.demand(now), now
	quiet := demandMin
	if routers > quietRouters {
		quiet = max(quiet, quietParts*float64(b.limit.Rate)/float64(routers))
	}
	if b.said[0] < quiet {
		b.said[0] = 0
	}
	return b.said[0]
}

// settled returns the own demand that counts for the share: the least of the current demand and the last
// announcements. Each other router knows one of these announcements or a higher one, so the shares add
// up to at most 1 as soon as facts arrive within Settle.
func (b *bucket) settled(now time.Time) float64 {
	d := b.demand(now)
	for _, s := range b.said {
		d = min(d, s)
	}
	return d
}

// share returns the part of the rate that this router holds: its settled demand, and an equal part of
// what all known demand leaves of the rate. A small part is divided equally in any case.
func (b *bucket) share(now time.Time, routers int) float64 {
	if len(b.others) > 0 && now.Sub(b.oldest) >= DemandKeep {
		b.sum(now)
	}
	own, rate := b.settled(now), float64(b.limit.Rate)
	total := own + b.total
	slack := max(rate-total, 0) / float64(routers)
	return Reserve/float64(routers) + (1-Reserve)*(own+slack)/max(total, rate, 1)
}

// size returns the capacity of the bucket in tokens.
func (b *bucket) size(now time.Time, routers int) float64 {
	burst := float64(b.limit.Burst)
	return max(burst*b.share(now, routers), min(burst, BurstMin), 1)
}

// fill adds what accrued since the last change and trims the level to the capacity.
func (b *bucket) fill(now time.Time, routers int) {
	if d := now.Sub(b.at).Seconds(); d > 0 {
		b.level += d * float64(b.limit.Rate) * b.share(now, routers)
		b.at = now
	}
	b.level = min(b.level, b.size(now, routers))
}

// until returns the time in which the level reaches need.
func (b *bucket) until(now time.Time, routers int, need float64) time.Duration {
	rate := float64(b.limit.Rate) * b.share(now, routers)
	d := time.Duration((need - b.level) / rate * float64(time.Second))
	return min(max(d, time.Second), retryMax)
}
