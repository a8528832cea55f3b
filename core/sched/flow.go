package sched

import (
	"slices"
	"time"
)

// Which classes of a tier pass the one above.
//
// Load pattern: seconds of twice the capacity, in which the class of the lowest rank has the most requests and the
// shortest answers. The slots that the class above takes for the last of its requests would serve several times
// as many of it.

const (
	// servedPart is the least share of its requests that a class is served, as a part of the share of the class
	// above it. With 0.75 the classes above lost more than the lower one gained.
	servedRatioMin = 0.6
	// shorterTimes is the number of times by which answers of the class above have to be longer.
	lengthRatioMin = 4
)

// flow is what became of the jobs of a class lately.
type classStats struct {
	placements, refusals rateCounter
	// length is the mean length of answers, in tokens; zero for plain services.
	meanOutput float64
}

// usual returns the class in which a job arrives.
func arrivalClass(j *Job) class { return class{timeliness: 1, tier: j.Tier, routeTier: j.RouteTier} }

// flow returns the flow of a class.
func (p *Pool) statsOf(k class) *classStats {
	f, ok := p.classes[k]
	if !ok {
		f = &classStats{}
		p.classes[k] = f
	}
	return f
}

// came takes in the arrival of a job.
func (f *classStats) recordArrival(j *Job) {
	if f.meanOutput == 0 {
		f.meanOutput = float64(j.Output)
	}
	f.meanOutput += sampleWeight * (float64(j.Output) - f.meanOutput)
}

// share returns the part of the jobs that were placed; 1 if there were none.
func (f *classStats) servedRatio(now time.Time) float64 {
	n, r := f.placements.perSecond(now), f.refusals.perSecond(now)
	if n+r == 0 {
		return 1
	}
	return n / (n + r)
}

// ahead returns the places of the classes of jobs that can be on time. A class of much shorter answers comes before
// the one above it in its tier while its jobs are placed much less often.
func (p *Pool) classOrder(now time.Time) map[class]int {
	var all []class
	for k := range p.classes {
		if k.timeliness == 1 {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, class.compare)
	for i := len(all) - 1; i > 0; i-- {
		if below, above := all[i], all[i-1]; below.tier == above.tier && p.classes[below].overtakes(now, p.classes[above]) {
			all[i], all[i-1] = above, below
		}
	}
	places := make(map[class]int, len(all))
	for i, k := range all {
		places[k] = i
	}
	return places
}

// passes reports whether jobs of the class go before those of the one above it.
func (f *classStats) overtakes(now time.Time, above *classStats) bool {
	return f.meanOutput > 0 && lengthRatioMin*f.meanOutput <= above.meanOutput && f.servedRatio(now) < servedRatioMin*above.servedRatio(now)
}
