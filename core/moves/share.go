package moves

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Stage is the step of a route; its share is the part of the route's requests for the new version.
type Stage int

// Stages.
const (
	StageCanary Stage = iota
	StageQuarter
	StageHalf
	StageFull
)

// stageShares are the shares per stage.
var stageShares = [...]float64{0.05, 0.25, 0.5, 1}

// Share returns the part of the requests that the new version gets at most at a stage.
func (s Stage) Share() float64 { return stageShares[min(max(s, StageCanary), StageFull)] }

const (
	// soakMax is the longest soak at full load, soakPart the part of the move's time that it takes at most.
	soakMax         = 4 * time.Minute
	soakFractionMax = 0.15
	// soakShare is the part of all requests on the new version from which a span counts as soak.
	soakShareMin = 0.9
	// needMin is the number of good outcomes per cell and stage, however low the traffic.
	stageSuccessesMin = 3
	// stageTime is the part of the move's time in which a stage has to be passed at half of its share.
	stageTimeFraction = 0.1
	// trafficPart is the part of a route's requests from which a class has traffic on it.
	trafficFractionMin = 0.01
)

// needs are the good outcomes, in all, that each cell needs to leave a stage.
var stageSuccesses = [...]float64{25, 75, 175}

// Plan is what a judgement takes from the configuration. It does not change during a move.
type JudgeConfig struct {
	From, To ident.Version
	// Window is the time from the start of the move to its deadline.
	Duration time.Duration
	// Classes are the hardware classes of the targets that run the new version.
	Classes []ident.Class
}

func (p JudgeConfig) soakTime() time.Duration {
	return min(soakMax, time.Duration(soakFractionMax*float64(p.Duration)))
}

// Judgement is a pure function of merged evidence and plan.
type Judgement struct {
	// Stages per route with traffic; a route without traffic is at Trial.
	Stages map[ident.Route]Stage
	// Unproved are the classes of a route that have not enough good outcomes for its next stage.
	UnprovenClasses map[ident.Route][]ident.Class
	// Bad is true when the new version is bad; Reason, Route and Class tell why and where.
	Bad    bool
	Reason Reason
	Route  ident.Route
	Class  ident.Class
	// Score is the highest score of the test, Alarm and more when bad.
	Score float64
	// Proved is true when all routes with traffic are at Full and the soak is over.
	Proved bool
}

// Share returns the share of the new version on a route.
func (j Judgement) Share(r ident.Route) float64 {
	if j.Bad {
		return 0
	}
	return j.Stages[r].Share()
}

// Judge derives shares and verdict. Processes with the same facts come to the same judgement.
func Judge(ev Evidence, p JudgeConfig) Judgement {
	j := Judgement{Stages: map[ident.Route]Stage{}, UnprovenClasses: map[ident.Route][]ident.Class{}}
	var why Reason
	var at routeClass
	j.Score, why, at = ev.worstScore()
	if j.Score >= alarmThreshold {
		j.Bad, j.Reason, j.Route, j.Class = true, why, at.route, at.class
		return j
	}
	full := len(ev.routes()) > 0
	for _, r := range ev.routes() {
		j.Stages[r], j.UnprovenClasses[r] = ev.routeStage(r, p)
		full = full && (j.Stages[r] == StageFull || ev.lowTraffic(r))
	}
	j.Proved = full && j.Score < suspicionThreshold && ev.soakedTime(p) >= p.soakTime()
	return j
}

// rare reports whether a route has too little traffic to hold up a move; it stays at its own stage
// until the move is done.
func (ev *Evidence) lowTraffic(r ident.Route) bool {
	part, all := ev.total(routeClass{route: r}), ev.total(routeClass{})
	return part.requests() < trafficFractionMin*all.requests()
}

// stage replays the closed epochs of a route: its stage grows by at most one per epoch, when all
// cells have the good outcomes needed and none is under suspicion. It does not fall. The classes without
// these outcomes are returned as well.
func (ev *Evidence) routeStage(r ident.Route, p JudgeConfig) (stage Stage, unproved []ident.Class) {
	cells := ev.testedClasses(r, p)
	if len(cells) == 0 {
		return StageCanary, p.Classes
	}
	good, need := make([]float64, len(cells)), make([][len(stageSuccesses)]float64, len(cells))
	for i, k := range cells {
		need[i] = ev.requiredSuccesses(k, p)
	}
	doubt := ev.spanScores(r, cells)
	for _, s := range ev.spans(routeClass{route: r}) {
		if s.Start == ev.newest {
			break
		}
		ready := StageFull
		for i, k := range cells {
			if q := ev.pairs[k][s]; q != nil {
				good[i] += float64(q.new.Successes())
			}
			ready = min(ready, stageReached(good[i], need[i]))
		}
		if doubt[s] < suspicionThreshold {
			stage = min(ready, stage+s.stageStepsMax())
		}
	}
	reached := map[ident.Class]Stage{}
	for i, k := range cells {
		reached[k.class] = stageReached(good[i], need[i])
	}
	return stage, p.unprovenClasses(stage, reached)
}

