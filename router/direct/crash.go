package direct

import (
	"net/http"
	"slices"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/wire"
)

const (
	// crashConfirmWindow is the time within which a target must be found down after a lost answer for the loss
	// to count as a crash.
	crashConfirmWindow = 2 * time.Second
	// crashGossipTTL is the time for which a crash is sent to the other routers, in every heartbeat at first and in
	// some until its end; recentCrashesMax limits the number of crashes that are sent.
	crashGossipTTL      = 10 * time.Second
	crashGossipOften    = time.Second
	recentCrashesMax    = 64
	urgentHeartbeatsMax = 3
	// passTime is the time from the first event of an answer after which its request has not crashed the target.
	passTime = 500 * time.Millisecond
	// blockRetryMax limits the time after which the caller of a blocked request may retry.
	blockRetryMax = time.Minute
	// partNamesMax limits the parts whose ids are kept for log lines.
	partNamesMax = 1024
)

// lostAnswer is an answer that was lost while it was read from a target.
type lostAnswer struct {
	id      ident.RequestID
	request poison.Request
	// events is the number of events of the answer that the target had sent.
	events int
	// at is the time of the loss, or the time at which the request was sent if the target was silent from then on.
	at     time.Time
	silent bool
}

// setFeatures sets what the request may have in common with others; see package poison.
func (c *call) setFeatures() {
	c.features = append(c.features, ident.FingerprintOf(c.service, append([][]byte{[]byte(c.r.Method + " " + c.uri + " " + c.Key + "\n")}, c.body.Chunks...)...))
	for _, p := range c.Parts {
		c.features = append(c.features, ident.FingerprintOf(c.service, []byte("part "+p.ID)))
	}
}

// checkBlocked refuses a request that has what crashed targets; r.mu is held.
func (r *Router) checkBlocked(now time.Time, c *call) *fault.Error {
	b, ok := r.poison.Match(now, c.features)
	if !ok {
		return nil
	}
	f := fault.NotRunf(fault.Crashes, "requests with this content crashed targets")
	f.StatusOverride = http.StatusServiceUnavailable
	return withRetryAfter(f, min(b.Until.Sub(now), blockRetryMax))
}

// releaseIfBlocked refuses a request that was blocked while it waited for its placement, which is released.
func (r *Router) releaseIfBlocked(c *call, d decision) *fault.Error {
	if d.placement.Job == nil {
		return nil
	}
	r.mu.Lock()
	now := time.Now()
	f := r.checkBlocked(now, c)
	if activity := r.activity[d.target.ID]; f == nil && c.onTrial && activity != nil && r.isSilent(now, d.target.ID, activity) {
		f = trialRefusal("its target does not answer")
	}
	r.mu.Unlock()
	if f != nil {
		r.releasePlacement(c, d)
	}
	return f
}

// recordAnswerEnd records a lost answer, or that a request did not crash its target. A target that breaks off an
// answer has not necessarily crashed; confirmCrashes decides that.
func (r *Router) recordAnswerEnd(c *call, a *attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	silent := (a.result == answerLost || a.result == abandoned) && a.silent(now)
	if (silent || a.result == answerLost) && !a.unsuspected {
		r.lostAnswers[a.target.ID] = append(r.lostAnswers[a.target.ID], newLostAnswer(now, c, a, silent))
		r.keepPartNames(c)
	}
	if silent && !a.unsuspected {
		a.activity.suspected.Store(true)
	}
	switch {
	case a.result == answerLost:
		r.requestVerify(a.target)
	case a.result == delivered && (a.sound || c.onTrial && a.survived()):
		r.poison.RecordPass(now, c.features)
	}
}

// recordPass records that a running answer has gone on for long enough after its beginning.
func (r *Router) recordPass(c *call, a *attempt) {
	a.passed = true
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison.RecordPass(time.Now(), c.features)
}

// keepPartNames keeps the ids of the parts of a request for log lines; r.mu is held.
func (r *Router) keepPartNames(c *call) {
	if len(r.partNames) >= partNamesMax {
		clear(r.partNames)
	}
	for i, p := range c.Parts {
		r.partNames[c.features[i+1]] = p.ID
	}
}

// expired reports whether the target was not found down in time.
func (l lostAnswer) expired(now time.Time) bool {
	if l.silent {
		return now.Sub(l.at) >= poison.SilentTime
	}
	return now.Sub(l.at) >= crashConfirmWindow
}

