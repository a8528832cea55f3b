package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// ratedReplay is a load on a target that states a rate beside one that does not, in virtual time.
type ratedReplay struct {
	routers int
	// lag is the interval and the delay of reports, in ms.
	lag int
	// rate is what the target states per second; perSecond is the number of jobs a second at all routers, before and
	// after a burst begins at burstAt (ms).
	rate              float64
	before, perSecond float64
	burstAt           int
	// restartAt is the time at which router 0 starts again without what it knew, in ms; zero for never.
	restartAt int
}

const (
	ratedLength  = 20_000 // ms
	ratedAnswer  = 150    // ms
	ratedGrace   = 3_000  // ms from the first statement
	ratedWindow  = 4_000  // ms
	ratedFactor  = 1.5
	ratedSlack   = 5
	ratedTarget  = ident.TargetID("t0")
	ratedTargets = 2
)

func (r ratedReplay) pool(i int) *sched.Pool {
	p := sched.New(ident.ProcessID(fmt.Sprint("r", i)), "a1", "a")
	p.SetReportInterval(time.Duration(r.lag) * time.Millisecond)
	for k := range ratedTargets {
		p.Put(sched.Target{ID: ident.TargetID(fmt.Sprint("t", k)), Centre: "a1", Region: "a", Slots: 40}, true)
	}
	return p
}

// run returns the times at which the rated target gets jobs, in ms.
func (r ratedReplay) run() (arrivals []int) {
	type event struct {
		ms int
		f  func(now time.Time)
	}
	var later []event
	pools := make([]*sched.Pool, r.routers)
	for i := range pools {
		pools[i] = r.pool(i)
	}
	due := 0.0
	for ms := 0; ms < ratedLength; ms += 5 {
		now := at(ms)
		kept := later[:0]
		for _, e := range later {
			if e.ms <= ms {
				e.f(now)
			} else {
				kept = append(kept, e)
			}
		}
		later = kept
		if r.restartAt > 0 && ms == r.restartAt {
			pools[0] = r.pool(0)
		}
		perSecond := r.perSecond
		if ms < r.burstAt {
			perSecond = r.before
		}
		for due += perSecond / 200; due >= 1; due-- {
			j := job(fmt.Sprint(ms, due), ms, 0, 0)
			j.FirstEventDue, j.Deadline = at(ms+400), at(ms+3000)
			pools[(ms/5*7+int(due))%r.routers].Add(j)
		}
		for i, p := range pools {
			if (ms+5*i)%r.lag == 0 {
				rep := p.Report(now)
				later = append(later, event{ms + r.lag/2, func(now time.Time) {
					for k, o := range pools {
						if k != i {
							o.MergeReport(now, rep)
						}
					}
				}})
			}
			placed, _ := p.Schedule(now)
			for _, d := range placed {
				if d.Target == ratedTarget {
					arrivals = append(arrivals, ms)
				}
				later = append(later, event{ms + ratedAnswer, func(now time.Time) {
					if d.Target == ratedTarget {
						p.StateRate(now, d.Target, true, r.rate)
					}
					p.Done(now, d.Target, d.Job, sched.Outcome{})
				}})
			}
		}
	}
	return arrivals
}

// most returns the largest number of arrivals in a window, from the grace time on.
func most(arrivals []int) (n int) {
	for i, begin := range arrivals {
		if begin < arrivals[0]+ratedAnswer+ratedGrace {
			continue
		}
		k := 0
		for _, ms := range arrivals[i:] {
			if ms < begin+ratedWindow {
				k++
			}
		}
		n = max(n, k)
	}
	return n
}

