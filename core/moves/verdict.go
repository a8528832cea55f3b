package moves

import "math"

// The test for badness is a cumulative sum of log likelihood ratios per cell, one step per span.
// Given the events (failures or slow answers) of both versions in a span, the number on the new one
// is binomial, whatever the common cause of events, so that an outage behind both versions does not
// count against the new one. Under equal rates each ratio is a martingale with mean one; a sum
// started at any span passes ln(1/a) with a probability of at most a.
const (
	// alarm is the sum at which a version is bad: a chance of exp(-14), 1 in 1.2 million, per start,
	// cell and ratio; below 1 in 100 over 100 spans, 20 cells, 2 kinds of events and 3 ratios.
	alarmThreshold = 14
	// suspicion is the sum above which shares do not grow. At 2, one chance failure at a share of 5%
	// was enough, and 2 of 200 good versions were not proved in time.
	suspicionThreshold = 6
	// quantile is the part of the old version's answers that counts as slow.
	slowFraction = 0.1
	// binsMin is the number of answers of the old version below which slowness is not tested.
	baselineAnswersMin = 30
	// controlMin is the number of requests of the old version in a span below which the span is
	// compared with the old version's rate over all time, with the margins below.
	controlRequestsMin = 5
	// controlPart is the part of the new version's requests that the old one must have in a span.
	controlFractionMin = 0.02
	rateMarginFactor   = 2
	rateMarginAdded    = 0.02
)

// loadBins raises the bin from which an answer is slow in spans without control: by two bins, a factor of 2.
// Whatever slows both versions down, such as a busy machine or the load of both on the new one's targets,
// shows on the new version only in such a span. Without it, a good version was taken back in the recorded
// trace brunner-good-outage, where the end could not be recorded for 13 min at the full stage, and in moves
// with few requests on a machine that became busy.
const unevenMarginBins = 2

// ratios are the odds ratios tested for. A rate that is less than about twice the old one drives no
// sum upwards: that is the difference between versions which is accepted.
var oddsRatios = []float64{4, 12, 40}

// events are the trials and events of both versions in one span.
type events struct{ oldN, oldX, newN, newX float64 }

// controlled reports whether the old version had enough requests in the span to compare with.
func (e events) hasControl() bool {
	return e.oldN >= max(controlRequestsMin, controlFractionMin*e.newN)
}

// step returns the log likelihood ratio of one span for an odds ratio.
func logLikelihoodRatio(e events, theta, base float64) float64 {
	if e.newN == 0 {
		return 0
	}
	if !e.hasControl() {
		q := min(rateMarginFactor*base+rateMarginAdded, 0.9)
		return binomialLogRatio(e.newX, e.newN-e.newX, q, applyOddsRatio(q, theta))
	}
	p := e.newN / (e.newN + e.oldN)
	return binomialLogRatio(e.newX, e.oldX, p, applyOddsRatio(p, theta))
}

// shift applies an odds ratio to a probability.
func applyOddsRatio(p, theta float64) float64 { return theta * p / (theta*p + 1 - p) }

// binomial returns the log likelihood ratio of x events against y for probability q over p.
func binomialLogRatio(x, y, p, q float64) float64 {
	return x*math.Log(q/p) + y*math.Log((1-q)/(1-p))
}

// sums returns the highest cumulative sum over the ratios after each span. A sum that reaches the
// alarm stays there.
func cumulativeSums(all []events) []float64 {
	var n, x float64
	for _, e := range all {
		n, x = n+e.oldN, x+e.oldX
	}
	base := (x + 1) / (n + 2)
	out := make([]float64, len(all))
	for _, theta := range oddsRatios {
		sum := 0.0
		for i, e := range all {
			if sum < alarmThreshold {
				sum = max(0, sum+logLikelihoodRatio(e, theta, base))
			}
			out[i] = max(out[i], sum)
		}
	}
	return out
}

// score returns the last of the sums.
func lastSum(all []events) float64 {
	if len(all) == 0 {
		return 0
	}
	s := cumulativeSums(all)
	return s[len(s)-1]
}

// failures returns the failures of a cell by span.
func (ev *Evidence) failureEvents(k routeClass) (all []events) {
	for _, s := range ev.spans(k) {
		p := ev.pairs[k][s]
		all = append(all, events{
			float64(p.old.Requests), float64(p.old.Failures),
			float64(p.new.Requests), float64(p.new.Failures),
		})
	}
	return all
}

// slowness returns the slow answers of a cell by span: those above the bin that bounds the slowest
// tenth of the old version. There are none while the old version has too few answers.
func (ev *Evidence) slowEvents(k routeClass) (all []events) {
	t := ev.total(k)
	good := t.old.countFrom(0)
	if good < baselineAnswersMin {
		return make([]events, len(ev.pairs[k]))
	}
	bin := binCount - 1
	for bin > 0 && float64(t.old.countFrom(bin-1)) <= slowFraction*float64(good) {
		bin--
	}
	for _, s := range ev.spans(k) {
		e := ev.pairs[k][s].slowEvents(bin)
		if ev.uneven || !e.hasControl() {
			e = ev.pairs[k][s].slowEvents(min(bin+unevenMarginBins, binCount-1))
		}
		all = append(all, e)
	}
	return all
}

// slow returns the answers of both versions, and those from a bin on.
func (p *versionPair) slowEvents(bin int) events {
	return events{
		float64(p.old.countFrom(0)), float64(p.old.countFrom(bin)),
		float64(p.new.countFrom(0)), float64(p.new.countFrom(bin)),
	}
}

// badness returns the highest score over all cells and its cause. Slowness is compared within one
// hardware class only, as classes differ in speed.
func (ev *Evidence) worstScore() (worst float64, why Reason, at routeClass) {
	for _, k := range ev.routeClasses() {
		if s := lastSum(ev.failureEvents(k)); s > worst {
			worst, why, at = s, ReasonFailures, k
		}
		if k.class == "" {
			continue
		}
		if s := lastSum(ev.slowEvents(k)); s > worst {
			worst, why, at = s, ReasonSlow, k
		}
	}
	return worst, why, at
}
