package moves

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Stage is the step of a route; its share is the part of the route's requests for the new version.
type Stage int

// Stages.
const (
	Trial Stage = iota
	Quarter
	Half
	Full
)

// stageShares are the shares per stage.
var stageShares = [...]float64{0.05, 0.25, 0.5, 1}

// Share returns the part of the requests that the new version gets at most at a stage.
func (s Stage) Share() float64 { return stageShares[min(max(s, Trial), Full)] }

const (
	// soakMax is the longest soak at full load, soakPart the part of the move's time that it takes at most.
	soakMax  = 4 * time.Minute
	soakPart = 0.15
	// soakShare is the part of all requests on the new version from which a span counts as soak.
	soakShare = 0.9
	// needMin is the number of good outcomes per cell and stage, however low the traffic.
	needMin = 3
	// stageTime is the part of the move's time in which a stage has to be passed at half of its share.
	stageTime = 0.1
	// trafficPart is the part of a route's requests from which a class has traffic on it.
	trafficPart = 0.01
)

// needs are the good outcomes, in all, that each cell needs to leave a stage.
var needs = [...]float64{25, 75, 175}

// Plan is what a judgement takes from the configuration. It does not change during a move.
type Plan struct {
	From, To ident.Version
	// Window is the time from the start of the move to its deadline.
	Window time.Duration
	// Classes are the hardware classes of the targets that run the new version.
	Classes []ident.Class
}

func (p Plan) soak() time.Duration {
	return min(soakMax, time.Duration(soakPart*float64(p.Window)))
}

// Judgement is a pure function of merged evidence and plan.
type Judgement struct {
	// Stages per route with traffic; a route without traffic is at Trial.
	Stages map[ident.Route]Stage
	// Unproved are the classes of a route that have not enough good outcomes for its next stage.
	Unproved map[ident.Route][]ident.Class
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
func Judge(ev Evidence, p Plan) Judgement {
	j := Judgement{Stages: map[ident.Route]Stage{}, Unproved: map[ident.Route][]ident.Class{}}
	var why Reason
	var at cell
	j.Score, why, at = ev.badness()
	if j.Score >= alarm {
		j.Bad, j.Reason, j.Route, j.Class = true, why, at.route, at.class
		return j
	}
	full := len(ev.routes()) > 0
	for _, r := range ev.routes() {
		j.Stages[r], j.Unproved[r] = ev.stage(r, p)
		full = full && (j.Stages[r] == Full || ev.rare(r))
	}
	j.Proved = full && j.Score < suspicion && ev.soaked(p) >= p.soak()
	return j
}

// rare reports whether a route has too little traffic to hold up a move; it stays at its own stage
// until the move is done.
func (ev *Evidence) rare(r ident.Route) bool {
	part, all := ev.total(cell{route: r}), ev.total(cell{})
	return part.requests() < trafficPart*all.requests()
}

// stage replays the closed epochs of a route: its stage grows by at most one per epoch, when all
// cells have the good outcomes needed and none is under suspicion. It does not fall. The classes without
// these outcomes are returned as well.
func (ev *Evidence) stage(r ident.Route, p Plan) (stage Stage, unproved []ident.Class) {
	cells := ev.tested(r, p)
	if len(cells) == 0 {
		return Trial, p.Classes
	}
	good, need := make([]float64, len(cells)), make([][len(needs)]float64, len(cells))
	for i, k := range cells {
		need[i] = ev.need(k, p)
	}
	doubt := ev.doubts(r, cells)
	for _, s := range ev.spans(cell{route: r}) {
		if s.Start == ev.newest {
			break
		}
		ready := Full
		for i, k := range cells {
			if q := ev.cells[k][s]; q != nil {
				good[i] += float64(q.new.Good())
			}
			ready = min(ready, passed(good[i], need[i]))
		}
		if doubt[s] < suspicion {
			stage = min(ready, stage+s.steps())
		}
	}
	reached := map[ident.Class]Stage{}
	for i, k := range cells {
		reached[k.class] = passed(good[i], need[i])
	}
	return stage, p.behind(stage, reached)
}

// behind returns the classes that hold a route at its stage. At first these are also classes without traffic,
// so that the version is tried on all of them; later a class without traffic does not count.
func (p Plan) behind(stage Stage, reached map[ident.Class]Stage) (out []ident.Class) {
	for _, c := range p.Classes {
		at, tested := reached[c]
		if stage < Full && at <= stage && (tested || stage == Trial) {
			out = append(out, c)
		}
	}
	return out
}

// steps is the number of stages by which a route may grow within a span.
func (s span) steps() Stage {
	if s.Len == 1 {
		return 1
	}
	return Full
}

// tested returns the cells of a route that have to prove the new version.
func (ev *Evidence) tested(r ident.Route, p Plan) (out []cell) {
	all := ev.total(cell{route: r})
	if all.new.Requests == 0 {
		return nil
	}
	for _, c := range p.Classes {
		k := cell{r, c}
		got := ev.total(k)
		if got.new.Requests > 0 || got.requests() > 0 && got.requests() >= trafficPart*all.requests() {
			out = append(out, k)
		}
	}
	return out
}

// doubts returns the highest running score over the cells of a route after each span.
func (ev *Evidence) doubts(r ident.Route, cells []cell) map[span]float64 {
	out := map[span]float64{}
	note := func(k cell, sums []float64) {
		for i, s := range ev.spans(k) {
			out[s] = max(out[s], sums[i])
		}
	}
	note(cell{route: r}, sums(ev.failures(cell{route: r})))
	for _, k := range cells {
		note(k, sums(ev.failures(k)))
		note(k, sums(ev.slowness(k)))
	}
	return out
}

// need returns the good outcomes that a cell needs to leave each stage: fewer when its traffic could
// not give them in the time of the stage.
func (ev *Evidence) need(k cell, p Plan) (out [len(needs)]float64) {
	rate := ev.rate(k)
	for i, n := range needs {
		expect := rate * stageTime * p.Window.Seconds() * stageShares[i] / 2
		out[i] = max(needMin*float64(i+1), min(n, expect))
	}
	return out
}

// passed returns the stage reached with a number of good outcomes.
func passed(good float64, need [len(needs)]float64) Stage {
	for i, n := range need {
		if good < n {
			return Stage(i)
		}
	}
	return Full
}

// rate returns the requests per second of a cell over the time that the evidence covers.
func (ev *Evidence) rate(k cell) float64 {
	spans := ev.spans(cell{})
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
func (ev *Evidence) soaked(p Plan) (d time.Duration) {
	after := ev.suspected(p)
	for s, q := range ev.cells[cell{}] {
		if s.Start != ev.newest && int64(s.Start) > after && float64(q.new.Requests) >= soakShare*q.requests() {
			d += s.duration()
		}
	}
	return d
}

// suspected returns the start of the newest span after which a score was at or above suspicion, or -1.
func (ev *Evidence) suspected(p Plan) int64 {
	newest := int64(-1)
	all := sums(ev.failures(cell{}))
	for i, s := range ev.spans(cell{}) {
		if all[i] >= suspicion {
			newest = int64(s.Start)
		}
	}
	for _, r := range ev.routes() {
		for s, score := range ev.doubts(r, ev.tested(r, p)) {
			if score >= suspicion {
				newest = max(newest, int64(s.Start))
			}
		}
	}
	return newest
}
