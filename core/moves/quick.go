package moves

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Moves that last seconds, for routers without agents.
//
// Load pattern: new targets are started beside the old ones, and the old ones stop at once when the move is
// done. A version may turn out bad at first, late, under load, or on one route only. So it gets a small part
// of the requests while it is tried. Shortly before the deadline it also gets the requests that would still
// run on an old target when that stops, as far as the bound for a bad version allows, and at last all.

const (
	// triedPart is the part of the bound that is used while the version is tried; the rest is for requests
	// that outlast the move.
	canaryLimitFraction = 0.25
	// boundPart is the part of the bound that is used in all; the rest covers requests that a router counted
	// before it was replaced.
	usedLimitFraction = 0.8
	// endMargin is the time before the deadline from which all requests go to the version that stays: the
	// short ones that began before end within it. writeMargin is the time before the deadline at which the
	// end is written; the store answers in some milliseconds.
	switchMargin = 300 * time.Millisecond
	recordMargin = 200 * time.Millisecond
	// rateTime is the least time over which requests are counted for a projection to the deadline.
	minRateWindow = time.Second
	// goodMin is the number of good outcomes without which a version is not taken.
	successesMin = 3
	// quickRoutesMax bounds the routes that are counted apart; others are counted together.
	shortRoutesMax = 24
	// quickJudgeGap is the shortest time between two judgements, below the interval between reports.
	minShortJudgeInterval = 100 * time.Millisecond
	// quickClass is the only hardware class; registrations of targets do not state one.
	onlyClass = ident.Class("all")
)

// Order asks for a move of a service to the targets of a version.
type Request struct {
	Service ident.Service
	To      ident.Version
	// Length is the time from the order to its deadline.
	Duration time.Duration
}

// Bound limits what a version may get that turns out bad: Share of the service's requests between the order
// and its deadline, and Slack requests beside.
type ExposureLimit struct{ Share, ExtraRequests float64 }

// Quick is a move as one router sees it. All routers run it; what one decides alone is in the safe direction,
// and the first end that the store accepts holds. It is not safe for concurrent use.
type ShortRollout struct {
	request   Request
	limit     ExposureLimit
	startedAt time.Time
	// state is Running until an end is recorded; told is true once the store says that the move runs.
	state         State
	stateRecorded bool
	verdict       *Verdict
	// end is this router's own decision at the deadline; empty before.
	decision State
	// all and trial count the requests of this router since the order, those of the new version in trial;
	// sent counts them per route.
	total, canary float64
	tallies       map[ident.Route]*tally
	localCounts   groupCounts
	peerCounts    map[processBoot]groupCounts
	// crashed holds the last lost answer per target, as all that one crash loses count as one failure.
	lastCrash map[ident.TargetID]time.Time
	judgement Judgement
	// stale is true when outcomes came in since the judgement of judgedAt.
	judgementStale bool
	judgedAt       time.Time
}

// source is one process.
type processBoot struct {
	process ident.ProcessID
	boot    ident.Boot
}

// NewQuick returns a running move that was first seen at now.
func NewShortRollout(now time.Time, o Request, b ExposureLimit) *ShortRollout {
	return &ShortRollout{
		request: o, limit: b, startedAt: now, state: Running, tallies: map[ident.Route]*tally{}, localCounts: groupCounts{},
		peerCounts: map[processBoot]groupCounts{}, lastCrash: map[ident.TargetID]time.Time{},
	}
}

// Order returns the order.
func (q *ShortRollout) Request() Request { return q.request }

// Age returns the time since the order.
func (q *ShortRollout) Age(now time.Time) time.Duration { return now.Sub(q.startedAt) }

// Older takes in that another process saw the order earlier.
func (q *ShortRollout) MergeAge(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.Before(q.startedAt) {
		q.startedAt = at
	}
}

// State returns the recorded state; Running until an end is recorded.
func (q *ShortRollout) State() State { return q.state }

// Bad returns the verdict on the new version, or nil.
func (q *ShortRollout) Verdict() *Verdict { return q.verdict }

// Judged returns the last judgement.
func (q *ShortRollout) Judgement() Judgement { return q.judgement }

// Recorded takes the state that the store holds. An end holds whatever was decided here.
func (q *ShortRollout) SetRecorded(s State) {
	q.stateRecorded = true
	if s == Done || s == RolledBack {
		q.state = s
	}
}

// Condemn takes a verdict of another process. There is no way back from it.
func (q *ShortRollout) SetVerdict(v Verdict) {
	if q.verdict == nil {
		q.verdict = &v
	}
}