// forgetLostAnswers forgets some of the answers that a target lost; r.mu is held.
func (r *Router) forgetLostAnswers(t ident.TargetID, which func(lostAnswer) bool) {
	kept := slices.DeleteFunc(r.lostAnswers[t], which)
	if r.lostAnswers[t] = kept; len(kept) == 0 {
		delete(r.lostAnswers, t)
	}
}

// expireLostAnswers forgets the lost answers of targets that were not found down in time; r.mu is held.
func (r *Router) expireLostAnswers(now time.Time) {
	for t := range r.lostAnswers {
		r.forgetLostAnswers(t, func(l lostAnswer) bool { return l.expired(now) })
	}
}

func newLostAnswer(now time.Time, c *call, a *attempt, silent bool) lostAnswer {
	l := lostAnswer{id: c.ID, request: poison.Request{Features: c.features, Late: a.passed, Trial: c.onTrial}, events: a.events, at: now, silent: silent}
	if silent {
		l.at = a.sent
	}
	return l
}

// timeOfCrash returns the time of the first answer that a crashed target lost, or that since which it was silent.
func timeOfCrash(lost []lostAnswer) (at time.Time) {
	silent := !slices.ContainsFunc(lost, func(l lostAnswer) bool { return !l.silent })
	for _, l := range lost {
		if l.silent == silent && (at.IsZero() || l.at.Before(at)) {
			at = l.at
		}
	}
	return at
}

// reportedCrash is a crash that the other routers are told of, since the given time.
type reportedCrash struct {
	poison.Crash
	since time.Time
}

// recordCrash records a crash and tells the other routers, in place of an earlier report that the target is silent; r.mu
// is held.
func (r *Router) recordCrash(now time.Time, c poison.Crash) {
	r.poison.RecordCrash(c)
	known := r.forgetSilence(c.Target)
	if len(r.recentCrashes) == recentCrashesMax {
		r.recentCrashes = r.recentCrashes[1:]
	}
	r.recentCrashes = append(r.recentCrashes, reportedCrash{Crash: c, since: now})
	if !c.Silent || !known {
		r.urgentHeartbeats = urgentHeartbeatsMax
	}
}

// forgetSilence ends the reports that a target is silent, and reports whether there were any; r.mu is held.
func (r *Router) forgetSilence(t ident.TargetID) bool {
	n := len(r.recentCrashes)
	r.recentCrashes = slices.DeleteFunc(r.recentCrashes, func(o reportedCrash) bool { return o.Silent && o.Target == t })
	return len(r.recentCrashes) < n
}

// confirmCrashes turns the recent lost answers of a target that is down into a crash; r.mu is held.
func (r *Router) confirmCrashes(now time.Time, t ident.TargetID) {
	lost := slices.DeleteFunc(r.lostAnswers[t], func(l lostAnswer) bool { return l.expired(now) })
	lost = append(lost, r.unansweredBy(now, t)...)
	delete(r.lostAnswers, t)
	if registered, ok := r.targets[t]; !ok || registered.Leaving || len(lost) == 0 {
		return // a target that is leaving was to end
	}
	c := poison.Crash{Target: t, At: timeOfCrash(lost)}
	var ids []ident.RequestID
	var prints []ident.Fingerprint
	var events []int
	for _, l := range lost {
		c.Requests = append(c.Requests, l.request)
		ids, prints, events = append(ids, l.id), append(prints, l.request.Features[0]), append(events, l.events)
	}
	r.log.Log(event.RequestSuspected, "target", t, "prints", prints, "among", len(lost), "ids", ids, "events", events, "since", now.Sub(c.At).Milliseconds())
	r.recordCrash(now, c)
	r.updateBlocks(now)
}

// updateBlocks derives blocks from the crashes that are known; r.mu is held.
func (r *Router) updateBlocks(now time.Time) {
	blocked, lifted := r.poison.Step(now)
	r.logSuspicions()
	r.logTrials(now)
	for _, b := range blocked {
		r.log.Log(event.RequestsBlocked, "prints", b.Features, "parts", r.namesOf(b.Features), "until", b.Until.Sub(now), "own", b.Own)
		if b.Own {
			r.blocks.Record(b, false)
		}
		r.urgentHeartbeats = urgentHeartbeatsMax
	}
	for _, b := range lifted {
		r.log.Log(event.BlockLifted, "prints", b.Features, "parts", r.namesOf(b.Features), "after", now.Sub(b.At))
		r.blocks.Record(b, true)
	}
}

