package moves

import (
	"fmt"
	"math"
	"strings"
	"time"
)

// The test for a bad version is a cumulative sum (CUSUM) of log likelihood ratios per route and class, with one
// step per span. Given the events (failures or slow answers) of both versions in a span, the number on the new
// version has a binomial distribution whatever causes the events, so that an outage of something that both
// versions depend on does not count against the new one. Under equal rates each likelihood ratio is a martingale
// with mean one; a sum started at any span passes ln(1/a) with a probability of at most a.
const (
	// alarmThreshold is the sum at which a version is bad. The probability of a false alarm is exp(-14), 1 in 1.2
	// million, per start, route and class, and odds ratio; it is below 1 in 100 over 100 spans, 20 pairs of route
	// and class, 2 kinds of events and 3 odds ratios.
	alarmThreshold = 14
	// suspicionThreshold is the sum from which shares do not grow. A threshold of 2 is reached by one chance
	// failure at a share of 5%, and 2 of 200 good versions were not proven in time with it.
	suspicionThreshold = 6
	// slowFraction is the fraction of the old version's answers that counts as slow.
	slowFraction = 0.1
	// baselineAnswersMin is the number of answers of the old version below which slowness is not tested.
	baselineAnswersMin = 30
	// controlRequestsMin is the number of requests of the old version in a span below which the span is compared
	// with the old version's event rate over all spans, raised by rateMarginFactor and rateMarginAdded.
	controlRequestsMin = 5
	// controlFractionMin is the same bound as a fraction of the new version's requests in the span.
	controlFractionMin = 0.02
	// aloneShareMin is the share of the new version in a route's requests of a span above which it was alone in a part of
	// it: more than the share of StageHalf, and by more than chance at most routes.
	aloneShareMin    = 0.6
	rateMarginFactor = 2
	rateMarginAdded  = 0.02
)

// unevenMarginBins raises the bin from which an answer is slow in spans without enough requests of the old version
// to compare with: by two bins, a factor of 2. In such a span, anything that slows down both versions is visible
// on the new version only, such as a busy machine or the load of both versions on the targets of the new one.
// Without the margin, a good version was rolled back in the recorded trace brunner-good-outage, where the
// conclusion could not be recorded for 13 min at the full stage, and in rollouts with few requests on a machine
// that became busy. If the evidence is uneven, the margin applies to all spans.
const unevenMarginBins = 2

// oddsRatios are the odds ratios that are tested for. An event rate of less than about twice that of the old
// version does not raise any of the sums: a difference of this size between versions is accepted.
var oddsRatios = []float64{4, 12, 40}

// events are the observations (oldN, newN) and the events among them (oldX, newX) of both versions in one span.
type events struct {
	oldN, oldX, newN, newX float64
	// alone is true when the new version got all requests in a part of the span: those of the old version ran before, and
	// tell nothing about that part.
	alone bool
	// usualN is the mean number of observations of both versions in earlier epochs if the span is still running, and zero
	// otherwise.
	usualN float64
}

// hasControl reports whether the old version had enough requests in the span to compare with, at the same time as the
// new one.
func (e events) hasControl() bool {
	return !e.alone && e.oldN >= max(controlRequestsMin, controlFractionMin*e.newN)
}

// stepMax returns the most that the span may add to a sum, if uncontrolledMax is the most without control. In a running
// span that is less until it has runningFractionMin of its usual answers: the first ones after a stall are all slow.
func (e events) stepMax(uncontrolledMax float64) float64 {
	known := min(1, e.newN/max(1, runningFractionMin*e.usualN))
	if e.hasControl() || known == 1 && e.newX >= slowMajority*e.newN {
		return math.Inf(1)
	}
	return uncontrolledMax * known
}

// logLikelihoodRatio returns the log likelihood ratio of one span for the odds ratio theta. base is the event rate
// of the old version over all spans.
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

// applyOddsRatio applies the odds ratio theta to the probability p.
func applyOddsRatio(p, theta float64) float64 { return theta * p / (theta*p + 1 - p) }

// binomialLogRatio returns the log likelihood ratio of x outcomes of one kind and y of the other, for probability
// q over p of the first kind.
func binomialLogRatio(x, y, p, q float64) float64 {
	return x*math.Log(q/p) + y*math.Log((1-q)/(1-p))
}

// uncontrolledStepMax is the most that the slow answers of one span without enough requests of the old version add
// to a sum, as long as they are fewer than slowMajority of its answers. A stall of the whole machine makes all answers
// of some seconds slow, and nothing in such a span tells it from a version that is slow at times. The bound lies between
// suspicionThreshold and alarmThreshold, so that one such span stops a rollout from going on, and two roll it back.
const (
	uncontrolledStepMax = 8
	slowMajority        = 0.5
	runningFractionMin  = 0.25
)

