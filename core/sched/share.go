package sched

import (
	"cmp"
	"math"
	"slices"
	"strconv"
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
	borrowPart = 0.5
	// lagStart is the age of reports until SetLag is called.
	lagStart = 50 * time.Millisecond
)

// SetLag sets the interval between two reports of a router.
func (p *Pool) SetLag(d time.Duration) { p.lag = d }

// average updates the mean demand.
func (p *Pool) average(now time.Time) {
	n := float64(len(p.waiting))
	for _, t := range p.order {
		n += float64(len(t.runs))
	}
	if d := now.Sub(p.averaged); d > 0 {
		p.demand += (n - p.demand) * (1 - math.Exp(-d.Seconds()/demandTime.Seconds()))
		p.averaged = now
	}
}

// sharer is a router in a division.
type sharer struct {
	hash   uint64
	weight float64
	// running is the number of its jobs at the target; waits is true when it has waiting jobs.
	running     int
	waits, self bool
}

// divide computes this router's slots at each target, at most twice per interval of reports and when a
// router is new or lost.
func (p *Pool) divide(now time.Time) {
	if now.Sub(p.divided) < p.lag/2 && p.sharers == len(p.peers) {
		return
	}
	p.divided, p.sharers = now, len(p.peers)
	all := make([]sharer, 0, len(p.peers)+1)
	for _, t := range p.order {
		all = append(all[:0], sharer{hash: hashOf(p.self, t.ID), weight: weight(t, p.region, p.demand), self: true})
		for id, r := range p.peers {
			all = append(all, sharer{
				hash: hashOf(id, t.ID), weight: weight(t, r.Region, r.Demand),
				running: r.running[t.ID], waits: r.Waiting > 0,
			})
		}
		slices.SortFunc(all, func(a, b sharer) int { return cmp.Compare(a.hash, b.hash) })
		t.own, t.claimed = parts(all, t.Slots, fraction(xxhash.Sum64String(string(t.ID))))
	}
}

func hashOf(id ident.ProcessID, t ident.TargetID) uint64 {
	return xxhash.Sum64String(string(id) + "/" + string(t))
}

func weight(t *target, region ident.Region, demand float64) float64 {
	w := max(demand, demandMin)
	if region != t.Region {
		w *= remoteWeight
	}
	return w
}

// parts divides slots in proportion to the weights, rounded so that the parts add up to slots: each part is
// a piece of a line, and contains the whole numbers that begin in it. It returns the own part, and the
// slots that others with waiting jobs have not filled of theirs.
func parts(all []sharer, slots int, offset float64) (own, claimed int) {
	var sum, at float64
	for _, s := range all {
		sum += s.weight
	}
	for _, s := range all {
		next := at + s.weight/sum*float64(slots)
		n := int(math.Floor(next+offset) - math.Floor(at+offset))
		switch {
		case s.self:
			own = n
		case s.waits:
			claimed += max(n-s.running, 0)
		}
		at = next
	}
	return own, claimed
}

// fraction maps a hash to [0, 1).
func fraction(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// open reports whether this router may place one more job on the target.
func (p *Pool) open(now time.Time, t *target) bool {
	free := t.room()
	switch {
	case free <= 0:
		return false
	case len(p.peers) == 0, len(t.runs) < t.own:
		return true
	}
	turn := p.turn(now)
	taken := 0
	if t.turn == turn {
		taken = t.taken
	}
	h := xxhash.Sum64String(string(p.self) + "/" + string(t.ID) + "/" + strconv.FormatInt(turn, 36))
	return float64(taken)+fraction(h) < borrowPart*float64(free-t.claimed+taken)/float64(p.eager)
}

// turn numbers the intervals of reports.
func (p *Pool) turn(now time.Time) int64 { return now.UnixNano() / int64(max(p.lag, time.Millisecond)) }

// take counts a placement beyond the own part.
func (p *Pool) take(now time.Time, t *target) {
	if len(t.runs) < t.own {
		return
	}
	if turn := p.turn(now); t.turn != turn {
		t.turn, t.taken = turn, 0
	}
	t.taken++
}
