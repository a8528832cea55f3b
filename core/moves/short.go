package moves

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Rollouts that last seconds, for routers without agents.
//
// Load pattern: new targets are started beside the old ones, and the old ones stop immediately when the rollout is
// done. A version may turn out bad at the start, late, under load, or on one route only. It therefore gets a small
// share of the requests during the canary phase. Shortly before the deadline it also gets the requests that would
// still run on an old target when that stops, as far as the exposure limit allows, and finally it gets all
// requests.

const (
	// canaryLimitFraction is the fraction of the exposure limit that is used during the canary phase; the rest is
	// for requests that outlast the rollout.
	canaryLimitFraction = 0.25
	// usedLimitFraction is the fraction of the exposure limit that is used in total; the rest covers requests that
	// a router assigned before it was replaced, whose counts are lost.
	usedLimitFraction = 0.8
	// switchMargin is the time before the deadline from which all requests go to the version that stays; short
	// requests that began earlier finish within it. recordMargin is the time before the deadline at which the
	// decision is written to the store, which answers within a few milliseconds.
	switchMargin = 300 * time.Millisecond
	recordMargin = 200 * time.Millisecond
	// suspectMargin is the time before the deadline from which a version under suspicion is rolled back at once; the
	// store and whoever reads the state there need some of it.
	suspectMargin = time.Second
	// minRateWindow is the shortest time over which the request rate is averaged that is projected to the deadline.
	minRateWindow = time.Second
	// successesMin is the number of successes that the new version needs to be proven.
	successesMin = 3
	// shortRoutesMax bounds the routes that are counted separately; all others are counted together.
	shortRoutesMax = 24
	// minShortJudgeInterval is the shortest time between two judgements; it is below the interval between reports.
	minShortJudgeInterval = 100 * time.Millisecond
	// onlyClass is the hardware class of all targets, as their registrations do not state one.
	onlyClass = ident.Class("all")
)

// Request asks for a rollout of a version of a service.
type Request struct {
	Service ident.Service
	To      ident.Version
	// Duration is the time from the request to its deadline.
	Duration time.Duration
}

// ExposureLimit limits the requests that reach a version which turns out bad: to Share of the service's requests
// between the rollout request and its deadline, plus ExtraRequests.
type ExposureLimit struct{ Share, ExtraRequests float64 }

// ShortRollout is the state of one rollout as one router sees it. All routers run it. A router alone can only
// decide in the safe direction, and the first final state that the store accepts is binding. It is not safe for
// concurrent use.
type ShortRollout struct {
	request   Request
	limit     ExposureLimit
	startedAt time.Time
	// state is Running until a final state is recorded; stateRecorded is true while the store holds any state.
	state         State
	stateRecorded bool
	verdict       *Verdict
	// decision is the final state that this router decided on at the deadline; empty before.
	decision State
	// total counts the requests of this router since the rollout request, canary those assigned to the canary;
	// tallies holds the same counts per route.
	total, canary float64
	tallies       map[ident.Route]*tally
	localCounts   groupCounts
	peerCounts    map[processBoot]groupCounts
	// lastCrash holds the time of the last lost answer per target, as all answers lost by one crash count as one
	// failure.
	lastCrash map[ident.TargetID]time.Time
	// oldGaps and newGaps are the speeds of targets at this router, peerGaps those of the new version at the others.
	oldGaps, newGaps gapStats
	peerGaps         map[processBoot]gapStats
	judgement        Judgement
	// judgementStale is true when outcomes were counted since the judgement made at judgedAt.
	judgementStale bool
	judgedAt       time.Time
}

// processBoot identifies one boot of a process.
type processBoot struct {
	process ident.ProcessID
	boot    ident.Boot
}

// NewShortRollout returns a running rollout whose request this router first saw at now.
func NewShortRollout(now time.Time, r Request, limit ExposureLimit) *ShortRollout {
	return &ShortRollout{
		request: r, limit: limit, startedAt: now, state: Running, tallies: map[ident.Route]*tally{}, localCounts: groupCounts{},
		peerCounts: map[processBoot]groupCounts{}, lastCrash: map[ident.TargetID]time.Time{},
		oldGaps: gapStats{}, newGaps: gapStats{}, peerGaps: map[processBoot]gapStats{},
	}
}

// Request returns the rollout request.
func (sr *ShortRollout) Request() Request { return sr.request }

// Age returns the time since the rollout request.
func (sr *ShortRollout) Age(now time.Time) time.Duration { return now.Sub(sr.startedAt) }

// MergeAge applies the age of the rollout request at another process, which may have seen it earlier.
func (sr *ShortRollout) MergeAge(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.Before(sr.startedAt) {
		sr.startedAt = at
	}
}

// State returns the recorded state. It is Running until a final state is recorded.
func (sr *ShortRollout) State() State { return sr.state }

// Verdict returns the verdict that the new version is bad, or nil.
func (sr *ShortRollout) Verdict() *Verdict { return sr.verdict }

// Judgement returns the last judgement.
func (sr *ShortRollout) Judgement() Judgement { return sr.judgement }

// SetRecorded applies the state that the store holds. A final state overrides any decision of this router.
func (sr *ShortRollout) SetRecorded(s State) {
	sr.stateRecorded = true
	if s == Done || s == RolledBack {
		sr.state = s
	}
}

// SetLost records that the store has lost the recorded state, which is then due again. A final state stays binding.
func (sr *ShortRollout) SetLost() { sr.stateRecorded = false }

// SetVerdict applies a verdict of another process. A verdict is never revoked.
func (sr *ShortRollout) SetVerdict(v Verdict) {
	if sr.verdict == nil {
		sr.verdict = &v
	}
}

