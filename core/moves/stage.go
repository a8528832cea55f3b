package moves

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Stage is the stage of a route in a rollout, which determines the share of the new version on the route.
type Stage int

// Stages of a route.
const (
	StageCanary Stage = iota
	StageQuarter
	StageHalf
	StageFull
)

// stageShares are the shares of the new version at each stage.
var stageShares = [...]float64{0.05, 0.25, 0.5, 1}

// Share returns the largest share of the requests that the new version gets at a stage.
func (s Stage) Share() float64 { return stageShares[min(max(s, StageCanary), StageFull)] }

const (
	// The soak at full load takes soakFractionMax of the duration of the rollout, but at most soakMax.
	soakMax         = 4 * time.Minute
	soakFractionMax = 0.15
	// soakShareMin is the share of the new version in all requests from which a span counts as soak.
	soakShareMin = 0.9
	// stageSuccessesMin is the number of successes needed per class and stage even when there is little traffic.
	stageSuccessesMin = 3
	// stageTimeFraction is the fraction of the rollout's duration within which the traffic at half of a stage's
	// share must suffice to pass the stage.
	stageTimeFraction = 0.1
	// trafficFractionMin is the fraction of a route's requests from which a class has traffic on the route, and the
	// fraction of all requests from which a route can hold up a rollout.
	trafficFractionMin = 0.01
)

// stageSuccesses are the successes that each class on a route needs in total to leave a stage.
var stageSuccesses = [...]float64{25, 75, 175}

// JudgeConfig holds the configuration of a judgement. Only its Duration changes during a rollout, with the
// deadline and the start in the evidence.
type JudgeConfig struct {
	From, To ident.Version
	// Duration is the time from the start of the rollout to its deadline.
	Duration time.Duration
	// Classes are the hardware classes of the targets that run the new version.
	Classes []ident.Class
}

func (cfg JudgeConfig) soakTime() time.Duration {
	return min(soakMax, time.Duration(soakFractionMax*float64(cfg.Duration)))
}

// Judgement is the state of a rollout's routes and version. It is a pure function of merged evidence and
// configuration.
type Judgement struct {
	// Stages holds the stage of each route with traffic; a route without traffic is at StageCanary.
	Stages map[ident.Route]Stage
	// UnprovenClasses holds the classes of a route that do not have enough successes for the next stage of the
	// route.
	UnprovenClasses map[ident.Route][]ident.Class
	// Bad is true when the new version is bad. Reason, Route and Class then tell why and where.
	Bad    bool
	Reason Reason
	Route  ident.Route
	Class  ident.Class
	// Counts holds the counts behind Bad by span, as text for the log.
	Counts string
	// Score is the highest current sum of the test over all routes and classes, see alarmThreshold; the version is
	// bad from that on.
	Score float64
	// Proven is true when all routes with enough traffic are at StageFull and the soak is complete.
	Proven bool
	// Suspected is true when a short rollout has evidence against the new version that does not suffice for Bad.
	Suspected bool
}

// Share returns the share of the new version on a route.
func (j Judgement) Share(r ident.Route) float64 {
	if j.Bad {
		return 0
	}
	return j.Stages[r].Share()
}

// Judge derives shares and verdict. Processes with the same gossip entries come to the same judgement.
func Judge(ev Evidence, cfg JudgeConfig) Judgement {
	j := Judgement{Stages: map[ident.Route]Stage{}, UnprovenClasses: map[ident.Route][]ident.Class{}}
	var reason Reason
	var at routeClass
	j.Score, reason, at = ev.worstScore()
	if j.Score >= alarmThreshold {
		j.Bad, j.Reason, j.Route, j.Class = true, reason, at.route, at.class
		j.Counts = ev.describe(reason, at)
		return j
	}
	full := len(ev.routes()) > 0
	for _, r := range ev.routes() {
		j.Stages[r], j.UnprovenClasses[r] = ev.routeStage(r, cfg)
		full = full && (j.Stages[r] == StageFull || ev.lowTraffic(r))
	}
	j.Proven = full && j.Score < suspicionThreshold && ev.soakedTime(cfg) >= cfg.soakTime()
	return j
}

// lowTraffic reports whether a route has too little traffic to hold up a rollout. Such a route stays at its stage
// until the rollout is done.
func (ev *Evidence) lowTraffic(r ident.Route) bool {
	route, all := ev.total(routeClass{route: r}), ev.total(routeClass{})
	return route.requests() < trafficFractionMin*all.requests()
}

