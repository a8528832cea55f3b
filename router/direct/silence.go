package direct

import (
	"slices"
	"time"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/sched"
)

// Targets that fall silent.
//
// Load pattern: under some request each target keeps its connections and answers nothing, until its process is replaced.
// No connection is refused, and callers leave before that shows. What a target has not answered since its last sign of
// life is told to the other routers once it is due, and counts as a crash when the process turns out to have ended.

// minSilence is the shortest time without any answer after which a target counts as silent.
const minSilence = 250 * time.Millisecond

// unanswered is a request to which its target has sent nothing yet.
type unanswered struct {
	c *call
	// reported is true once the other routers were told of it.
	reported bool
}

// silent reports whether the target has sent nothing, to this request or another one, since this one was sent.
func (a *attempt) silent(now time.Time) bool {
	return a.connected && now.Sub(a.sent) >= minSilence && a.activity.silentSince(a.sent)
}

// isSilent reports whether a target was silent before now, as far as this router or another one knows; r.mu is held.
func (r *Router) isSilent(now time.Time, t ident.TargetID, activity *targetActivity) bool {
	for a := range r.unanswered[t] {
		if a.silent(now) {
			return true
		}
	}
	at, reported := r.poison.SilentSince(t)
	return reported && activity.silentSince(at) || slices.ContainsFunc(r.lostAnswers[t], func(l lostAnswer) bool { return l.silent })
}

func (r *Router) addUnanswered(c *call, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a.connected = true
	if a.unsuspected = r.isSilent(a.sent, a.target.ID, a.activity); a.unsuspected {
		return
	}
	m := r.unanswered[a.target.ID]
	if m == nil {
		m = map[*attempt]*unanswered{}
		r.unanswered[a.target.ID] = m
	}
	m[a] = &unanswered{c: c}
}

func (r *Router) removeUnanswered(a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	m, ok := r.unanswered[a.target.ID]
	if !ok {
		return
	}
	if delete(m, a); len(m) == 0 {
		delete(r.unanswered, a.target.ID)
	}
}

// unansweredBy returns the requests that a target has not answered since its last sign of life; r.mu is held.
func (r *Router) unansweredBy(now time.Time, t ident.TargetID) (out []lostAnswer) {
	for a, u := range r.unanswered[t] {
		if a.silent(now) {
			out = append(out, newLostAnswer(now, u.c, a, true))
		}
	}
	return out
}

// reportSilences reports the targets that have been silent for so long that a request should have been answered; r.mu is
// held.
func (r *Router) reportSilences(now time.Time) {
	for t, m := range r.unanswered {
		due := false
		for a, u := range m {
			due = due || !u.reported && now.Sub(a.sent) >= sched.StallTimeout(u.c.route, false) && a.silent(now)
		}
		if !due {
			continue
		}
		lost := r.unansweredBy(now, t)
		for _, l := range r.lostAnswers[t] {
			if l.silent {
				lost = append(lost, l)
			}
		}
		c := poison.Crash{Target: t, At: timeOfCrash(lost), Silent: true}
		for _, l := range lost {
			c.Requests = append(c.Requests, l.request)
		}
		for a, u := range m {
			u.reported = u.reported || a.silent(now)
			a.activity.suspected.Store(true)
		}
		r.recordCrash(now, c)
	}
}

// recordLife records that a target has sent something: the requests that it did not answer before did not end it.
func (r *Router) recordLife(t ident.TargetID, a *targetActivity) {
	a.lastAnswer.Store(time.Now().UnixNano())
	if !a.suspected.Swap(false) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.forgetLostAnswers(t, func(l lostAnswer) bool { return l.silent })
	r.forgetSilence(t)
}

// confirmReplaced confirms the crash of a target whose address another one has taken; r.mu is held.
func (r *Router) confirmReplaced(now time.Time, by fleet.Target) {
	for id, t := range r.targets {
		if id != by.ID && t.Address == by.Address {
			r.confirmCrashes(now, id)
		}
	}
}