// CanaryOnly reports whether targets of a version get only the requests that AssignCanary chose: those of the new
// version until it is chosen to stay, and those of all other versions afterwards.
func (sr *ShortRollout) CanaryOnly(v ident.Version) bool {
	if sr.newVersionStays() {
		return v != sr.request.To
	}
	return v == sr.request.To
}

// newVersionStays reports whether the new version has been chosen to stay.
func (sr *ShortRollout) newVersionStays() bool {
	return sr.state == Done || sr.state == Running && sr.verdict == nil && sr.decision == Done
}

// AssignCanary reports whether a request with the expected duration goes to a canary target, and counts it.
// routers is the number of routers that share the exposure limit.
func (sr *ShortRollout) AssignCanary(now time.Time, routers int, r ident.Route, duration time.Duration) bool {
	t := sr.tally(r)
	sr.total++
	t.total++
	if sr.state != Running || sr.verdict != nil || sr.decision != "" || sr.canary+1 > sr.canaryBudget(now, routers, duration) {
		return false
	}
	// The canary covers routes with little traffic as well: no route exceeds its share by more than one request.
	if share := sr.canary / max(sr.total, 1); !sr.outlastsOldTarget(now, duration) && t.canary > share*t.total+1 {
		return false
	}
	sr.canary++
	t.canary++
	return true
}

// UndoAssign reverts the counts of AssignCanary for a request that was turned away; canary tells whether it
// was assigned to the canary.
func (sr *ShortRollout) UndoAssign(r ident.Route, canary bool) {
	t := sr.tally(r)
	sr.total--
	t.total--
	if canary {
		sr.canary--
		t.canary--
	}
}

// outlastsOldTarget reports whether a request that begins now would still run on an old target when that stops.
func (sr *ShortRollout) outlastsOldTarget(now time.Time, duration time.Duration) bool {
	return sr.Age(now)+duration > sr.request.Duration-switchMargin
}

// canaryBudget returns how many requests this router may have assigned to the new version by now. Each router
// applies the exposure limit to the requests it has seen, so that all routers together stay within it, whatever
// their number and load.
func (sr *ShortRollout) canaryBudget(now time.Time, routers int, duration time.Duration) float64 {
	age, extra := sr.Age(now), sr.limit.ExtraRequests/float64(max(routers, 1))
	elapsed := min(float64(age)/float64(max(sr.request.Duration, 1)), 1)
	inCanaryPhase := canaryLimitFraction * (sr.limit.Share*sr.total + extra*elapsed)
	if !sr.outlastsOldTarget(now, duration) || sr.judge(now).Score >= suspicionThreshold {
		return inCanaryPhase
	}
	rate := sr.total / max(age, minRateWindow).Seconds()
	full := usedLimitFraction * (sr.limit.Share*max(sr.total, rate*sr.request.Duration.Seconds()) + extra)
	return max(inCanaryPhase, full-rate*switchMargin.Seconds())
}

func (sr *ShortRollout) tally(r ident.Route) *tally {
	if _, ok := sr.tallies[r]; !ok && len(sr.tallies) >= shortRoutesMax {
		r = ""
	}
	t := sr.tallies[r]
	if t == nil {
		t = &tally{}
		sr.tallies[r] = t
	}
	return t
}

// DueState returns the state that is to be written to the store at now, if any. Running is written first. A rollout
// without enough successes by its deadline is rolled back.
func (sr *ShortRollout) DueState(now time.Time) (s State, ok bool) {
	if sr.state != Running {
		return sr.state, !sr.stateRecorded
	}
	age := sr.Age(now)
	if age >= sr.request.Duration-suspectMargin && sr.decision == "" && sr.judge(now).Suspected {
		sr.decision = RolledBack
	}
	if proven := sr.judge(now).Proven; age >= sr.request.Duration-switchMargin && sr.decision != RolledBack {
		sr.decision = RolledBack
		if proven {
			sr.decision = Done
		}
	}
	switch {
	case sr.verdict != nil || sr.decision == RolledBack && sr.judgement.Suspected:
		return RolledBack, true
	case sr.decision != "" && age >= sr.request.Duration-recordMargin:
		return sr.decision, true
	}
	return Running, !sr.stateRecorded
}

// judge returns the judgement on the outcomes of all routers, and sets the verdict when the new version is bad.
func (sr *ShortRollout) judge(now time.Time) Judgement {
	if !sr.judgementStale || now.Sub(sr.judgedAt) < minShortJudgeInterval {
		return sr.judgement
	}
	sr.judgementStale, sr.judgedAt = false, now
	ev := sr.evidence()
	var at routeClass
	j := Judgement{}
	j.Score, j.Reason, at = ev.worstScore()
	gap := sr.gapScore()
	if gap > 0 {
		if gap > j.Score {
			j.Reason, at = ReasonSlow, routeClass{}
		}
		j.Score += gap
	}
	j.Route, j.Class, j.Bad = at.route, at.class, j.Score >= alarmThreshold
	all := ev.total(routeClass{})
	j.Suspected = j.Score >= suspicionThreshold || gap >= gapSuspicion
	j.Proven = !j.Suspected && all.new.Successes() >= successesMin
	sr.judgement = j
	if j.Bad && sr.verdict == nil {
		sr.verdict = &Verdict{Reason: j.Reason, Route: j.Route, Class: j.Class, JudgedAt: now}
	}
	return j
}

// RequestCounts returns the requests counted for the other versions and for the new one, at all routers.
func (sr *ShortRollout) RequestCounts() (old, canary uint64) {
	ev := sr.evidence()
	return ev.RequestCounts("")
}
