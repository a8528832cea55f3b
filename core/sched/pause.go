package sched

import (
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
)

// Targets that ask for time.
//
// Load pattern: targets turn requests away and name the time for which they want none from this router, one after the
// other or all of a service at once, some of them again and again. A target that asked has no room until then. What waits
// for it comes back at the pace that it took before, and routers that were told the same time come back one after the
// other, as the target would otherwise get at once what all of them held back.

const (
	// resumeSpread is the longest time by which routers that were told the same time resume after each other, and
	// resumeSpreadShare the part of the time that they were told.
	resumeSpread      = 500 * time.Millisecond
	resumeSpreadShare = 0.25
	// pacedTime is the time after a pause in which a target gets requests at its pace of before; slowestPace is the
	// longest time between two of them.
	pacedTime   = 2 * time.Second
	slowestPace = 500 * time.Millisecond
	// noTargetRetryAfter is the time after which a caller may come back while a service has no target at all.
	noTargetRetryAfter = time.Second
)

// pause is the time for which a target wants no jobs from this router.
type pause struct {
	// until is the end of the pause; pacedUntil is the end of the time after it in which gap has to pass between two
	// placements, and next the earliest time of the next one.
	until, pacedUntil, next time.Time
	gap                     time.Duration
}

// Pause records that a target wants no jobs from this router for d. It returns the time until then; ok is false if the
// target is not known.
func (p *Pool) Pause(now time.Time, id ident.TargetID, d time.Duration) (until time.Time, ok bool) {
	t, ok := p.targets[id]
	if !ok {
		return until, false
	}
	if now.After(t.pause.pacedUntil) { // otherwise the recent placements do not show the usual pace
		t.pause.gap = slowestPace
		if rate := t.placements.perSecond(now); rate > 0 {
			t.pause.gap = min(seconds(1/rate), slowestPace)
		}
	}
	spread := min(seconds(resumeSpreadShare*d.Seconds()), resumeSpread)
	t.pause.until = later(t.pause.until, now.Add(d+seconds(fraction(t.hash)*spread.Seconds())))
	t.pause.pacedUntil = t.pause.until.Add(pacedTime)
	return t.pause.until, true
}

// Paused returns the number of targets that want no jobs at present.
func (p *Pool) Paused(now time.Time) (n int) {
	for _, t := range p.sorted {
		if p.status(now, t).State == avail.Paused {
			n++
		}
	}
	return n
}

// countPaced records a placement for the pace of the target.
func (t *target) countPaced(now time.Time) {
	t.placements.add(now)
	if now.Before(t.pause.pacedUntil) {
		t.pause.next = now.Add(t.pause.gap)
	}
}

// awaitsPause reports whether all targets that homes allow want no jobs now, when the first of them resumes, and how many
// jobs may wait for that; none is waited for if there is no such target.
func (p *Pool) awaitsPause(now time.Time, homes avail.Homes) (back time.Time, room int, ok bool) {
	for _, t := range p.sorted {
		f := p.facts(t)
		switch {
		case f.Canary || !f.Open() || !homes.Allow(t.Region):
			continue
		case f.Accepts(now):
			return back, 0, false
		}
		if back.IsZero() || t.pause.until.Before(back) {
			back = t.pause.until
		}
		room += max(t.freeSlots(), 0)
	}
	if back.IsZero() {
		return now.Add(noTargetRetryAfter), 0, true
	}
	return back, room, true
}

// refuseUntargeted refuses a job that no target will take in time, because all of them asked for time, or because there
// is none. waits is true if the job waits for the first one that resumes.
func (p *Pool) refuseUntargeted(now time.Time, j *Job, ahead int) (r Refusal, refused, waits bool) {
	back, room, ok := p.awaitsPause(now, j.Homes)
	switch {
	case !ok:
		return r, false, false
	case j.AnswerStarted && now.Add(deadlineMargin).Before(j.Deadline),
		ahead < room && back.Add(p.shortestLatency+deadlineMargin).Before(j.Deadline):
		return r, false, true
	}
	wait := back.Sub(now)
	return Refusal{Job: j, JobsAhead: ahead, ExpectedWait: wait, RetryAfter: max(wait, shortestRetryAfter), Untargeted: true}, true, false
}

// RetryAfterPauses returns the time after which the first target that homes allow takes jobs again; zero if one does now.
func (p *Pool) RetryAfterPauses(now time.Time, homes avail.Homes) time.Duration {
	if back, _, ok := p.awaitsPause(now, homes); ok {
		return back.Sub(now)
	}
	return 0
}
