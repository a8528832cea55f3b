package direct

import (
	"slices"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// crashConfirmWindow is the time within which a target must be found down after a lost answer for the loss
	// to count as a crash.
	crashConfirmWindow = 2 * time.Second
	// crashGossipTTL is the time for which a crash is sent to the other routers; recentCrashesMax limits the
	// number of crashes that are sent.
	crashGossipTTL   = 5 * time.Second
	recentCrashesMax = 64
)

// lostAnswer is an answer that was lost while it was read from a target.
type lostAnswer struct {
	id          ident.RequestID
	fingerprint ident.Fingerprint
	// events is the number of events of the answer that the target had sent.
	events int
	at     time.Time
}

// observedCrash is a crash that this router observed and sends to the other routers.
type observedCrash struct {
	fingerprint ident.Fingerprint
	target      ident.TargetID
	// running is the number of requests that ran on the target when it crashed.
	running int
	at      time.Time
}

// recordAnswerEnd records a lost answer, or that a request ended well. A target that breaks off an answer has not
// necessarily crashed; confirmCrashes decides that.
func (r *Router) recordAnswerEnd(c *call, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch a.result {
	case answerLost:
		r.lostAnswers[a.target.ID] = append(r.lostAnswers[a.target.ID], lostAnswer{id: c.ID, fingerprint: c.fingerprint, events: a.events, at: now})
		r.requestVerify(a.target)
	case delivered:
		r.guard.RecordFinish(now, c.fingerprint)
		delete(r.lostAnswers, a.target.ID)
	}
}

// forgetLostAnswers forgets the answers that a target lost before a time at which it was up; r.mu is held.
func (r *Router) forgetLostAnswers(t ident.TargetID, up time.Time) {
	kept := slices.DeleteFunc(r.lostAnswers[t], func(l lostAnswer) bool { return l.at.Before(up) })
	if r.lostAnswers[t] = kept; len(kept) == 0 {
		delete(r.lostAnswers, t)
	}
}

// confirmCrashes turns the recent lost answers of a target that is down into crashes; r.mu is held.
func (r *Router) confirmCrashes(now time.Time, t ident.TargetID) {
	if registered, ok := r.targets[t]; !ok || registered.Leaving {
		delete(r.lostAnswers, t) // it was to end
		return
	}
	var fingerprints []ident.Fingerprint
	var ids []ident.RequestID
	var events []int
	var since time.Duration
	for _, l := range r.lostAnswers[t] {
		if age := now.Sub(l.at); age < crashConfirmWindow {
			fingerprints, ids, events = append(fingerprints, l.fingerprint), append(ids, l.id), append(events, l.events)
			since = max(since, age)
		}
	}
	delete(r.lostAnswers, t)
	if len(fingerprints) == 0 {
		return
	}
	r.log.Log(event.RequestSuspected, "target", t, "prints", fingerprints, "among", len(fingerprints), "ids", ids, "events", events, "since", since.Milliseconds())
	r.guard.RecordCrash(now, t, fingerprints)
	r.urgentHeartbeat = true
	for _, f := range fingerprints {
		if len(r.recentCrashes) == recentCrashesMax {
			r.recentCrashes = r.recentCrashes[1:]
		}
		r.recentCrashes = append(r.recentCrashes, observedCrash{fingerprint: f, target: t, running: len(fingerprints), at: now})
	}
}

// crashReports returns the recent crashes for a heartbeat; r.mu is held.
func (r *Router) crashReports(now time.Time) (out []wire.HeartbeatFingerprint) {
	for _, c := range r.recentCrashes {
		if age := now.Sub(c.at); age < crashGossipTTL {
			out = append(out, wire.HeartbeatFingerprint{Fingerprint: c.fingerprint, Target: c.target, Running: c.running, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// mergeCrashes applies the crashes that another router observed; r.mu is held.
func (r *Router) mergeCrashes(now time.Time, list []wire.HeartbeatFingerprint) {
	for _, c := range list {
		at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		r.guard.Merge(now, guard.Entry{Kind: guard.Crash, Fingerprint: c.Fingerprint, Target: c.Target, Running: c.Running, At: at})
	}
}
