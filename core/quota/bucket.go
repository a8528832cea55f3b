package quota

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// demandMin is the demand in tokens per second below which none is reported.
	demandMin = 0.5
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
	others map[ident.ProcessID]seen
	// total is the sum of others as of the last change.
	total float64
	// oldest is the receipt time of the oldest fact in others.
	oldest time.Time
}

type seen struct {
	rate float64
	at   time.Time
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
	if _, ok := b.others[d.Router]; !ok && len(b.others) >= othersMax {
		return
	}
	b.others[d.Router] = seen{rate: max(d.Rate, 0), at: now}
	b.sum(now)
}

// sum drops facts that are too old and adds up the rest.
func (b *bucket) sum(now time.Time) {
	b.total, b.oldest = 0, now
	for r, s := range b.others {
		if now.Sub(s.at) >= DemandKeep {
			delete(b.others, r)
			continue
		}
		b.total += s.rate
		if s.at.Before(b.oldest) {
			b.oldest = s.at
		}
	}
}

// announce returns the demand to spread. Calls within Round of the last one repeat its value.
func (b *bucket) announce(now time.Time) float64 {
	if !b.saidAt.IsZero() && now.Sub(b.saidAt) < Round {
		return b.said[0]
	}
	copy(b.said[1:], b.said[:announcements-1])
	b.said[0], b.saidAt = b.demand(now), now
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

// share returns the part of the rate that this router holds.
func (b *bucket) share(now time.Time, routers int) float64 {
	if len(b.others) > 0 && now.Sub(b.oldest) >= DemandKeep {
		b.sum(now)
	}
	own := b.settled(now)
	if own+b.total == 0 {
		return 1 / float64(routers)
	}
	return Reserve/float64(routers) + (1-Reserve)*own/(own+b.total)
}

// size returns the capacity of the bucket in tokens; at least 1.
func (b *bucket) size(now time.Time, routers int) float64 {
	return max(float64(b.limit.Burst)*b.share(now, routers), 1)
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