// routeStage replays the finished epochs of a route. Its stage advances by at most one per epoch, when all tested
// classes have the required successes and none has a suspicious score. It never goes back. The classes without
// these successes are returned as well.
func (ev *Evidence) routeStage(r ident.Route, cfg JudgeConfig) (stage Stage, unproven []ident.Class) {
	tested := ev.testedClasses(r, cfg)
	if len(tested) == 0 {
		return StageCanary, cfg.Classes
	}
	successes, required := make([]float64, len(tested)), make([][len(stageSuccesses)]float64, len(tested))
	for i, k := range tested {
		required[i] = ev.requiredSuccesses(k, cfg)
	}
	scores := ev.spanScores(r, tested)
	for _, s := range ev.spans(routeClass{route: r}) {
		if s.Start == ev.newest {
			break
		}
		ready := StageFull
		for i, k := range tested {
			if p := ev.pairs[k][s]; p != nil {
				successes[i] += float64(p.new.Successes())
			}
			ready = min(ready, stageReached(successes[i], required[i]))
		}
		if scores[s] < suspicionThreshold {
			stage = min(ready, stage+s.stageStepsMax())
		}
	}
	reached := map[ident.Class]Stage{}
	for i, k := range tested {
		reached[k.class] = stageReached(successes[i], required[i])
	}
	return stage, cfg.unprovenClasses(stage, reached)
}

// unprovenClasses returns the classes that hold a route at its stage. At the canary stage these include classes
// without traffic, so that the version is tried on all of them; at later stages a class without traffic does not
// count.
func (cfg JudgeConfig) unprovenClasses(stage Stage, reached map[ident.Class]Stage) (out []ident.Class) {
	for _, c := range cfg.Classes {
		at, tested := reached[c]
		if stage < StageFull && at <= stage && (tested || stage == StageCanary) {
			out = append(out, c)
		}
	}
	return out
}

// stageStepsMax is the number of stages by which a route may advance within a span.
func (s span) stageStepsMax() Stage {
	if s.Len == 1 {
		return 1
	}
	return StageFull
}

// testedClasses returns the classes of a route on which the new version has to be proven.
func (ev *Evidence) testedClasses(r ident.Route, cfg JudgeConfig) (out []routeClass) {
	all := ev.total(routeClass{route: r})
	if all.new.Requests == 0 {
		return nil
	}
	for _, c := range cfg.Classes {
		k := routeClass{r, c}
		counts := ev.total(k)
		if counts.new.Requests > 0 || counts.requests() > 0 && counts.requests() >= trafficFractionMin*all.requests() {
			out = append(out, k)
		}
	}
	return out
}

// spanScores returns the highest score over the classes of a route after each span.
func (ev *Evidence) spanScores(r ident.Route, classes []routeClass) map[span]float64 {
	out := map[span]float64{}
	note := func(k routeClass, sums []float64) {
		for i, s := range ev.spans(k) {
			out[s] = max(out[s], sums[i])
		}
	}
	note(routeClass{route: r}, cumulativeSums(ev.failureEvents(routeClass{route: r}), alarmThreshold))
	for _, k := range classes {
		note(k, cumulativeSums(ev.failureEvents(k), alarmThreshold))
		note(k, cumulativeSums(ev.slowEvents(k), uncontrolledStepMax))
	}
	return out
}

// requiredSuccesses returns the successes that a class on a route needs to leave each stage: fewer when its
// traffic is too low to yield them in the time of the stage.
func (ev *Evidence) requiredSuccesses(k routeClass, cfg JudgeConfig) (out [len(stageSuccesses)]float64) {
	rate := ev.requestRate(k)
	for i, n := range stageSuccesses {
		expected := rate * stageTimeFraction * cfg.Duration.Seconds() * stageShares[i] / 2
		out[i] = max(stageSuccessesMin*float64(i+1), min(n, expected))
	}
	return out
}

// stageReached returns the stage reached with a number of successes.
func stageReached(successes float64, required [len(stageSuccesses)]float64) Stage {
	for i, n := range required {
		if successes < n {
			return Stage(i)
		}
	}
	return StageFull
}

// requestRate returns the requests per second of a class on a route over the time that the evidence covers.
func (ev *Evidence) requestRate(k routeClass) float64 {
	spans := ev.spans(routeClass{})
	first := spans[0].Start
	if first == 0 && len(spans) > 1 {
		first = spans[1].Start
	}
	secs := float64(ev.newest-first+1) * EpochLen.Seconds()
	t := ev.total(k)
	return t.requests() / secs
}

// soakedTime returns for how long the new version got nearly all requests, excluding the current epoch and the time
// before the last suspicious score: failures that only occur under full load take time to accumulate.
func (ev *Evidence) soakedTime(cfg JudgeConfig) (d time.Duration) {
	after := ev.lastSuspicion(cfg)
	for s, p := range ev.pairs[routeClass{}] {
		if s.Start != ev.newest && int64(s.Start) > after && float64(p.new.Requests) >= soakShareMin*p.requests() {
			d += s.duration()
		}
	}
	return d
}

// lastSuspicion returns the start of the newest span after which a score was at or above suspicionThreshold, or -1.
func (ev *Evidence) lastSuspicion(cfg JudgeConfig) int64 {
	newest := int64(-1)
	all := cumulativeSums(ev.failureEvents(routeClass{}), alarmThreshold)
	for i, s := range ev.spans(routeClass{}) {
		if all[i] >= suspicionThreshold {
			newest = int64(s.Start)
		}
	}
	for _, r := range ev.routes() {
		for s, score := range ev.spanScores(r, ev.testedClasses(r, cfg)) {
			if score >= suspicionThreshold {
				newest = max(newest, int64(s.Start))
			}
		}
	}
	return newest
}
