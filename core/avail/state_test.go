package avail_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/avail"
)

// Guards against a state that hides one with a stronger effect, and against queries that contradict the state.
func TestStrongestStateOfATargetCounts(t *testing.T) {
	g := NewWithT(t)
	now, later := at(0), at(1000)
	apply := []struct {
		state avail.State
		set   func(*avail.Facts)
		takes bool
	}{
		{avail.Ready, func(*avail.Facts) {}, true},
		{avail.Cold, func(f *avail.Facts) { f.ColdUntil, f.ColdFrom = later, avail.FromPeer }, true},
		{avail.Canary, func(f *avail.Facts) { f.Canary = true }, true},
		{avail.Missing, func(f *avail.Facts) { f.Missing = true }, true},
		{avail.Silent, func(f *avail.Facts) { f.Silent = true }, true},
		{avail.Down, func(f *avail.Facts) { f.FoundDown, f.BackoffUntil = true, later }, false},
		{avail.Paused, func(f *avail.Facts) { f.PausedUntil = later }, false},
		{avail.Evacuated, func(f *avail.Facts) { f.Evacuated = true }, false},
		{avail.Leaving, func(f *avail.Facts) { f.Leaving = true }, false},
	}
	g.Expect(apply).To(HaveLen(len(avail.States())))
	for i, strong := range apply {
		for _, weak := range apply[:i+1] {
			var f avail.Facts
			weak.set(&f)
			strong.set(&f)
			s := f.Status(now)
			g.Expect(s.State).To(Equal(strong.state), "%v and %v", weak.state, strong.state)
			g.Expect(f.Takes(now)).To(Equal(strong.takes && weak.takes))
			g.Expect(s.Source != "").To(Equal(s.State != avail.Ready), "%v has a source", s.State)
			g.Expect(s.State.End() != "").To(Equal(s.State != avail.Ready), "%v ends", s.State)
		}
	}
	f := avail.Facts{PausedUntil: later, ColdUntil: at(2000)}
	g.Expect(f.Status(now).Until).To(Equal(later))
	g.Expect(f.Status(later).State).To(Equal(avail.Cold), "a state ends with its time")
	g.Expect(f.Status(at(2000)).State).To(Equal(avail.Ready))
	paced := avail.Facts{PacedUntil: later}
	g.Expect([]bool{paced.Takes(now), paced.Accepts(now), paced.Takes(later.Add(time.Millisecond))}).To(Equal([]bool{false, true, true}))
}
