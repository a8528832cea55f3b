package sched_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// suspectPool returns a pool with one target that may be cold.
func suspectPool(self string) *sched.Pool {
	p := sched.New(ident.ProcessID(self), "a1", "a")
	p.SetColdLimits(coldLimits)
	p.SetRouters([]ident.ProcessID{"r1", "r2"}, true)
	p.Put(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 200}, true)
	return p
}

// Guards against targets that are kept cold by all routers for a fault of one path or connection although their process
// goes on, and against one that is not although it restarted.
func TestRestartIsSupposedOnlyWhereItCanBe(t *testing.T) {
	lost := sched.Outcome{Failed: true, Lost: true}
	cut := sched.Outcome{Unreachable: true}
	refused := sched.Outcome{Unreachable: true, Refused: true}
	for name, x := range map[string]struct {
		outcome sched.Outcome
		// older is true if a request that was sent before is answered 200 ms after the outcome, accepted if the target
		// accepts a connection 10 ms after it; younger is true if a later request is answered.
		older, accepted, younger bool
		// own and others tell whether this router and the others keep the target cold 2.5 s after the outcome.
		own, others bool
	}{
		"lost":               {outcome: lost, own: true},
		"lost and back":      {outcome: lost, younger: true, own: true, others: true},
		"lost and alive":     {outcome: lost, older: true},
		"lost and accepted":  {outcome: lost, accepted: true, younger: true},
		"cut off":            {outcome: cut, own: true},
		"cut off and back":   {outcome: cut, younger: true, own: true},
		"refused":            {outcome: refused, own: true, others: true},
		"refused and back":   {outcome: refused, younger: true, own: true, others: true},
		"refused and alive":  {outcome: refused, older: true},
		"failed by its own":  {outcome: sched.Outcome{Failed: true}},
		"refused a request":  {outcome: sched.Outcome{Full: true}},
		"answered as always": {outcome: sched.Outcome{Complete: true}},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			p, other := suspectPool("r0"), suspectPool("r1")
			place := func(id string, ms int) *sched.Job {
				j := job(id, ms, 0, 0)
				p.Add(j)
				placed, _ := p.Schedule(at(ms))
				g.Expect(placed).To(HaveLen(1))
				return j
			}
			before, j := place("before", 0), place("j", 10)
			p.Done(at(1000), "t0", j, x.outcome)
			if x.accepted {
				p.Accepted(at(1010), "t0")
			}
			if x.older {
				p.FirstEvent(at(1200), "t0", before)
			}
			if x.younger {
				var later *sched.Job
				for ms := 2000; later == nil; ms += 10 {
					k := job("later", ms, 0, 0)
					p.Add(k)
					if placed, _ := p.Schedule(at(ms)); len(placed) > 0 {
						later = k
					}
					p.Remove(k)
				}
				p.FirstEvent(at(2300), "t0", later)
			}
			rep := p.Report(at(3400))
			rep.Router = "r0"
			other.MergeReport(at(3400), rep)
			isCold := func(p *sched.Pool) bool {
				for i := range 30 {
					p.Add(job(fmt.Sprint("n", i), 3500, 0, 0))
				}
				placed, _ := p.Schedule(at(3500))
				return len(placed) < 10
			}
			g.Expect([]bool{isCold(p), isCold(other)}).To(Equal([]bool{x.own, x.others}))
			g.Expect(p.Report(at(60_000)).Cold).To(BeEmpty(), "nothing is told for ever")
		})
	}
}
