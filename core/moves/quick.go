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
	triedPart = 0.25
	// boundPart is the part of the bound that is used in all; the rest covers requests that a router counted
	// before it was replaced.
	boundPart = 0.8
	// endMargin is the time before the deadline from which all requests go to the version that stays: the
	// short ones that began before end within it. writeMargin is the time before the deadline at which the
	// end is written; the store answers in some milliseconds.
	endMargin   = 300 * time.Millisecond
	writeMargin = 200 * time.Millisecond
	// rateTime is the least time over which requests are counted for a projection to the deadline.
	rateTime = time.Second
	// goodMin is the number of good outcomes without which a version is not taken.
	goodMin = 3
	// quickRoutesMax bounds the routes that are counted apart; others are counted together.
	quickRoutesMax = 24
	// quickJudgeGap is the shortest time between two judgements, below the interval between reports.
	quickJudgeGap = 100 * time.Millisecond
	// quickClass is the only hardware class; registrations of targets do not state one.
	quickClass = ident.Class("all")
)

// Order asks for a move of a service to the targets of a version.
type Order struct {
	Service ident.Service
	To      ident.Version
	// Length is the time from the order to its deadline.
	Length time.Duration
}

// Bound limits what a version may get that turns out bad: Share of the service's requests between the order
// and its deadline, and Slack requests beside.
type Bound struct{ Share, Slack float64 }

// Quick is a move as one router sees it. All routers run it; what one decides alone is in the safe direction,
// and the first end that the store accepts holds. It is not safe for concurrent use.
type Quick struct {
	order Order
	bound Bound
	began time.Time
	// state is Running until an end is recorded; told is true once the store says that the move runs.
	state State
	told  bool
	bad   *Verdict
	// end is this router's own decision at the deadline; empty before.
	end State
	// all and trial count the requests of this router since the order, those of the new version in trial;
	// sent counts them per route.
	all, trial float64
	sent       map[ident.Route]*tally
	mine       counts
	peers      map[source]counts
	// crashed holds the last lost answer per target, as all that one crash loses count as one failure.
	crashed map[ident.TargetID]time.Time
	judged  Judgement
	// stale is true when outcomes came in since the judgement of judgedAt.
	stale    bool
	judgedAt time.Time
}

// source is one process.
type source struct {
	process ident.ProcessID
	boot    ident.Boot
}

// NewQuick returns a running move that was first seen at now.
func NewQuick(now time.Time, o Order, b Bound) *Quick {
	return &Quick{
		order: o, bound: b, began: now, state: Running, sent: map[ident.Route]*tally{}, mine: counts{},
		peers: map[source]counts{}, crashed: map[ident.TargetID]time.Time{},
	}
}

// Order returns the order.
func (q *Quick) Order() Order { return q.order }

// Age returns the time since the order.
func (q *Quick) Age(now time.Time) time.Duration { return now.Sub(q.began) }

// Older takes in that another process saw the order earlier.
func (q *Quick) Older(now time.Time, age time.Duration) {
	if at := now.Add(-age); at.Before(q.began) {
		q.began = at
	}
}

// State returns the recorded state; Running until an end is recorded.
func (q *Quick) State() State { return q.state }

// Bad returns the verdict on the new version, or nil.
func (q *Quick) Bad() *Verdict { return q.bad }

// Judged returns the last judgement.
func (q *Quick) Judged() Judgement { return q.judged }

// Recorded takes the state that the store holds. An end holds whatever was decided here.
func (q *Quick) Recorded(s State) {
	q.told = true
	if s == Done || s == Back {
		q.state = s
	}
}

// Condemn takes a verdict of another process. There is no way back from it.
func (q *Quick) Condemn(v Verdict) {
	if q.bad == nil {
		q.bad = &v
	}
}

// Apart reports whether targets of a version get only requests that Assign chose: those of the new version,
// until it is taken, and then those of all others.
func (q *Quick) Apart(v ident.Version) bool {
	if q.taken() {
		return v != q.order.To
	}
	return v == q.order.To
}