// logSuspicions logs the suspicions that changed; r.mu is held.
func (r *Router) logSuspicions() {
	for _, s := range r.poison.NewSuspicions() {
		r.log.Log(event.SuspicionWeighed, "print", s.Feature, "targets", s.Targets, "events", s.Events, "weight", s.Weight, "needed", s.Needed)
	}
}

// namesOf returns the ids of those features that are parts of prompts of this router's requests; r.mu is held.
func (r *Router) namesOf(features []ident.Fingerprint) (out []ident.PromptPart) {
	for _, f := range features {
		if name, ok := r.partNames[f]; ok {
			out = append(out, name)
		}
	}
	return out
}

// addCrashes adds what this router knows of crashes to a heartbeat; r.mu is held.
func (r *Router) addCrashes(now time.Time, m *wire.Heartbeat) {
	rare := (uint64(m.Seq)+rankOf(r.cfg.Name))%levelsEvery == 0
	for _, c := range r.recentCrashes {
		known := now.Sub(c.since)
		if known >= crashGossipTTL || known >= crashGossipOften && !rare {
			continue
		}
		w := wire.HeartbeatCrash{Target: c.Target, AgeMillis: now.Sub(c.At).Milliseconds(), Silent: c.Silent}
		for _, q := range c.Requests {
			w.Requests = append(w.Requests, wire.HeartbeatSuspect{Features: q.Features, Late: q.Late, Trial: q.Trial})
		}
		m.Crashes = append(m.Crashes, w)
	}
	for _, p := range r.poison.Passes() {
		if now.Sub(p.Since) < crashGossipOften || rare {
			m.Passes = append(m.Passes, wire.HeartbeatPass{Feature: p.Feature, AgeMillis: now.Sub(p.At).Milliseconds()})
		}
	}
	for _, k := range r.docket.Claims(now) {
		m.Trials = append(m.Trials, wire.HeartbeatTrial{Features: k.Features, Running: k.Running})
	}
	for _, b := range r.poison.Blocks(now) {
		if age := now.Sub(b.At); age < crashGossipOften || rare {
			m.Blocks = append(m.Blocks, wire.HeartbeatBlock{Features: b.Features, AgeMillis: age.Milliseconds(), LeftMillis: b.Until.Sub(now).Milliseconds()})
		}
	}
}

// mergeCrashes applies what another router knows of crashes; r.mu is held.
func (r *Router) mergeCrashes(now time.Time, b *wire.Heartbeat) {
	ago := func(millis int64) time.Time { return now.Add(-time.Duration(millis) * time.Millisecond) }
	for _, w := range b.Crashes {
		c := poison.Crash{Target: w.Target, At: ago(w.AgeMillis), Silent: w.Silent}
		for _, q := range w.Requests {
			c.Requests = append(c.Requests, poison.Request{Features: q.Features, Late: q.Late, Trial: q.Trial})
		}
		r.poison.MergeCrash(c)
	}
	for _, p := range b.Passes {
		r.poison.MergePass(p.Feature, ago(p.AgeMillis))
	}
	var claims []poison.Claim
	for _, t := range b.Trials {
		claims = append(claims, poison.Claim{Features: t.Features, Running: t.Running})
	}
	r.docket.Merge(now, b.Process, claims)
	for _, k := range b.Blocks {
		r.poison.MergeBlock(now, poison.Block{Features: k.Features, At: ago(k.AgeMillis), Until: ago(-k.LeftMillis)})
	}
	r.updateBlocks(now)
}

// recordedBlocks gives the recorder of blocks access to those that the router knows.
type recordedBlocks struct{ *Router }

// MergeBlock implements block.Blocks.
func (r recordedBlocks) MergeBlock(b poison.Block) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.poison.MergeBlock(time.Now(), b)
}

// InForce implements block.Blocks.
func (r recordedBlocks) InForce() []poison.Block {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.poison.Blocks(time.Now())
}

// RewriteDelay implements block.Blocks.
func (r recordedBlocks) RewriteDelay() time.Duration { return r.rewriteDelay() }
