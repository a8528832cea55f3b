package sched

import (
	"cmp"
	"encoding/binary"
	"math"
	"slices"
	"sort"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// How the routers divide the slots of a target without coordination.
//
// Load pattern: more requests than slots at many routers, whose reports are some hundred milliseconds old. Each
// router computes the same division of each target's slots from the reported demands and may fill its allotted
// share at any time. Beyond its share it borrows slots that are free and that no router with waiting requests is
// about to fill. The rate of borrowing is limited so that all routers with waiting requests together take about
// as many as there are.

const (
	// demandTime is the time constant of the mean demand; it spans several report intervals.
	demandTime = 500 * time.Millisecond
	// demandMin is the least demand assumed for a router, so that the first request of an idle one finds a slot.
	demandMin = 0.5
	// remoteWeight is the weight of a router at targets of another region, as its requests cross the narrow link
	// between regions.
	remoteWeight = 0.4
	// borrowFraction is the fraction of the free slots that all routers together borrow beyond their shares.
	// With 21 routers at 1.2 times the capacity, 0.5 put 4% of the requests above the slots and 1 put 7%; both
	// used 97% of the slots.
	borrowFraction = 0.5
	// initialReportInterval is the report interval until SetReportInterval is called.
	initialReportInterval = 50 * time.Millisecond
)

// SetReportInterval sets the interval between two reports of a router.
func (p *Pool) SetReportInterval(d time.Duration) { p.reportInterval = d }

// updateDemand updates the mean demand.
func (p *Pool) updateDemand(now time.Time) {
	n := float64(len(p.waiting) + p.running)
	if d := now.Sub(p.demandAt); d > 0 {
		p.demand += (n - p.demand) * (1 - math.Exp(-d.Seconds()/demandTime.Seconds()))
		p.demandAt = now
	}
}

// participant is a router that takes part in a division of slots.
type participant struct {
	hash   uint64
	region ident.Region
	demand float64
	loads  map[ident.TargetID]Load
	// waiting is true for another router with waiting jobs.
	waiting, self bool
}

// division divides the slots of the targets of one region: router i has the interval from bounds[i] to
// bounds[i+1] of [0, 1].
type division struct {
	bounds []float64
	self   int
}

// shortestDivideGap is the shortest time between two divisions when routers join or are lost. At the start of a
// deployment all of them join, and each would cause a division.
const shortestDivideGap = 50 * time.Millisecond

// divideSlots computes this router's share of the slots of each target, at most twice per report interval, or
// sooner when a router joined or was lost.
func (p *Pool) divideSlots(now time.Time) {
	age := now.Sub(p.dividedAt)
	if age < p.reportInterval/2 && (p.dividedPeers == len(p.peers) || age < shortestDivideGap) {
		return
	}
	p.dividedAt, p.dividedPeers = now, len(p.peers)
	all := make([]participant, 0, len(p.peers)+1)
	all = append(all, participant{hash: xxhash.Sum64String(string(p.self)), region: p.region, demand: p.demand, self: true})
	anyWaiting := false
	for _, r := range p.peers {
		all = append(all, participant{hash: r.hash, region: r.Region, demand: r.Demand, loads: r.loads, waiting: r.Waiting > 0})
		anyWaiting = anyWaiting || r.Waiting > 0
	}
	slices.SortFunc(all, func(a, b participant) int { return cmp.Compare(a.hash, b.hash) })
	sum := 0.0
	for _, s := range all {
		sum += max(s.demand, demandMin)
	}
	p.demandShare = max(p.demand, demandMin) / sum
	divisions := map[ident.Region]division{}
	for _, t := range p.sorted {
		d, ok := divisions[t.Region]
		if !ok {
			d = newDivision(all, t.Region)
			divisions[t.Region] = d
		}
		t.allotted = d.share(d.self, t)
		t.peerUnfilled = 0
		if anyWaiting {
			t.peerUnfilled = d.unfilled(all, t)
		}
	}
}

// newDivision gives each router an interval in proportion to its weight at the targets of a region.
func newDivision(all []participant, region ident.Region) (d division) {
	d.bounds = make([]float64, len(all)+1)
	for i, s := range all {
		w := max(s.demand, demandMin)
		if s.region != region {
			w *= remoteWeight
		}
		d.bounds[i+1] = d.bounds[i] + w
		if s.self {
			d.self = i
		}
	}
	sum := d.bounds[len(all)]
	for i := range d.bounds {
		d.bounds[i] /= sum
	}
	return d
}

// share returns the number of slots of router i at a target: those that begin in its interval. The shares of all
// routers add up to the slots of the target.
func (d division) share(i int, t *target) int {
	n := float64(t.Slots)
	return int(math.Floor(d.bounds[i+1]*n+t.offset) - math.Floor(d.bounds[i]*n+t.offset))
}

// unfilled returns the number of allotted slots that other routers with waiting jobs have not filled yet.
func (d division) unfilled(all []participant, t *target) (n int) {
	for slot := 1; slot <= t.Slots; {
		begin := (float64(slot) - t.offset) / float64(t.Slots)
		i := min(max(sort.SearchFloat64s(d.bounds, begin)-1, 0), len(all)-1)
		share := max(d.share(i, t), 1)
		if s := all[i]; s.waiting {
			n += max(share-s.loads[t.ID].Running, 0)
		}
		slot += share
	}
	return n
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// mayPlace reports whether this router may place one more job on the target.
func (p *Pool) mayPlace(now time.Time, t *target) bool {
	free := t.freeSlots()
	switch {
	case free <= 0 || !p.takes(now, t) || !p.withinRate(now, t):
		return false
	case len(p.peers) == 0, len(t.runs) < t.allotted:
		return true
	}
	return p.mayBorrow(now, t, free-t.peerUnfilled)
}

// mayBorrow reports whether this router may place one more job beyond its share, of as many as there is room for.
func (p *Pool) mayBorrow(now time.Time, t *target, room int) bool {
	borrowed := 0
	if t.borrowInterval == p.intervalNumber(now) {
		borrowed = t.borrowed
	}
	return float64(borrowed)+p.draw(now, t) < borrowFraction*float64(room+borrowed)/float64(p.waitingRouters)
}

// draw returns a number in [0, 1) for a target in the present report interval, which differs between routers.
func (p *Pool) draw(now time.Time, t *target) float64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(p.intervalNumber(now)))
	return fraction(xxhash.Sum64(b[:]))
}

// intervalNumber returns the number of the report interval that contains now.
func (p *Pool) intervalNumber(now time.Time) int64 {
	return now.UnixNano() / int64(max(p.reportInterval, time.Millisecond))
}

// countBorrowed counts a placement beyond the allotted share.
func (p *Pool) countBorrowed(now time.Time, t *target) {
	if len(t.runs) < t.allotted {
		return
	}
	if interval := p.intervalNumber(now); t.borrowInterval != interval {
		t.borrowInterval, t.borrowed = interval, 0
	}
	t.borrowed++
}