// cumulativeSums returns the highest cumulative sum over the odds ratios after each span. A span without enough
// requests of the old version, in which fewer than slowMajority are events, adds at most uncontrolledMax. A sum that has reached alarmThreshold stays as it is.
func cumulativeSums(all []events, uncontrolledMax float64) []float64 {
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
				sum = max(0, sum+min(logLikelihoodRatio(e, theta, base), e.stepMax(uncontrolledMax)))
			}
			out[i] = max(out[i], sum)
		}
	}
	return out
}

// lastSum returns the last of the cumulative sums, or zero without spans.
func lastSum(all []events, uncontrolledMax float64) float64 {
	if len(all) == 0 {
		return 0
	}
	sums := cumulativeSums(all, uncontrolledMax)
	return sums[len(sums)-1]
}

// failureEvents returns the failures of a route and class by span.
func (ev *Evidence) failureEvents(k routeClass) (all []events) {
	for _, s := range ev.spans(k) {
		p := ev.pairs[k][s]
		all = append(all, events{
			oldN: float64(p.old.Requests), oldX: float64(p.old.Failures),
			newN: float64(p.new.Requests), newX: float64(p.new.Failures),
		})
	}
	return all
}

// slowEvents returns the slow answers of a route and class by span: those in or above the bin that bounds the
// slowest tenth of the old version's answers. There are none while the old version has too few answers.
func (ev *Evidence) slowEvents(k routeClass) (all []events) {
	t := ev.total(k)
	answers := t.old.countFrom(0)
	if answers < baselineAnswersMin {
		return make([]events, len(ev.pairs[k]))
	}
	bin := binCount - 1
	for bin > 0 && float64(t.old.countFrom(bin-1)) <= slowFraction*float64(answers) {
		bin--
	}
	usual := ev.usualAnswers(k)
	for _, s := range ev.spans(k) {
		e := ev.pairs[k][s].slowEvents(bin)
		alone := !ev.uneven && ev.pairs[routeClass{route: k.route}][s].newShare() > aloneShareMin
		if ev.uneven || alone || !e.hasControl() {
			e = ev.pairs[k][s].slowEvents(min(bin+unevenMarginBins, binCount-1))
		}
		e.alone = alone
		if s.Start == ev.newest {
			e.usualN = usual
		}
		all = append(all, e)
	}
	return all
}

// comparesNewest reports whether the answers of the newest span are compared with those of the old version in it.
func (ev *Evidence) comparesNewest(k routeClass) bool {
	all := ev.slowEvents(k)
	return len(all) > 0 && all[len(all)-1].hasControl()
}

// usualAnswers returns the mean number of answers of both versions per epoch in ended spans, zero if there are none.
func (ev *Evidence) usualAnswers(k routeClass) float64 {
	n, epochs := 0.0, 0.0
	for s, p := range ev.pairs[k] {
		if s.Start != ev.newest && s.Len > 0 {
			n, epochs = n+float64(p.old.countFrom(0)+p.new.countFrom(0)), epochs+float64(s.Len)
		}
	}
	return n / max(epochs, 1)
}

// slowEvents returns the answers of both versions as observations, and those in or above a bin as events.
func (p *versionPair) slowEvents(bin int) events {
	return events{
		oldN: float64(p.old.countFrom(0)), oldX: float64(p.old.countFrom(bin)),
		newN: float64(p.new.countFrom(0)), newX: float64(p.new.countFrom(bin)),
	}
}

// describedSpans is the number of newest spans in the text of describe, which is part of a gossip entry.
const describedSpans = 8

// describe returns the newest spans of the score of a route and class as text, the oldest first: the start of the span
// (UTC), events of observations at the old and at the new version, and the sum after the span.
func (ev *Evidence) describe(reason Reason, k routeClass) string {
	all, uncontrolledMax := ev.failureEvents(k), float64(alarmThreshold)
	if reason == ReasonSlow {
		all, uncontrolledMax = ev.slowEvents(k), uncontrolledStepMax
	}
	sums := cumulativeSums(all, uncontrolledMax)
	var out []string
	for i, s := range ev.spans(k) {
		if e := all[i]; i >= len(all)-describedSpans {
			out = append(out, fmt.Sprintf("%s %.0f/%.0f %.0f/%.0f %.1f", s.startTime().UTC().Format(time.TimeOnly), e.oldX, e.oldN, e.newX, e.newN, sums[i]))
		}
	}
	return strings.Join(out, "; ")
}

// worstScore returns the highest score over all routes and classes, and its cause. Slowness is compared only
// within one hardware class, as classes differ in speed.
func (ev *Evidence) worstScore() (worst float64, reason Reason, at routeClass) {
	for _, k := range ev.routeClasses() {
		if s := lastSum(ev.failureEvents(k), alarmThreshold); s > worst {
			worst, reason, at = s, ReasonFailures, k
		}
		if k.class == "" {
			continue
		}
		if s := lastSum(ev.slowEvents(k), uncontrolledStepMax); s > worst {
			worst, reason, at = s, ReasonSlow, k
		}
	}
	return worst, reason, at
}
