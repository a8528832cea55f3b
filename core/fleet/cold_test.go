package fleet_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// Guards against a registration that counts down and makes its target cold again each time, and against one that becomes
// cold again, or appears again, without being noticed.
func TestRegistrationTellsWhenItsTargetBecomesCold(t *testing.T) {
	g := NewWithT(t)
	f := fleet.New()
	put := func(boot ident.Boot, cold time.Duration) (events int, isCold bool) {
		l := f.Put(fleet.Target{ID: "t", Slots: 1, Boot: boot, ColdRemaining: cold})
		return len(l), len(l) == 1 && l[0].Cold && l[0].Target.ColdRemaining == cold
	}
	for i, x := range []struct {
		boot            ident.Boot
		cold            time.Duration
		events, becomes bool
	}{
		{1, 3 * time.Second, true, true},
		{1, 2 * time.Second, false, false},
		{1, 0, false, false},
		{1, 3 * time.Second, true, true}, // cold again in the same process
		{1, time.Second, false, false},
		{1, 2 * time.Second, true, true},
		{2, 0, true, true}, // another process, which states nothing
	} {
		events, isCold := put(x.boot, x.cold)
		g.Expect([]bool{events > 0, isCold}).To(Equal([]bool{x.events, x.becomes}), "registration %d", i)
	}
	now := time.Unix(1000, 0)
	g.Expect(f.Remove(now, "t")).To(HaveLen(1))
	_, isCold := put(2, 0)
	g.Expect(isCold).To(BeTrue(), "it appears again")
}
