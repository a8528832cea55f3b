package poison_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
)

// Guards against a sound request that is refused while the last target has room for it, and against one that ends the last
// target.
func TestLastTargetIsSparedFromWhatNeverPassed(t *testing.T) {
	g := NewWithT(t)
	for _, passed := range []bool{false, true} {
		d, r := poison.New(), request(shared)
		d.RecordPass(after(-1), request(shared))
		if passed {
			d.RecordPass(after(-60), r)
		}
		crashTogether(d, 0, 0, 2, early(r)...)
		refused := func(seconds float64, inUse int) bool {
			trial, ok := d.Trial(after(seconds), r)
			g.Expect(ok).To(BeTrue())
			return trial.Refused(after(seconds), inUse)
		}
		g.Expect(refused(0.1, 1)).To(BeFalse(), "another router may know of a pass")
		g.Expect(refused(1, 1)).To(Equal(!passed))
		g.Expect(refused(1, 0)).To(Equal(!passed))
		g.Expect(refused(1, 2)).To(BeFalse())
		g.Expect(refused(5.1, 1)).To(BeFalse(), "the service has no more targets")
	}
}

// Guards against a router that refuses requests which another one has answered.
func TestPassBeforeTheCrashIsToldToOthers(t *testing.T) {
	g := NewWithT(t)
	a, b, r := poison.New(), poison.New(), request()
	a.RecordPass(after(-60), r)
	g.Expect(a.Passes()).To(BeEmpty())
	for i := range 2 {
		c := poison.Crash{Target: targetID(i), At: after(0), Requests: early(r)}
		b.RecordCrash(c)
		a.MergeCrash(c)
	}
	g.Expect(a.Passes()).To(ConsistOf(poison.Pass{Feature: r[0], At: after(-60), Since: after(0)}))
	for _, p := range a.Passes() {
		b.MergePass(p.Feature, p.At)
	}
	trial, ok := b.Trial(after(1), r)
	g.Expect(ok).To(BeTrue(), "a pass before the crashes")
	g.Expect(trial.Passed).To(Equal(after(-60)))
	g.Expect(trial.Refused(after(1), 1)).To(BeFalse())
}

// Guards against a request that passed before, ends targets from some time on, and is sent for ever.
func TestRequestThatTurnsDeadlyIsBlocked(t *testing.T) {
	g := NewWithT(t)
	d, r := poison.New(), request()
	d.RecordPass(after(-60), r)
	crashTogether(d, 0, 0, 3, early(r)...)
	for i, seconds := range []float64{1, 4} {
		_, blocked := d.Match(after(seconds), r)
		g.Expect(blocked).To(BeFalse(), "%d trials", i)
		d.RecordCrash(poison.Crash{Target: targetID(3 + i), At: after(seconds), Requests: []poison.Request{{Features: r, Trial: true}}})
		d.Step(after(seconds + 0.5))
	}
	_, blocked := d.Match(after(5), r)
	g.Expect(blocked).To(BeTrue())
}

// Guards against passes of parts that are forgotten because many contents pass, and against memory that grows with them.
func TestContentsDoNotDisplaceParts(t *testing.T) {
	g := NewWithT(t)
	d, early0 := poison.New(), request()
	d.RecordPass(after(-60), early0)
	d.RecordPass(after(-60), request(shared))
	for range 40_000 {
		d.RecordPass(after(-30), request())
	}
	crash := func(features ...[]ident.Fingerprint) { crashTogether(d, 0, 0, 2, early(features...)...) }
	r := request(shared)
	crash(r, early0)
	g.Expect(onTrial(d, 1, request(shared))).To(BeFalse(), "a part that passed")
	trial, ok := d.Trial(after(1), early0)
	g.Expect(ok).To(BeTrue())
	g.Expect(trial.Passed.IsZero()).To(BeTrue(), "forgotten")
}
