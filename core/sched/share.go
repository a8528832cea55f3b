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

// How the routers divide the slots of a target without asking each other.
//
// Load pattern: more requests than slots at many routers, whose reports are some hundred milliseconds old.
// Each router computes the same division of each target's slots from the reported demands, and fills its
// own slots at once. Beyond them it takes slots that are free and that no router with waiting requests is
// about to fill, at the rate at which all routers with waiting requests together take about these.

const (
	// demandTime is the time constant of the mean demand, several report intervals.
	demandTime = 500 * time.Millisecond
	// demandMin is the demand that counts for a router without any, so that its first request finds a slot.
	demandMin = 0.5
	// remoteWeight is the weight of a router at targets of another region: its requests cross the narrow
	// link.
	remoteWeight = 0.4
	// borrowPart is the part of the free slots that all routers together take beyond their own. With 21
	// routers at 1.2 times the capacity, 0.5 left 4% of requests above the slots, 1 left 7%, and both used
	// 97% of the slots.
	borrowFraction = 0.5
	// lagStart is the age of reports until SetLag is called.
	initialReportInterval = 50 * time.Millisecond
)

// SetLag sets the interval between two reports of a router.
func (p *Pool) SetReportInterval(d time.Duration) { p.reportInterval = d }

// average updates the mean demand.
func (p *Pool) updateDemand(now time.Time) {
	n := float64(len(p.waiting) + p.running)
	if d := now.Sub(p.demandAt); d > 0 {
		p.demand += (n - p.demand) * (1 - math.Exp(-d.Seconds()/demandTime.Seconds()))
		p.demandAt = now
	}
}

// sharer is a router in a division.
type participant struct {
	hash   uint64
	region ident.Region
	demand float64
	loads  map[ident.TargetID]Load
	// waits is true for another router with waiting jobs.
	waiting, self bool
}

// line is the division of the targets of one region: router i has the piece from at[i] to at[i+1] of a line of
// length 1.
type division struct {
	bounds []float64
	self   int
}

// joinGap is the shortest time between two divisions when routers come or are lost. All of them come at the
// start of a deployment.
const shortestDivideGap = 50 * time.Millisecond

// divide computes this router's slots at each target, at most twice per interval of reports, and soon when a
// router is new or lost.
func (p *Pool) divideSlots(now time.Time) {
	age := now.Sub(p.dividedAt)
	if age < p.reportInterval/2 && (p.dividedPeers == len(p.peers) || age < shortestDivideGap) {
		return
	}
	p.dividedAt, p.dividedPeers = now, len(p.peers)
	all := make([]participant, 0, len(p.peers)+1)
	all = append(all, participant{hash: xxhash.Sum64String(string(p.self)), region: p.region, demand: p.demand, self: true})
	waits := false
	for _, r := range p.peers {
		all = append(all, participant{hash: r.hash, region: r.Region, demand: r.Demand, loads: r.loads, waiting: r.Waiting > 0})
		waits = waits || r.Waiting > 0
	}
	slices.SortFunc(all, func(a, b participant) int { return cmp.Compare(a.hash, b.hash) })
	lines := map[ident.Region]division{}
	for _, t := range p.sorted {
		l, ok := lines[t.Region]
		if !ok {
			l = newDivision(all, t.Region)
			lines[t.Region] = l
		}
		t.allotted = l.share(l.self, t)
		t.peerUnfilled = 0
		if waits {
			t.peerUnfilled = l.unfilled(all, t)
		}
	}
}

// draw gives each router a piece in proportion to its weight at the targets of a region.
func newDivision(all []participant, region ident.Region) (l division) {
	l.bounds = make([]float64, len(all)+1)
	for i, s := range all {
		w := max(s.demand, demandMin)
		if s.region != region {
			w *= remoteWeight
		}
		l.bounds[i+1] = l.bounds[i] + w
		if s.self {
			l.self = i
		}
	}
	sum := l.bounds[len(all)]
	for i := range l.bounds {
		l.bounds[i] /= sum
	}
	return l
}

// part returns the slots of router i at a target, which are those that begin in its piece: the parts of all
// routers add up to the slots.
func (l division) share(i int, t *target) int {
	n := float64(t.Slots)
	return int(math.Floor(l.bounds[i+1]*n+t.offset) - math.Floor(l.bounds[i]*n+t.offset))
}

// claimed returns the slots that others with waiting jobs have not filled of theirs.
func (l division) unfilled(all []participant, t *target) (n int) {
	for slot := 1; slot <= t.Slots; {
		begin := (float64(slot) - t.offset) / float64(t.Slots)
		i := min(max(sort.SearchFloat64s(l.bounds, begin)-1, 0), len(all)-1)
		part := max(l.share(i, t), 1)
		if s := all[i]; s.waiting {
			n += max(part-s.loads[t.ID].Running, 0)
		}
		slot += part
	}
	return n
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// open reports whether this router may place one more job on the target.
func (p *Pool) mayPlace(now time.Time, t *target) bool {
	free := t.freeSlots()
	switch {
	case free <= 0:
		return false
	case len(p.peers) == 0, len(t.runs) < t.allotted:
		return true
	}
	turn := p.intervalNumber(now)
	taken := 0
	if t.borrowInterval == turn {
		taken = t.borrowed
	}
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], t.hash)
	binary.LittleEndian.PutUint64(b[8:], uint64(turn))
	return float64(taken)+fraction(xxhash.Sum64(b[:])) < borrowFraction*float64(free-t.peerUnfilled+taken)/float64(p.waitingRouters)
}

// turn numbers the intervals of reports.
func (p *Pool) intervalNumber(now time.Time) int64 {
	return now.UnixNano() / int64(max(p.reportInterval, time.Millisecond))
}

// take counts a placement beyond the own part.
func (p *Pool) countBorrowed(now time.Time, t *target) {
	if len(t.runs) < t.allotted {
		return
	}
	if turn := p.intervalNumber(now); t.borrowInterval != turn {
		t.borrowInterval, t.borrowed = turn, 0
	}
	t.borrowed++
}