// behind returns the classes that hold a route at its stage. At first these are also classes without traffic,
// so that the version is tried on all of them; later a class without traffic does not count.
func (p JudgeConfig) unprovenClasses(stage Stage, reached map[ident.Class]Stage) (out []ident.Class) {
	for _, c := range p.Classes {
		at, tested := reached[c]
		if stage < StageFull && at <= stage && (tested || stage == StageCanary) {
			out = append(out, c)
		}
	}
	return out
}

// steps is the number of stages by which a route may grow within a span.
func (s span) stageStepsMax() Stage {
	if s.Len == 1 {
		return 1
	}
	return StageFull
}

// tested returns the cells of a route that have to prove the new version.
func (ev *Evidence) testedClasses(r ident.Route, p JudgeConfig) (out []routeClass) {
	all := ev.total(routeClass{route: r})
	if all.new.Requests == 0 {
		return nil
	}
	for _, c := range p.Classes {
		k := routeClass{r, c}
		got := ev.total(k)
		if got.new.Requests > 0 || got.requests() > 0 && got.requests() >= trafficFractionMin*all.requests() {
			out = append(out, k)
		}
	}
	return out
}

// doubts returns the highest running score over the cells of a route after each span.
func (ev *Evidence) spanScores(r ident.Route, cells []routeClass) map[span]float64 {
	out := map[span]float64{}
	note := func(k routeClass, sums []float64) {
		for i, s := range ev.spans(k) {
			out[s] = max(out[s], sums[i])
		}
	}
	note(routeClass{route: r}, cumulativeSums(ev.failureEvents(routeClass{route: r})))
	for _, k := range cells {
		note(k, cumulativeSums(ev.failureEvents(k)))
		note(k, cumulativeSums(ev.slowEvents(k)))
	}
	return out
}

// need returns the good outcomes that a cell needs to leave each stage: fewer when its traffic could
// not give them in the time of the stage.
func (ev *Evidence) requiredSuccesses(k routeClass, p JudgeConfig) (out [len(stageSuccesses)]float64) {
	rate := ev.requestRate(k)
	for i, n := range stageSuccesses {
		expect := rate * stageTimeFraction * p.Duration.Seconds() * stageShares[i] / 2
		out[i] = max(stageSuccessesMin*float64(i+1), min(n, expect))
	}
	return out
}

// passed returns the stage reached with a number of good outcomes.
func stageReached(good float64, need [len(stageSuccesses)]float64) Stage {
	for i, n := range need {
		if good < n {
			return Stage(i)
		}
	}
	return StageFull
}

// rate returns the requests per second of a cell over the time that the evidence covers.
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

// soaked returns for how long the new version had nearly all requests, without the running epoch and without
// the time up to the last suspicion: failures that only show under full load need time to add up.
func (ev *Evidence) soakedTime(p JudgeConfig) (d time.Duration) {
	after := ev.lastSuspicion(p)
	for s, q := range ev.pairs[routeClass{}] {
		if s.Start != ev.newest && int64(s.Start) > after && float64(q.new.Requests) >= soakShareMin*q.requests() {
			d += s.duration()
		}
	}
	return d
}

// suspected returns the start of the newest span after which a score was at or above suspicion, or -1.
func (ev *Evidence) lastSuspicion(p JudgeConfig) int64 {
	newest := int64(-1)
	all := cumulativeSums(ev.failureEvents(routeClass{}))
	for i, s := range ev.spans(routeClass{}) {
		if all[i] >= suspicionThreshold {
			newest = int64(s.Start)
		}
	}
	for _, r := range ev.routes() {
		for s, score := range ev.spanScores(r, ev.testedClasses(r, p)) {
			if score >= suspicionThreshold {
				newest = max(newest, int64(s.Start))
			}
		}
	}
	return newest
}
