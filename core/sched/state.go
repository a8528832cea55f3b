package sched

import (
	"slices"
	"time"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
)

// facts returns what is known of a target that decides whether it takes jobs.
func (p *Pool) facts(t *target) avail.Facts {
	f := avail.Facts{
		Leaving: t.draining, Evacuated: slices.Contains(p.evacuated, t.Centre), Missing: t.missing, Canary: t.CanaryOnly,
		FoundDown: t.foundDownByAny, BackoffUntil: t.backoffUntil, PausedUntil: t.pause.until, PacedUntil: t.pause.pacedUntil,
	}
	if t.pause.next.Before(f.PacedUntil) {
		f.PacedUntil = t.pause.next
	}
	return f
}

// status returns the state of a target.
func (p *Pool) status(now time.Time, t *target) avail.Status {
	f := p.facts(t)
	f.Silent = t.silent(now)
	if c := p.limitedState(now, t.ID); c != nil {
		f.ColdUntil, f.ColdFrom = c.end(), c.source
	}
	return f.Status(now)
}

// takes reports whether a target gets jobs now as far as its state is concerned.
func (p *Pool) takes(now time.Time, t *target) bool {
	f := p.facts(t)
	return f.Takes(now)
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
