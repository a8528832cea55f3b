package sched

import (
	"slices"
	"time"
)

// When a class may overtake the class above it in its tier.
//
// Load pattern: seconds of twice the capacity, in which the class of the lowest route tier has the most requests and
// the shortest answers. The slots that the class above uses for its last few requests would serve several times
// as many requests of the lower class.

const (
	// servedRatioMin is the ratio of the served fractions of a class and of the class above it, below which the
	// lower class may overtake. With 0.75 the classes above lost more than the lower one gained.
	servedRatioMin = 0.6
	// lengthRatioMin is the least factor by which the answers of the class above must be longer.
	lengthRatioMin = 4
)

// classStats holds recent statistics of the jobs of a class.
type classStats struct {
	placements, refusals rateCounter
	// meanOutput is the mean length of answers, in tokens; zero for plain services, which generate none.
	meanOutput float64
	lengths    lengthStats
	// firstEvents is the mean logarithm of the time to a first event, as a multiple of plainEstimate.
	firstEvents float64
	// durations is the distribution of the durations of plain calls, in seconds; it is set once hasDurations is true.
	durations    lengthStats
	hasDurations bool
}

// arrivalClass returns the class under which the arrival and the refusal of a job are counted: that of a job that
// can still be on time.
func arrivalClass(j *Job) class {
	return class{timeliness: timely, tier: j.Tier, routeTier: j.RouteTier}
}

// statsOf returns the statistics of a class, which it creates if needed.
func (p *Pool) statsOf(k class) *classStats {
	s, ok := p.classes[k]
	if !ok {
		s = &classStats{lengths: newLengthStats()}
		p.classes[k] = s
	}
	return s
}

// recordArrival updates the mean answer length with an arriving job.
func (s *classStats) recordArrival(j *Job) {
	if s.meanOutput == 0 {
		s.meanOutput = float64(j.Output)
	}
	s.meanOutput += sampleWeight * (float64(j.Output) - s.meanOutput)
}

// servedRatio returns the fraction of the jobs that were placed, of those placed or refused; 1 if there were
// none.
func (s *classStats) servedRatio(now time.Time) float64 {
	n, r := s.placements.perSecond(now), s.refusals.perSecond(now)
	if n+r == 0 {
		return 1
	}
	return n / (n + r)
}

// classOrder returns the positions of the classes of jobs that can still be on time. A class of much shorter
// answers precedes the class above it in its tier while a much smaller fraction of its jobs is placed.
func (p *Pool) classOrder(now time.Time) map[class]int {
	var all []class
	for k := range p.classes {
		if k.timeliness == timely {
			all = append(all, k)
		}
	}
	slices.SortFunc(all, class.compare)
	for i := len(all) - 1; i > 0; i-- {
		if below, above := all[i], all[i-1]; below.tier == above.tier && p.classes[below].overtakes(now, p.classes[above]) {
			all[i], all[i-1] = above, below
		}
	}
	positions := make(map[class]int, len(all))
	for i, k := range all {
		positions[k] = i
	}
	return positions
}

// overtakes reports whether jobs of the class are placed before those of the class above it.
func (s *classStats) overtakes(now time.Time, above *classStats) bool {
	return s.meanOutput > 0 && lengthRatioMin*s.meanOutput <= above.meanOutput && s.servedRatio(now) < servedRatioMin*above.servedRatio(now)
}