// taken reports whether the new version has been chosen to stay.
func (q *Quick) taken() bool {
	return q.state == Done || q.state == Running && q.bad == nil && q.end == Done
}

// Assign reports whether a request, which takes about the given time, goes to a target that is apart. routers
// is the number of routers that share the bound.
func (q *Quick) Assign(now time.Time, routers int, r ident.Route, takes time.Duration) bool {
	t := q.tally(r)
	q.all++
	t.all++
	if q.state != Running || q.bad != nil || q.end != "" || q.trial+1 > q.allowed(now, routers, takes) {
		return false
	}
	// Rare routes are tried as well: no route is ahead of its part by more than one request.
	if part := q.trial / max(q.all, 1); !q.outlasts(now, takes) && t.trial > part*t.all+1 {
		return false
	}
	q.trial++
	t.trial++
	return true
}

// Drop takes back what Assign counted for a request that was turned away.
func (q *Quick) Drop(r ident.Route, trial bool) {
	t := q.tally(r)
	q.all--
	t.all--
	if trial {
		q.trial--
		t.trial--
	}
}

// outlasts reports whether a request that begins now would still run on an old target when that stops.
func (q *Quick) outlasts(now time.Time, takes time.Duration) bool {
	return q.Age(now)+takes > q.order.Length-endMargin
}

// allowed returns how many requests of this router the new version may have got by now. Each router keeps to
// its part of the bound by its own requests, so that all together do, whatever their number and loads.
func (q *Quick) allowed(now time.Time, routers int, takes time.Duration) float64 {
	age, slack := q.Age(now), q.bound.Slack/float64(max(routers, 1))
	passed := min(float64(age)/float64(max(q.order.Length, 1)), 1)
	tried := triedPart * (q.bound.Share*q.all + slack*passed)
	if !q.outlasts(now, takes) || q.judge(now).Score >= suspicion {
		return tried
	}
	rate := q.all / max(age, rateTime).Seconds()
	whole := boundPart * (q.bound.Share*max(q.all, rate*q.order.Length.Seconds()) + slack)
	return max(tried, whole-rate*endMargin.Seconds())
}

func (q *Quick) tally(r ident.Route) *tally {
	if _, ok := q.sent[r]; !ok && len(q.sent) >= quickRoutesMax {
		r = ""
	}
	t := q.sent[r]
	if t == nil {
		t = &tally{}
		q.sent[r] = t
	}
	return t
}

// Due returns the state that is to be written to the store at now, if any. Running is written first. A move
// without enough good outcomes by its deadline is taken back.
func (q *Quick) Due(now time.Time) (s State, ok bool) {
	if q.state != Running {
		return "", false
	}
	age := q.Age(now)
	if proved := q.judge(now).Proved; age >= q.order.Length-endMargin && q.end != Back {
		q.end = Back
		if proved {
			q.end = Done
		}
	}
	switch {
	case q.bad != nil:
		return Back, true
	case q.end != "" && age >= q.order.Length-writeMargin:
		return q.end, true
	}
	return Running, !q.told
}

// judge derives the verdict from the outcomes of all routers.
func (q *Quick) judge(now time.Time) Judgement {
	if !q.stale || now.Sub(q.judgedAt) < quickJudgeGap {
		return q.judged
	}
	q.stale, q.judgedAt = false, now
	ev := q.evidence()
	var at cell
	j := Judgement{}
	j.Score, j.Reason, at = ev.badness()
	j.Route, j.Class, j.Bad = at.route, at.class, j.Score >= alarm
	all := ev.total(cell{})
	j.Proved = j.Score < suspicion && all.new.Good() >= goodMin
	q.judged = j
	if j.Bad && q.bad == nil {
		q.bad = &Verdict{Reason: j.Reason, Route: j.Route, Class: j.Class, At: now}
	}
	return j
}

// Requests returns the outcomes counted for the other versions and for the new one, at all routers.
func (q *Quick) Requests() (old, trial uint64) {
	ev := q.evidence()
	return ev.Requests("")
}