// Guards against routers that keep to a stated rate each for itself, whose reports are late, that save up for a burst,
// or that forget it when they start again; and against leaving unused what the target takes.
func TestRoutersKeepToAStatedRateTogether(t *testing.T) {
	for _, r := range []ratedReplay{
		{routers: 1, lag: 50, rate: 3, perSecond: 300},
		{routers: 3, lag: 50, rate: 1.2, perSecond: 300},
		{routers: 3, lag: 50, rate: 6.7, perSecond: 300, restartAt: 9_000},
		{routers: 5, lag: 50, rate: 4, before: 3, perSecond: 400, burstAt: 10_000},
		{routers: 22, lag: 75, rate: 2, perSecond: 900},
		{routers: 34, lag: 115, rate: 4, perSecond: 900, restartAt: 9_000},
		{routers: 34, lag: 340, rate: 4, before: 3, perSecond: 900, burstAt: 10_000},
		{routers: 34, lag: 115, rate: 0.5, perSecond: 900},
		{routers: 34, lag: 340, rate: 25, perSecond: 900},
	} {
		t.Run(fmt.Sprintf("%d routers %g", r.routers, r.rate), func(t *testing.T) {
			g := NewWithT(t)
			arrivals := r.run()
			g.Expect(float64(most(arrivals))).To(BeNumerically("<=", ratedFactor*r.rate*ratedWindow/1000+ratedSlack))
			if r.burstAt == 0 {
				last := 0
				for _, ms := range arrivals {
					if ms >= ratedLength/2 {
						last++
					}
				}
				g.Expect(float64(last)).To(BeNumerically(">=", 0.7*r.rate*ratedLength/2000-1), "what the target takes is used")
			}
		})
	}
}

// Guards against a rate that outlives its statement, and against an older statement that replaces a newer one.
func TestNewestStatementOfARateCounts(t *testing.T) {
	g := NewWithT(t)
	p, other := pool(1, 40), pool(1, 40)
	count := func(ms int) int {
		for i := range 10 {
			p.Add(job(fmt.Sprint(ms, "-", i), ms, 0, 0))
		}
		placed, _ := p.Schedule(at(ms))
		for _, d := range placed {
			p.Done(at(ms), d.Target, d.Job, sched.Outcome{})
		}
		return len(placed)
	}
	id := sched.Load{Target: "t0"}.Target
	g.Expect(p.StateRate(at(0), id, false, 0)).To(BeFalse())
	g.Expect(p.StateRate(at(10), id, true, 1)).To(BeTrue())
	g.Expect(p.StateRate(at(20), id, true, 1)).To(BeFalse())
	g.Expect(count(30)).To(Equal(1))
	other.StateRate(at(5), id, true, 9)
	other.StateRate(at(15), id, false, 0)
	rep := other.Report(at(40))
	rep.Router = "r9"
	p.MergeReport(at(40), rep)
	g.Expect(count(50)).To(BeZero(), "the other router's statement is older")
	g.Expect(p.StateRate(at(60), id, false, 0)).To(BeTrue())
	g.Expect(count(70)).To(BeNumerically(">", 5))
	g.Expect(p.StateRate(at(80), id, true, 1)).To(BeTrue())
	n := 0
	for ms := 2_000; ms < 3_000; ms += 50 {
		n += count(ms)
	}
	g.Expect(n).To(BeNumerically(">=", 1), "what was sent without a rate is no debt")
	g.Expect(n).To(BeNumerically("<=", 3))
}

// Guards against short answers that use up the few requests of targets that state a rate while long ones fill the slots
// of the others.
func TestLongAnswersGoToTargetsThatStateARate(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 8)
	p.EventGap("t0", sched.Outcome{Gap: 20 * time.Millisecond})
	p.EventGap("t1", sched.Outcome{Gap: 20 * time.Millisecond})
	add := func(id string, ms int, tokens ident.Tokens) {
		j := job(id, ms, 0, 0)
		j.Output, j.Stride = tokens, 1
		p.Add(j)
	}
	place := func(ms int) map[string]ident.TargetID {
		out := map[string]ident.TargetID{}
		placed, _ := p.Schedule(at(ms))
		for _, d := range placed {
			out[string(d.Job.ID)] = d.Target
		}
		return out
	}
	for i := range 10 { // both targets are more than half full
		add(fmt.Sprint("before", i), 0, 50)
	}
	g.Expect(place(0)).To(HaveLen(10))
	p.StateRate(at(0), "t0", true, 2)
	add("short", 10, 5)
	g.Expect(place(10)).To(Equal(map[string]ident.TargetID{"short": "t1"}))
	add("long", 20, 100)
	g.Expect(place(20)).To(Equal(map[string]ident.TargetID{"long": "t0"}))
	add("long, no room", 30, 100)
	g.Expect(place(30)).To(BeEmpty(), "it waits for t0 although t1 has a slot")
	g.Expect(place(600)).To(HaveLen(1))
}
