package sched

import (
	"time"

	"hickoryvane.example/core/ident"
)

// How many requests a target gets that states a rate.
//
// Load pattern: targets in need state in their answers how many requests a second they take from all routers
// together, far below what their slots would allow. Any router may have the next answer, and the rate ends with an
// answer that states none, so the newest statement counts, and routers tell each other. Each router keeps a replica
// of one bucket per target, which all requests of all routers empty. Reports are late, so routers take what is in the
// bucket at random, each in proportion to its demand and some of it in each report interval.

const (
	// rateMin is the least rate that is assumed, per second: without any request there would be no answer that ends
	// the rate.
	rateMin = 0.2
	// rateBurst is the time for which a bucket collects its rate, beyond one request.
	rateBurst = 500 * time.Millisecond
	// rateEndTime is the time for which the end of a rate is reported.
	rateEndTime = 5 * time.Second
)

// rate is the rate that a target states, with this router's replica of its bucket.
type rate struct {
	// perSecond is zero while the target states none. at is the time of the newest statement.
	perSecond float64
	at        time.Time
	// level is in requests; a debt is negative.
	level    float64
	filledAt time.Time
	// sent counts the requests of this router, peerSent those that the others last reported.
	sent     uint64
	peerSent map[ident.ProcessID]uint64
	// taken is the number of requests of this router in the report interval with the number interval.
	taken    int
	interval int64
}

// Rate is what a router reports of a target that states a rate, or did recently.
type Rate struct {
	Target ident.TargetID
	// PerSecond is the rate, zero if the target states none any more; At is the time of the statement.
	PerSecond float64
	At        time.Time
	// Sent counts the requests that the router has sent to the target since it knows that it states a rate.
	Sent uint64
}

// StateRate records what a target states in an answer: a rate, or none. It reports whether that is new.
func (p *Pool) StateRate(now time.Time, id ident.TargetID, stated bool, perSecond float64) (changed bool) {
	t, ok := p.targets[id]
	if !ok {
		return false
	}
	if stated {
		return t.stateRate(now, now, max(perSecond, rateMin))
	}
	return t.stateRate(now, now, 0)
}

// stateRate applies a statement unless a newer one is known.
func (t *target) stateRate(now, at time.Time, perSecond float64) (changed bool) {
	r := t.rate
	switch {
	case r == nil && perSecond == 0:
		return false
	case r == nil:
		r = &rate{level: 1, filledAt: now, peerSent: map[ident.ProcessID]uint64{}}
		t.rate = r
	case !at.After(r.at):
		return false
	}
	r.fill(now, t.rateShare())
	changed = r.perSecond != perSecond
	r.perSecond, r.at = perSecond, at
	return changed
}

// rateShare returns the part of a stated rate that the routers of this cell share.
func (t *target) rateShare() float64 {
	if t.RateShare > 0 {
		return t.RateShare
	}
	return 1
}

// fill fills the bucket up to now.
func (r *rate) fill(now time.Time, share float64) {
	if d := now.Sub(r.filledAt); d > 0 {
		r.level = min(r.level+r.perSecond*share*d.Seconds(), r.size(share))
		r.filledAt = now
	}
}

// size returns the number of requests that a full bucket holds.
func (r *rate) size(share float64) float64 { return 1 + r.perSecond*share*rateBurst.Seconds() }

// full reports whether the bucket was full when it was last filled.
func (r *rate) full(share float64) bool { return r.level >= r.size(share) }

// withinRate reports whether the rate that the target states, or that of a cold one, allows this router one more request
// now.
func (p *Pool) withinRate(now time.Time, t *target) bool {
	if !p.withinCold(now, t) {
		return false
	}
	r := t.rate
	if r == nil || r.perSecond == 0 {
		return true
	}
	r.fill(now, t.rateShare())
	if r.level < 1 {
		return false
	}
	if len(p.peers) == 0 {
		return true
	}
	taken := 0
	if interval := p.intervalNumber(now); r.interval == interval {
		taken = r.taken
	}
	return float64(taken)+p.draw(now, t) < borrowFraction*(r.level+float64(taken))*p.demandShare
}

// rateRoom returns the number of requests that the stated rate allows all routers now, at most n.
func (p *Pool) rateRoom(now time.Time, t *target, n int) int {
	if c := p.limitedState(now, t.ID); c != nil {
		p.fillCold(now, t, c)
		n = min(n, int(c.level))
	}
	if t.rate == nil || t.rate.perSecond == 0 {
		return n
	}
	t.rate.fill(now, t.rateShare())
	return max(min(n, int(t.rate.level)), 0)
}

// countRate takes a request from the bucket of a target that states a rate.
func (p *Pool) countRate(now time.Time, t *target) {
	r := t.rate
	if r == nil || r.perSecond == 0 {
		return
	}
	r.fill(now, t.rateShare())
	r.level--
	r.sent++
	if interval := p.intervalNumber(now); r.interval != interval {
		r.interval, r.taken = interval, 0
	}
	r.taken++
}

// rates returns the rates to report.
func (p *Pool) rates(now time.Time) (out []Rate) {
	for _, t := range p.sorted {
		if r := t.rate; r != nil && (r.perSecond > 0 || now.Sub(r.at) < rateEndTime) {
			out = append(out, Rate{Target: t.ID, PerSecond: r.perSecond, At: r.at, Sent: r.sent})
		}
	}
	return out
}

// mergeRates applies the rates that another router reports. Of a router that was not heard before, only later requests
// are charged.
func (p *Pool) mergeRates(now time.Time, from ident.ProcessID, rates []Rate) {
	for _, m := range rates {
		t, ok := p.targets[m.Target]
		if !ok {
			continue
		}
		t.stateRate(now, m.At, m.PerSecond)
		r := t.rate
		if r == nil {
			continue
		}
		last, known := r.peerSent[from]
		r.peerSent[from] = m.Sent
		if m.Sent < last {
			last = 0 // the router has started again
		}
		if known && r.perSecond > 0 {
			r.fill(now, t.rateShare())
			r.level -= float64(m.Sent - last)
		}
	}
}
