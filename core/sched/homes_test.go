package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// homesPool returns a pool with a slow target in region a and fast ones, among them a canary target, in region b.
func homesPool() *sched.Pool {
	p := sched.New("r0", "b1", "b")
	p.Put(sched.Target{ID: "a-slow", Centre: "a1", Region: "a", Slots: 1}, true)
	p.Put(sched.Target{ID: "b-fast", Centre: "b1", Region: "b", Slots: 8}, true)
	p.Put(sched.Target{ID: "b-canary", Centre: "b1", Region: "b", Slots: 8, CanaryOnly: true}, true)
	p.EventGap("a-slow", sched.Outcome{Gap: 90 * time.Millisecond})
	p.EventGap("b-fast", sched.Outcome{Gap: 10 * time.Millisecond})
	return p
}

// Guards against a request that leaves its home regions on one of the paths to a target: first placement, retry after
// the home target failed, rest of a stream, second attempt while the first one stalls, and canary.
func TestNoPathLeavesTheHomeRegions(t *testing.T) {
	only := func(r ident.Region) avail.Homes { return avail.HomesOf([]ident.Region{r}, nil) }
	for name, change := range map[string]func(*sched.Job){
		"first":     func(*sched.Job) {},
		"retry":     func(j *sched.Job) { j.Avoid = []ident.TargetID{"a-slow"} },
		"rest":      func(j *sched.Job) { j.AnswerStarted = true },
		"canary":    func(j *sched.Job) { j.Canary = true },
		"preferred": func(j *sched.Job) { j.Canary, j.Prefer = true, []ident.TargetID{"b-canary"} },
		"generates": func(j *sched.Job) { j.Output, j.Stride, j.Stream = 50, 1, true },
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p := homesPool()
			j, second := job("j", 0, 0, 0), job("second", 0, 0, 0)
			change(j)
			j.Homes, second.Homes = only("a"), only("a")
			p.Add(j)
			placed, refused := p.Schedule(at(0))
			g.Expect(refused).To(BeEmpty())
			g.Expect(placed).To(HaveLen(1), "a slow target at home is used although faster ones are elsewhere")
			g.Expect(placed[0].Target).To(BeEquivalentTo("a-slow"))
			_, ok := p.PlaceElsewhere(at(10), j, "a-slow")
			g.Expect(ok).To(BeFalse(), "a second attempt stays at home")
			p.Add(second) // its home is full while other regions have room
			for n := 10; n <= 13000; n += 10 {
				placed, refused = p.Schedule(at(n))
				g.Expect(placed).To(BeEmpty())
				if len(refused) > 0 {
					break
				}
			}
			g.Expect(refused).To(HaveLen(1), "it is refused in the end")
		})
	}
}

// Guards against lists that do not restrict each other, and against a request without any allowed region that is served
// anywhere or waits for what cannot come.
func TestHomesOfRouteAndAccountBothApply(t *testing.T) {
	g := NewWithT(t)
	a, b, none := []ident.Region{"a"}, []ident.Region{"b"}, []ident.Region(nil)
	for _, x := range []struct {
		route, account []ident.Region
		a, b           bool
	}{{none, none, true, true}, {a, none, true, false}, {none, b, false, true}, {a, []ident.Region{"b", "a"}, true, false}, {a, b, false, false}} {
		h := avail.HomesOf(x.route, x.account)
		g.Expect([]bool{h.Allow("a"), h.Allow("b")}).To(Equal([]bool{x.a, x.b}), "%v %v", x.route, x.account)
	}
	p := homesPool()
	j := job("j", 0, 0, 0)
	j.Homes = avail.HomesOf(a, b)
	p.Add(j)
	placed, refused := p.Schedule(at(0))
	g.Expect(placed).To(BeEmpty())
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].RetryAfter).To(BeNumerically(">", 0))
}
