package sched

import (
	"cmp"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// The order in which requests wait.
//
// Load pattern: a burst of all kinds above what the targets run. A request that can still be answered on
// time is worth more to its caller than one that is late in any case, so late requests use what the others
// leave. Among requests of the same chance, the higher tier goes first, then the earlier arrival. A request
// that will take long lets shorter ones of its class pass for a part of that time: lengths differ a
// hundredfold, and many short requests are answered in the time of a long one. The part is small, so that
// long requests are served about as often as others.

const (
	// lengthPart is the part of its expected length by which a job is put off, and putOffMax the bound.
	deferFraction = 0.1
	deferMax      = 300 * time.Millisecond
)

// putOff returns the time for which a job lets others of its class pass.
func (p *Pool) deferral(j *Job) time.Duration {
	d, ok := p.StreamDuration(j.Output, j.Stride)
	if !ok {
		return 0
	}
	return min(time.Duration(deferFraction*float64(d)), deferMax)
}

// class is what decides the order of waiting jobs before their arrival does. Lower values go first.
type class struct {
	// chance is 0 for jobs whose answer has begun, 1 for those that can be on time, 2 for late ones.
	timeliness      uint8
	tier, routeTier ident.Tier
}

func (a class) compare(b class) int {
	return cmp.Or(cmp.Compare(a.timeliness, b.timeliness), cmp.Compare(a.tier, b.tier), cmp.Compare(a.routeTier, b.routeTier))
}

// classOf returns the class of a job that needs the given time to its first event.
func classOf(now time.Time, need time.Duration, j *Job) class {
	k := class{timeliness: 1, tier: j.Tier, routeTier: j.RouteTier}
	switch {
	case j.AnswerStarted:
		k.timeliness = 0
	case isLate(now, need, j):
		k.timeliness = 2
	}
	return k
}

// sort brings the waiting jobs into the order in which they are placed.
func (p *Pool) sortWaiting(now time.Time, need time.Duration) {
	first := p.classOrder(now)
	slices.SortStableFunc(p.waiting, func(a, b *Job) int {
		x, y := classOf(now, need, a), classOf(now, need, b)
		if x.tier == y.tier && x.timeliness == 1 && y.timeliness == 1 {
			return cmp.Or(cmp.Compare(first[x], first[y]), cmp.Compare(x.routeTier, y.routeTier), a.orderTime.Compare(b.orderTime))
		}
		return cmp.Or(x.compare(y), a.orderTime.Compare(b.orderTime))
	})
}

// late reports whether the job cannot be on time any more.
func isLate(now time.Time, need time.Duration, j *Job) bool {
	return now.Add(need).After(j.FirstEventDue)
}

// least returns the shortest time to a first event that any target needs.
func (p *Pool) minBaseLatency() (need time.Duration) {
	for i, t := range p.sorted {
		if i == 0 || t.baseLatency < need {
			need = t.baseLatency
		}
	}
	return need
}
