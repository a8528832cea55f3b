package direct

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// lossKeep is the time within which a target must be found down for a lost answer to count as a crash.
	crashConfirmWindow = 2 * time.Second
	// crashKeep is the time for which a crash is told to the other routers; crashesMax bounds their number.
	crashGossipTTL   = 5 * time.Second
	recentCrashesMax = 64
)

// loss is an answer that was lost on the way from a target.
type lostAnswer struct {
	fingerprint ident.Fingerprint
	at          time.Time
}

// crashSeen is a crash to tell the other routers of.
type observedCrash struct {
	fingerprint ident.Fingerprint
	target      ident.TargetID
	running     int
	at          time.Time
}

// suspect notes a lost answer. A target that breaks off an answer need not have crashed.
func (r *Router) recordAnswerEnd(c *call, v *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	switch v.result {
	case answerLost:
		r.lostAnswers[v.target.ID] = append(r.lostAnswers[v.target.ID], lostAnswer{fingerprint: c.fingerprint, at: now})
	case delivered:
		r.guard.RecordFinish(now, c.fingerprint)
		delete(r.lostAnswers, v.target.ID)
	}
}

// confirm turns the recent losses of a target that is down into crashes; r.mu is held.
func (r *Router) confirmCrashes(now time.Time, t ident.TargetID) {
	var prints []ident.Fingerprint
	for _, l := range r.lostAnswers[t] {
		if now.Sub(l.at) < crashConfirmWindow {
			prints = append(prints, l.fingerprint)
		}
	}
	delete(r.lostAnswers, t)
	if len(prints) == 0 {
		return
	}
	r.log.Log(event.RequestSuspected, "target", t, "prints", prints, "among", len(prints))
	r.guard.RecordCrash(now, t, prints)
	r.urgentHeartbeat = true
	for _, p := range prints {
		if len(r.recentCrashes) == recentCrashesMax {
			r.recentCrashes = r.recentCrashes[1:]
		}
		r.recentCrashes = append(r.recentCrashes, observedCrash{fingerprint: p, target: t, running: len(prints), at: now})
	}
}

// told returns the recent crashes for a beacon; r.mu is held.
func (r *Router) crashReports(now time.Time) (out []wire.HeartbeatFingerprint) {
	for _, c := range r.recentCrashes {
		if age := now.Sub(c.at); age < crashGossipTTL {
			out = append(out, wire.HeartbeatFingerprint{Fingerprint: c.fingerprint, Target: c.target, Running: c.running, AgeMillis: age.Milliseconds()})
		}
	}
	return out
}

// heard takes in the crashes that another router saw; r.mu is held.
func (r *Router) mergeCrashes(now time.Time, list []wire.HeartbeatFingerprint) {
	for _, c := range list {
		at := now.Add(-time.Duration(c.AgeMillis) * time.Millisecond)
		r.guard.Merge(now, guard.Entry{Kind: guard.Crash, Fingerprint: c.Fingerprint, Target: c.Target, Running: c.Running, At: at})
	}
}
