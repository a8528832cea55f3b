package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// demandMin is the demand in tokens per second below which zero is announced.
	demandMin = 0.5
	// sparseRouters is the number of routers above which a demand below sparseShares times an equal share of
	// the rate is not announced; the equally divided reserve and the unused rate serve it. Otherwise the announcements
	// for accounts spread over 100 routers would exceed the budget for gossip entries.
	sparseRouters = 16
	sparseShares  = 3
	// peersMax bounds the demand entries of other routers held per account.
	peersMax = 512
	// announcementsKept is the number of announcements within SettleTime, plus the current one.
	announcementsKept = int(SettleTime/AnnounceInterval) + 1
	// retryAfterMax bounds the retry time returned to a caller.
	retryAfterMax = time.Minute
)

// bucket is the token bucket of one account at one router.
type bucket struct {
	limit Limit
	// level is in tokens; a debt is negative.
	level    float64
	filledAt time.Time
	// localDemand is the averaged demand at this router in tokens per second, as of localDemandAt.
	localDemand   float64
	localDemandAt time.Time
	// announced holds the last announcements, the newest first; announcedAt is the time of the newest.
	announced   [announcementsKept]float64
	announcedAt time.Time
	// peers holds the demand of the other routers in the order of their ids, so that the sum does not
	// depend on the order of a map.
	peers []peerDemand
	// peersTotal is the sum of peers as of the last change, in tokens per second.
	peersTotal float64
	// oldestPeerAt is the receipt time of the oldest entry in peers.
	oldestPeerAt time.Time
}

type peerDemand struct {
	router     ident.ProcessID
	rate       float64
	receivedAt time.Time
}

// addDemand adds n tokens to the averaged local demand.
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
	entry := peerDemand{router: d.Router, rate: max(d.Rate, 0), receivedAt: now}
	switch {
	case ok:
		b.peersTotal += entry.rate - b.peers[i].rate
		b.peers[i] = entry
	case len(b.peers) < peersMax:
		b.peersTotal += entry.rate
		b.peers = slices.Insert(b.peers, i, entry)
	}
	if len(b.peers) == 1 { // the first entry sets oldestPeerAt
		b.expirePeers(now)
	}
}

// expirePeers drops expired entries and sums up the rest. It runs only when the oldest may have expired, because
// a sum per entry would cost the square of the number of routers each second.
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

// announce returns the demand to publish, or zero. Calls within AnnounceInterval of the last one return its value.
func (b *bucket) announce(now time.Time, routers int) float64 {
	if !b.announcedAt.IsZero() && now.Sub(b.announcedAt) < AnnounceInterval {
		return b.announced[0]
	}
	copy(b.announced[1:], b.announced[:announcementsKept-1])
	b.announced[0], b.announcedAt = b.currentDemand(now), now
	threshold := demandMin
	if routers > sparseRouters {
		threshold = max(threshold, sparseShares*float64(b.limit.Rate)/float64(routers))
	}
	if b.announced[0] < threshold {
		b.announced[0] = 0
	}
	return b.announced[0]
}

// settledDemand returns the local demand that counts for the share: the minimum of the current demand and the
// last announcements. Each other router knows one of these announcements or a higher one, so the shares add up
// to at most 1 once entries arrive within SettleTime.
func (b *bucket) settledDemand(now time.Time) float64 {
	d := b.currentDemand(now)
	for _, s := range b.announced {
		d = min(d, s)
	}
	return d
}

// share returns the fraction of the rate allotted to this router: its settled demand plus an equal share of the
// rate that no known demand uses. ReservedFraction of the rate is divided equally in any case.
func (b *bucket) share(now time.Time, routers int) float64 {
	if len(b.peers) > 0 && now.Sub(b.oldestPeerAt) >= DemandTTL {
		b.expirePeers(now)
	}
	settled, rate := b.settledDemand(now), float64(b.limit.Rate)
	total := settled + b.peersTotal
	unusedShare := max(rate-total, 0) / float64(routers)
	return ReservedFraction/float64(routers) + (1-ReservedFraction)*(settled+unusedShare)/max(total, rate, 1)
}

// capacity returns the capacity of the bucket in tokens.
func (b *bucket) capacity(now time.Time, routers int) float64 {
	burst := float64(b.limit.Burst)
	return max(burst*b.share(now, routers), min(burst, BurstMin), 1)
}

// refill adds the tokens accrued since the last refill and limits the level to the capacity.
func (b *bucket) refill(now time.Time, routers int) {
	if d := now.Sub(b.filledAt).Seconds(); d > 0 {
		b.level += d * float64(b.limit.Rate) * b.share(now, routers)
		b.filledAt = now
	}
	b.level = min(b.level, b.capacity(now, routers))
}

// timeUntil returns the time until the level reaches need.
func (b *bucket) timeUntil(now time.Time, routers int, need float64) time.Duration {
	rate := float64(b.limit.Rate) * b.share(now, routers)
	d := time.Duration((need - b.level) / rate * float64(time.Second))
	return min(max(d, time.Second), retryAfterMax)
}
