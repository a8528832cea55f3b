package moves

import (
	"math"

	"hickoryvane.example/core/ident"
)

// Speed of running answers.
//
// Load pattern: targets of one version differ several times in speed, and a canary gets a few requests, nearly alone on
// its targets. The time to a first event then hardly shows that a version is slower, and the slowest answers of the old
// version are as slow as typical ones of a bad new version. The time between events shows it within one answer, but
// only if targets are compared, not answers: most answers come from the fastest targets.

const (
	// gapTargetsMin is the least number of targets of the old version with known speed.
	gapTargetsMin = 3
	// gapNoise is the standard deviation of the logarithm of a target's speed by its load and by chance.
	gapNoise = 0.25
	// gapSuspicion is the score of the speeds alone from which a version is not proven: about one in thirty by chance.
	gapSuspicion = 3.5
	// gapTolerance and meanTolerance are the factors by which the fastest target of a version and all on average may be
	// slower.
	gapTolerance  = 1.5
	meanTolerance = 1.2
)

// GapSample is the speed of one target of the new version as one router has measured it.
type GapSample struct {
	Target ident.TargetID
	// MeanLog is the mean of the natural logarithms of the times between events, in seconds, over N answers.
	MeanLog float64
	N       int
}

// gapStat sums the logarithms of the times between events of n answers.
type gapStat struct {
	sum float64
	n   int
}

func (g gapStat) mean() float64 { return g.sum / float64(g.n) }

func (g *gapStat) add(o gapStat) { g.sum, g.n = g.sum+o.sum, g.n+o.n }

// gapStats are the speeds of targets.
type gapStats map[ident.TargetID]gapStat

// addGap adds the time between events of an answer.
func (sr *ShortRollout) addGap(o RouterOutcome) {
	if o.EventGap <= 0 {
		return
	}
	stats := sr.oldGaps
	if o.Version == sr.request.To {
		stats = sr.newGaps
	}
	g := stats[o.Target]
	g.add(gapStat{math.Log(o.EventGap.Seconds()), 1})
	stats[o.Target] = g
}

// CanaryGaps returns the speeds of the targets of the new version at this router.
func (sr *ShortRollout) CanaryGaps() (out []GapSample) {
	for t, g := range sr.newGaps {
		out = append(out, GapSample{Target: t, MeanLog: g.mean(), N: g.n})
	}
	return out
}

// Sampled reports whether the speed of a target of the new version is known at any router.
func (sr *ShortRollout) Sampled(t ident.TargetID) bool {
	if _, ok := sr.newGaps[t]; ok {
		return true
	}
	for _, stats := range sr.peerGaps {
		if _, ok := stats[t]; ok {
			return true
		}
	}
	return false
}

// SetPeerGaps sets the speeds of the targets of the new version at another router, in place of earlier ones of the
// same boot.
func (sr *ShortRollout) SetPeerGaps(p ident.ProcessID, boot ident.Boot, samples []GapSample) {
	stats := gapStats{}
	for _, s := range samples {
		if s.N > 0 && !math.IsNaN(s.MeanLog) && !math.IsInf(s.MeanLog, 0) {
			stats[s.Target] = gapStat{s.MeanLog * float64(s.N), s.N}
		}
	}
	sr.peerGaps[processBoot{p, boot}] = stats
	sr.judgementStale = true
}

// gapScore returns how much the speeds of the new version's targets speak against it, as a log likelihood ratio. All
// targets count alike, whatever the number of their answers.
func (sr *ShortRollout) gapScore() float64 {
	all := gapStats{}
	merge := func(stats gapStats) {
		for t, g := range stats {
			sum := all[t]
			sum.add(g)
			all[t] = sum
		}
	}
	merge(sr.newGaps)
	for _, stats := range sr.peerGaps {
		merge(stats)
	}
	if len(sr.oldGaps) < gapTargetsMin || len(all) == 0 {
		return 0
	}
	return max(meanScore(sr.oldGaps, all), fastestScore(sr.oldGaps, all))
}

// meanScore compares the mean logarithms of the speeds. The targets of the new version were started in place of the
// old ones, so those that are known count as drawn from the same kinds without putting back.
func meanScore(before, after gapStats) float64 {
	oldMean, variance := before.moments()
	newMean, _ := after.moments()
	n, all := float64(len(after)), float64(len(before))
	left := max(all-n, 0) / (all - 1)
	z := (newMean - oldMean - math.Log(meanTolerance)) / math.Sqrt((variance*left+gapNoise*gapNoise)/n)
	return max(z, 0) * max(z, 0) / 2
}

// fastestScore is the improbability that none of the new version's targets is of the faster kinds, if it had targets of
// the same kinds and were at most gapTolerance slower.
func fastestScore(before, after gapStats) float64 {
	fastest := math.Inf(1)
	for _, g := range after {
		fastest = min(fastest, g.mean())
	}
	slower := 0.0
	for _, g := range before {
		if g.mean() >= fastest-math.Log(gapTolerance) {
			slower++
		}
	}
	n := float64(len(before))
	return -math.Log(max(slower, 0.5)/n) * float64(len(after))
}

// moments returns the mean and the variance of the targets' mean logarithms.
func (s gapStats) moments() (mean, variance float64) {
	for _, g := range s {
		mean += g.mean() / float64(len(s))
	}
	for _, g := range s {
		d := g.mean() - mean
		variance += d * d / float64(max(len(s)-1, 1))
	}
	return mean, variance
}