// Apart reports whether targets of a version get only requests that Assign chose: those of the new version,
// until it is taken, and then those of all others.
func (q *ShortRollout) CanaryOnly(v ident.Version) bool {
	if q.newVersionStays() {
		return v != q.request.To
	}
	return v == q.request.To
}

// taken reports whether the new version has been chosen to stay.
func (q *ShortRollout) newVersionStays() bool {
	return q.state == Done || q.state == Running && q.verdict == nil && q.decision == Done
}

// Assign reports whether a request, which takes about the given time, goes to a target that is apart. routers
// is the number of routers that share the bound.
func (q *ShortRollout) AssignCanary(now time.Time, routers int, r ident.Route, takes time.Duration) bool {
	t := q.tally(r)
	q.total++
	t.total++
	if q.state != Running || q.verdict != nil || q.decision != "" || q.canary+1 > q.canaryBudget(now, routers, takes) {
		return false
	}
	// Rare routes are tried as well: no route is ahead of its part by more than one request.
	if part := q.canary / max(q.total, 1); !q.outlastsOldTarget(now, takes) && t.canary > part*t.total+1 {
		return false
	}
	q.canary++
	t.canary++
	return true
}

// Drop takes back what Assign counted for a request that was turned away.
func (q *ShortRollout) UndoAssign(r ident.Route, trial bool) {
	t := q.tally(r)
	q.total--
	t.total--
	if trial {
		q.canary--
		t.canary--
	}
}

// outlasts reports whether a request that begins now would still run on an old target when that stops.
func (q *ShortRollout) outlastsOldTarget(now time.Time, takes time.Duration) bool {
	return q.Age(now)+takes > q.request.Duration-switchMargin
}

// allowed returns how many requests of this router the new version may have got by now. Each router keeps to
// its part of the bound by its own requests, so that all together do, whatever their number and loads.
func (q *ShortRollout) canaryBudget(now time.Time, routers int, takes time.Duration) float64 {
	age, slack := q.Age(now), q.limit.ExtraRequests/float64(max(routers, 1))
	passed := min(float64(age)/float64(max(q.request.Duration, 1)), 1)
	tried := canaryLimitFraction * (q.limit.Share*q.total + slack*passed)
	if !q.outlastsOldTarget(now, takes) || q.judge(now).Score >= suspicionThreshold {
		return tried
	}
	rate := q.total / max(age, minRateWindow).Seconds()
	whole := usedLimitFraction * (q.limit.Share*max(q.total, rate*q.request.Duration.Seconds()) + slack)
	return max(tried, whole-rate*switchMargin.Seconds())
}

func (q *ShortRollout) tally(r ident.Route) *tally {
	if _, ok := q.tallies[r]; !ok && len(q.tallies) >= shortRoutesMax {
		r = ""
	}
	t := q.tallies[r]
	if t == nil {
		t = &tally{}
		q.tallies[r] = t
	}
	return t
}

// Due returns the state that is to be written to the store at now, if any. Running is written first. A move
// without enough good outcomes by its deadline is taken back.
func (q *ShortRollout) DueState(now time.Time) (s State, ok bool) {
	if q.state != Running {
		return "", false
	}
	age := q.Age(now)
	if proved := q.judge(now).Proved; age >= q.request.Duration-switchMargin && q.decision != RolledBack {
		q.decision = RolledBack
		if proved {
			q.decision = Done
		}
	}
	switch {
	case q.verdict != nil:
		return RolledBack, true
	case q.decision != "" && age >= q.request.Duration-recordMargin:
		return q.decision, true
	}
	return Running, !q.stateRecorded
}

// judge derives the verdict from the outcomes of all routers.
func (q *ShortRollout) judge(now time.Time) Judgement {
	if !q.judgementStale || now.Sub(q.judgedAt) < minShortJudgeInterval {
		return q.judgement
	}
	q.judgementStale, q.judgedAt = false, now
	ev := q.evidence()
	var at routeClass
	j := Judgement{}
	j.Score, j.Reason, at = ev.worstScore()
	j.Route, j.Class, j.Bad = at.route, at.class, j.Score >= alarmThreshold
	all := ev.total(routeClass{})
	j.Proved = j.Score < suspicionThreshold && all.new.Successes() >= successesMin
	q.judgement = j
	if j.Bad && q.verdict == nil {
		q.verdict = &Verdict{Reason: j.Reason, Route: j.Route, Class: j.Class, JudgedAt: now}
	}
	return j
}

// Requests returns the outcomes counted for the other versions and for the new one, at all routers.
func (q *ShortRollout) RequestCounts() (old, trial uint64) {
	ev := q.evidence()
	return ev.RequestCounts("")
}
