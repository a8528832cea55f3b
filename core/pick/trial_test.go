package pick_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

// mixed returns a picker with two targets each of a fast and a slow class, the slow ones with a full window.
func newMixedPicker() *pick.Picker {
	p := newPicker(4)
	for i := range 4 {
		t := pick.Target{ID: targetID(i), Agent: "vm", Region: "west", Service: "s", Version: "v", Class: "fast"}
		if i >= 2 {
			t.Class = "slow"
			reportLoad(p, i, 2, withQueue)
		}
		p.Put(t0, t)
	}
	return p
}

func canaryRequest(r ident.Route) pick.Request {
	req := newRequest()
	req.Route, req.UnprovenClasses = r, []ident.Class{"fast", "slow"}
	return req
}

// Guards against a class that gets no trial requests because it is slow, so that the version is never
// proved there, and against routes that are counted together.
func TestCanaryRequestsReachAllUnprovenClasses(t *testing.T) {
	g := NewWithT(t)
	p := newMixedPicker()
	g.Expect(firstChoices(p, t0, newRequest(), 100)).To(And(Not(HaveKey(targetID(2))), Not(HaveKey(targetID(3)))))
	for _, route := range []ident.Route{"ask", "assess"} {
		slow := 0
		for range 20 {
			got := p.Pick(t0, canaryRequest(route), nil)
			g.Expect(got).To(HaveLen(2))
			if isSlow := got[0].Target >= targetID(2); isSlow {
				slow++
				g.Expect(got[1].Target >= targetID(2)).To(BeTrue())
			}
		}
		g.Expect(slow).To(Equal(10))
	}
}

// Guards against a trial request that is refused although another class could run it, and against a class
// without usable targets that takes the turn of the others.
func TestCanaryRequestsFallBackToUsableClasses(t *testing.T) {
	g := NewWithT(t)
	p := newMixedPicker()
	r := canaryRequest("ask")
	r.Tried = []ident.TargetID{targetID(2), targetID(3)}
	g.Expect(p.Pick(t0, r, nil)).To(HaveLen(2))
	for i := range 2 {
		p.RecordRefusal(t0, targetID(i), time.Minute)
		reportLoad(p, i+2, 3, func(*wire.Load) {})
	}
	g.Expect(firstChoices(p, t0, canaryRequest("ask"), 10)).To(And(Not(HaveKey(targetID(0))), Not(HaveKey(targetID(1)))))
}

// Guards against a proved class that gets more requests than its estimate warrants.
func TestProvenClassesAreNotPreferred(t *testing.T) {
	g := NewWithT(t)
	p := newMixedPicker()
	r := canaryRequest("ask")
	r.UnprovenClasses = []ident.Class{"fast"}
	g.Expect(firstChoices(p, t0, r, 20)).To(And(Not(HaveKey(targetID(2))), Not(HaveKey(targetID(3)))))
}
