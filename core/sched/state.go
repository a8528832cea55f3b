package sched

import (
	"slices"
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
)

// facts returns what is known of a target that decides whether it takes jobs. The result is valid until the next call:
// it is asked several times for each target of a pool, and a copy each time took most of the time of Schedule.
func (p *Pool) facts(t *target) *avail.Facts {
	f := &p.known
	f.Leaving, f.Missing, f.Canary, f.FoundDown = t.draining, t.missing, t.CanaryOnly, t.foundDownByAny
	f.Evacuated = len(p.evacuated) > 0 && slices.Contains(p.evacuated, t.Centre)
	f.BackoffUntil, f.PausedUntil, f.PacedUntil = t.backoffUntil, t.pause.until, t.pause.pacedUntil
	if t.pause.next.Before(f.PacedUntil) {
		f.PacedUntil = t.pause.next
	}
	return f
}

// status returns the state of a target.
func (p *Pool) status(now time.Time, t *target) avail.Status {
	f := *p.facts(t)
	f.Silent = t.silent(now)
	if c := p.limitedState(now, t.ID); c != nil {
		f.ColdUntil, f.ColdFrom = c.end(), c.source
	}
	return f.Status(now)
}

// takes reports whether a target gets jobs now as far as its state is concerned.
func (p *Pool) takes(now time.Time, t *target) bool {
	return p.facts(t).Takes(now)
}

// serves reports whether a target gets jobs that are not chosen for a canary, at some time; missing ones do not count.
func (p *Pool) serves(t *target) bool {
	f := p.facts(t)
	return f.Open() && !f.Canary && !f.Missing
}

// Status returns the state of a target; ok is false if the pool does not have it.
func (p *Pool) Status(now time.Time, id ident.TargetID) (s avail.Status, ok bool) {
	t, ok := p.targets[id]
	if !ok {
		return s, false
	}
	return p.status(now, t), true
}
