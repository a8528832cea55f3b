package sched

import (
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/recent"
)

// What a target stated of itself.
//
// Load pattern: a target that the store does not hear for some seconds loses its registration and writes it again, as the
// same process, which meant what it stated to the routers meanwhile.

// statedMax is the number of removed targets whose statements are surely remembered.
const statedMax = 512

// stated is what a process of a target stated in its answers.
type stated struct {
	start prefix.Start
	pause pause
	rate  *rate
}

// rememberStated remembers what a target stated that is removed. A target that does not tell its processes apart may be
// another one when it is back.
func (p *Pool) rememberStated(t *target) {
	if t.Start.Boot != 0 && (t.rate != nil || !t.pause.until.IsZero()) {
		p.stated.Set(t.ID, stated{start: t.Start, pause: t.pause, rate: t.rate})
	}
}

// restoreStated gives a target that is added what its process stated before: to the target old that it replaces, or before
// the target was removed.
func (p *Pool) restoreStated(t, old *target) {
	s, ok := p.stated.Get(t.ID)
	if old != nil {
		s, ok = stated{start: old.Start, pause: old.pause, rate: old.rate}, true
	}
	if ok && t.Start.Boot != 0 && s.start == t.Start {
		t.pause, t.rate = s.pause, s.rate
	}
}

func newStated() recent.Map[ident.TargetID, stated] {
	return recent.NewMap[ident.TargetID, stated](statedMax)
}
