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
	sparseRouters = 16
	sparseShares  = 3
	// othersMax bounds the demand facts held per account.
	peersMax = 512
	// announcements is the number of rounds within Settle, plus the current one.
	announcementsKept = int(SettleTime/AnnounceInterval) + 1
	// retryMax bounds the time told to a caller.
	retryAfterMax = time.Minute
)

// bucket is the state of one account at one router.
type bucket struct {
	limit Limit
	// level is in tokens; a debt is negative.
	level    float64
	filledAt time.Time
	// rate is the averaged own demand in tokens per second at askedAt.
	localDemand   float64
	localDemandAt time.Time
	// said holds the last announcements, the newest first; saidAt is the time of the newest.
	announced   [announcementsKept]float64
	announcedAt time.Time
	// others holds the demand of the other routers in the order of their ids, so that the sum does not
	// depend on the order of a map.
	peers []peerDemand
	// total is the sum of others as of the last change.
	peersTotal float64
	// oldest is the receipt time of the oldest fact in others.
	oldestPeerAt time.Time
}

type peerDemand struct {
	router     ident.ProcessID
	rate       float64
	receivedAt time.Time
}

// asked adds n tokens to the averaged demand.
func (b *bucket) addDemand(now time.Time, n ident.Tokens) {
	b.localDemand = b.currentDemand(now) + float64(n)/DemandTimeConstant.Seconds()
	b.localDemandAt = now
}

func (b *bucket) currentDemand(now time.Time) float64 {
	if b.localDemand == 0 {
		return 0
	}
	return b.localDemand * math.Exp(-now.Sub(b.localDemandAt).Seconds()/DemandTimeConstant.Seconds())
}

func (b *bucket) mergeDemand(now time.Time, d Demand) {
	i, ok := slices.BinarySearchFunc(b.peers, d.Router, func(s peerDemand, r ident.ProcessID) int {
		return cmp.Compare(s.router, r)
	})
	n := peerDemand{router: d.Router, rate: max(d.Rate, 0), receivedAt: now}
	switch {
	case ok:
		b.peersTotal += n.rate - b.peers[i].rate
		b.peers[i] = n
	case len(b.peers) < peersMax:
		b.peersTotal += n.rate
		b.peers = slices.Insert(b.peers, i, n)
	}
	if len(b.peers) == 1 {
		b.expirePeers(now)
	}
}

// sum drops facts that are too old and adds up the rest. It runs when the oldest may be too old, because a
// sum per fact would cost the square of the number of routers each second.
func (b *bucket) expirePeers(now time.Time) {
	b.peers = slices.DeleteFunc(b.peers, func(s peerDemand) bool { return now.Sub(s.receivedAt) >= DemandTTL })
	b.peersTotal, b.oldestPeerAt = 0, now
	for _, s := range b.peers {
		b.peersTotal += s.rate
		if s.receivedAt.Before(b.oldestPeerAt) {
			b.oldestPeerAt = s.receivedAt
		}
	}
}

// announce returns the demand to spread, or zero. Calls within Round of the last one repeat its value.
func (b *bucket) announce(now time.Time, routers int) float64 {
	if !b.announcedAt.IsZero() && now.Sub(b.announcedAt) < AnnounceInterval {
		return b.announced[0]
	}
	copy(b.announced[1:], b.announced[:announcementsKept-1])
	b.announced[0], b.announcedAt = b.currentDemand(now), now
	quiet := demandMin
	if routers > sparseRouters {
		quiet = max(quiet, sparseShares*float64(b.limit.Rate)/float64(routers))
	}
	if b.announced[0] < quiet {
		b.announced[0] = 0
	}
	return b.announced[0]
}

// settled returns the own demand that counts for the share: the least of the current demand and the last
// announcements. Each other router knows one of these announcements or a higher one, so the shares add
// up to at most 1 as soon as facts arrive within Settle.
func (b *bucket) settledDemand(now time.Time) float64 {
	d := b.currentDemand(now)
	for _, s := range b.announced {
		d = min(d, s)
	}
	return d
}

// share returns the part of the rate that this router holds: its settled demand, and an equal part of
// what all known demand leaves of the rate. A small part is divided equally in any case.
func (b *bucket) share(now time.Time, routers int) float64 {
	if len(b.peers) > 0 && now.Sub(b.oldestPeerAt) >= DemandTTL {
		b.expirePeers(now)
	}
	own, rate := b.settledDemand(now), float64(b.limit.Rate)
	total := own + b.peersTotal
	slack := max(rate-total, 0) / float64(routers)
	return ReservedFraction/float64(routers) + (1-ReservedFraction)*(own+slack)/max(total, rate, 1)
}

// size returns the capacity of the bucket in tokens.
func (b *bucket) capacity(now time.Time, routers int) float64 {
	burst := float64(b.limit.Burst)
	return max(burst*b.share(now, routers), min(burst, BurstMin), 1)
}

// fill adds what accrued since the last change and trims the level to the capacity.
func (b *bucket) refill(now time.Time, routers int) {
	if d := now.Sub(b.filledAt).Seconds(); d > 0 {
		b.level += d * float64(b.limit.Rate) * b.share(now, routers)
		b.filledAt = now
	}
	b.level = min(b.level, b.capacity(now, routers))
}

// until returns the time in which the level reaches need.
func (b *bucket) timeUntil(now time.Time, routers int, need float64) time.Duration {
	rate := float64(b.limit.Rate) * b.share(now, routers)
	d := time.Duration((need - b.level) / rate * float64(time.Second))
	return min(max(d, time.Second), retryAfterMax)
}
