package sched

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// The order in which requests wait.
//
// Load pattern: a burst of all kinds of requests above the capacity of the targets. A request that can still be answered on
// time is worth more to its caller than one that is late in any case, so late requests get only the slots that the others
// leave free, except for those of the highest classes (see ahead.go), which keep their rank. Among requests of the same
// timeliness, higher tiers precede lower ones, then those that can be on time precede late ones, then earlier arrivals
// precede later ones. A request that will take long, or whose account has used much of its limit, is deferred, so that
// others of its class overtake it: durations differ a hundredfold, and many short requests are answered in the time of a
// long one. The deferral of long requests is small, so that they are served about as often as others.

const (
	// deferFraction is the fraction of its expected duration by which a job is deferred, up to deferMax.
	deferFraction = 0.1
	deferMax      = 300 * time.Millisecond
)

// deferral returns the time by which a job is deferred behind others of its class.
func (p *Pool) deferral(j *Job) time.Duration {
	d, ok := p.StreamDuration(j.Output, j.Stride)
	if !ok {
		return 0
	}
	return min(time.Duration(deferFraction*float64(d)), deferMax)
}

// timeliness tells whether a job can be on time.
type timeliness uint8

const (
	// answerStarted: a part of the answer was delivered.
	answerStarted timeliness = iota
	// timely: the job can be on time, or it is late and of one of the highest classes, which keep their rank.
	timely
	// overdue: the job is late.
	overdue
)

// class is the first criterion of the order of waiting jobs, before their arrival. Lower values precede higher
// ones.
type class struct {
	timeliness      timeliness
	tier, routeTier ident.Tier
}

func (a class) compare(b class) int {
	return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.tier, b.tier), cmp.Compare(a.routeTier, b.routeTier))
}

// classOf returns the class of a job.
func (p *Pool) classOf(now time.Time, j *Job) class {
	k := class{timeliness: timely, tier: j.Tier, routeTier: j.RouteTier}
	switch {
	case j.AnswerStarted:
		k.timeliness = answerStarted
	case p.isLate(now, j) && !p.isHighest(k):
		k.timeliness = overdue
	}
	return k
}

// sortWaiting sorts the waiting jobs into the order of placement.
func (p *Pool) sortWaiting(now time.Time) {
	order := p.classOrder(now)
	for _, j := range p.waiting {
		j.class, j.late = p.classOf(now, j), p.isLate(now, j)
	}
	slices.SortStableFunc(p.waiting, func(a, b *Job) int {
		x, y := a.class, b.class
		if x.tier == y.tier && x.timeliness == timely && y.timeliness == timely {
			return cmp.Or(cmp.Compare(order[x], order[y]), cmp.Compare(x.routeTier, y.routeTier), compareLate(a, b), a.orderTime.Compare(b.orderTime))
		}
		return cmp.Or(x.compare(y), a.orderTime.Compare(b.orderTime))
	})
}

// compareLate orders a job that can be on time before a late one, as of the last sortWaiting.
func compareLate(a, b *Job) int {
	switch {
	case a.late == b.late:
		return 0
	case a.late:
		return 1
	}
	return -1
}

// ownTimeShare is the part of the time to its due first event that a job is assumed to need at most once it is placed. The
// longest prompts need more, and would otherwise count as late, and be refused, before they have waited at all.
const ownTimeShare = 0.5

// isLate reports whether the job can no longer be expected to be on time.
func (p *Pool) isLate(now time.Time, j *Job) bool {
	own := min(p.typicalFirstEvent(j), time.Duration(ownTimeShare*float64(j.FirstEventDue.Sub(j.Arrived))))
	return now.Add(max(own, p.shortestLatency)).After(j.FirstEventDue)
}

// minBaseLatency returns the shortest time to a first event over all targets.
func (p *Pool) minBaseLatency() (least time.Duration) {
	for i, t := range p.sorted {
		if i == 0 || t.baseLatency < least {
			least = t.baseLatency
		}
	}
	return least
}
