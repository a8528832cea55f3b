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
func mixed() *pick.Picker {
	p := picker(4)
	for i := range 4 {
		t := pick.Target{ID: id(i), Agent: "vm", Region: "west", Service: "s", Version: "v", Class: "fast"}
		if i >= 2 {
			t.Class = "slow"
			load(p, i, 2, waiting)
		}
		p.Put(t0, t)
	}
	return p
}

func trialOf(r ident.Route) pick.Request {
	req := request()
	req.Route, req.Unproved = r, []ident.Class{"fast", "slow"}
	return req
}

// Guards against a class that gets no trial requests because it is slow, so that the version is never
// proved there, and against routes that are counted together.
func TestTrialRequestsReachAllClasses(t *testing.T) {
	g := NewWithT(t)
	p := mixed()
	g.Expect(shares(p, t0, request(), 100)).To(And(Not(HaveKey(id(2))), Not(HaveKey(id(3)))))
	for _, route := range []ident.Route{"ask", "assess"} {
		slow := 0
		for range 20 {
			got := p.Pick(t0, trialOf(route), nil)
			g.Expect(got).To(HaveLen(2))
			if isSlow := got[0].Target >= id(2); isSlow {
				slow++
				g.Expect(got[1].Target >= id(2)).To(BeTrue())
			}
		}
		g.Expect(slow).To(Equal(10))
	}
}

// Guards against a trial request that is refused although another class could run it, and against a class
// without usable targets that takes the turn of the others.
func TestTrialRequestsUseWhatIsLeft(t *testing.T) {
	g := NewWithT(t)
	p := mixed()
	r := trialOf("ask")
	r.Tried = []ident.TargetID{id(2), id(3)}
	g.Expect(p.Pick(t0, r, nil)).To(HaveLen(2))
	for i := range 2 {
		p.Refused(t0, id(i), time.Minute)
		load(p, i+2, 3, func(*wire.Load) {})
	}
	g.Expect(shares(p, t0, trialOf("ask"), 10)).To(And(Not(HaveKey(id(0))), Not(HaveKey(id(1)))))
}

// Guards against a proved class that gets more requests than its estimate warrants.
func TestProvedClassesAreNotPreferred(t *testing.T) {
	g := NewWithT(t)
	p := mixed()
	r := trialOf("ask")
	r.Unproved = []ident.Class{"fast"}
	g.Expect(shares(p, t0, r, 20)).To(And(Not(HaveKey(id(2))), Not(HaveKey(id(3)))))
}
