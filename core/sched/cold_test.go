package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

var coldLimits = sched.ColdLimits{Time: 3 * time.Second, Rate: 15, Overage: 1.5, Slack: 5}

// coldReplay is a heavy load on targets of two data centres, of which one goes down at coldDown and comes back at
// coldBack with all its targets, in virtual time.
type coldReplay struct {
	routers int
	// lag is the interval and the delay of reports, in ms. parts is the number of groups of routers that receive nothing
	// from each other.
	lag, parts int
	// away is the time for which the targets are down; they end without a new registration if silent is true.
	away   int
	silent bool
	// restartAt is the time at which half of the routers start again without what they knew; zero for never.
	restartAt int
}

const (
	coldDown, coldEnd = 2_000, 14_000 // ms
	coldSetSize       = 4             // targets in each data centre
	coldDemand        = 900           // jobs a second at all routers
)

// run returns the times at which the targets that came back got jobs, and the longest wait of a job.
func (r coldReplay) run() (arrivals map[ident.TargetID][]int, longestWait time.Duration) {
	rnd := rand.New(rand.NewPCG(26, uint64(r.routers)))
	arrivals = map[ident.TargetID][]int{}
	back := coldDown + r.away
	pools, names := make([]*sched.Pool, r.routers), make([]ident.ProcessID, r.routers)
	for i := range names {
		names[i] = ident.ProcessID(fmt.Sprint("r", i))
	}
	target := func(c string, k int) sched.Target {
		return sched.Target{ID: ident.TargetID(fmt.Sprint(c, k)), Centre: ident.DataCentre(c), Region: "a", Slots: 90}
	}
	newPool := func(i int) *sched.Pool {
		p := sched.New(names[i], "x", "a")
		p.SetReportInterval(time.Duration(r.lag) * time.Millisecond)
		p.SetColdLimits(coldLimits)
		p.SetRouters(slices.Concat(names[:i], names[i+1:]), true)
		for k := range coldSetSize {
			p.Put(target("x", k), true)
			p.Put(target("y", k), true)
		}
		return p
	}
	type event struct {
		ms int
		f  func(now time.Time)
	}
	var later []event
	registeredAt := make([]int, r.routers) // a registration is up to a second old
	for i := range pools {
		pools[i], registeredAt[i] = newPool(i), (back+rnd.IntN(1000))/5*5
	}
	due := 0.0
	for ms := 0; ms < coldEnd; ms += 5 {
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
		for i := range pools {
			if r.restartAt > 0 && ms == r.restartAt && i%2 == 0 {
				pools[i] = newPool(i)
				for k := range coldSetSize { // the registrations tell
					pools[i].MarkCold(now, target("x", k).ID, time.Duration(back+3000-ms)*time.Millisecond, avail.FromRegistration)
				}
			}
			if !r.silent && ms == registeredAt[i] {
				for k := range coldSetSize {
					pools[i].Put(target("x", k), true)
					pools[i].MarkCold(now, target("x", k).ID, coldLimits.Time, avail.FromRegistration)
				}
			}
		}
		for due += coldDemand / 200.0; due >= 1; due-- {
			j := job(fmt.Sprint(ms, due), ms, 0, 0)
			j.FirstEventDue, j.Deadline = at(ms+400), at(ms+3000)
			pools[rnd.IntN(r.routers)].Add(j)
		}
		for i, p := range pools {
			if (ms+5*i)%r.lag == 0 {
				rep := p.Report(now)
				later = append(later, event{ms + r.lag/2, func(now time.Time) {
					for k, o := range pools {
						if k != i && k%r.parts == i%r.parts {
							o.MergeReport(now, rep)
						}
					}
				}})
			}
			placed, _ := p.Schedule(now)
			for _, d := range placed {
				longestWait = max(longestWait, now.Sub(d.Job.Arrived))
				failed := d.Target[0] == 'x' && ms >= coldDown && ms < back
				if d.Target[0] == 'x' && ms >= back {
					arrivals[d.Target] = append(arrivals[d.Target], ms)
				}
				end := event{ms + 30 + rnd.IntN(200), func(now time.Time) {
					p.FirstEvent(now, d.Target, d.Job)
					p.Done(now, d.Target, d.Job, sched.Outcome{Complete: true})
				}}
				switch {
				case failed:
					end = event{ms, func(now time.Time) {
						p.Done(now, d.Target, d.Job, sched.Outcome{Unreachable: true, Refused: true})
					}}
				case d.Target[0] == 'x' && ms < coldDown && end.ms >= coldDown:
					end = event{coldDown, func(now time.Time) {
						p.Done(now, d.Target, d.Job, sched.Outcome{Failed: true, Lost: true})
					}}
				}
				later = append(later, end)
			}
		}
	}
	return arrivals, longestWait
}

// Guards against routers that together send a cold target more than it takes in some second, each within its own view:
// a data centre that comes back together, with registrations a second old or none, routers that do not hear each other
// or start again; and against a warm-up that keeps requests waiting or that never ends.
func TestColdTargetsGetNoMoreThanTheyTakeInAnySecond(t *testing.T) {
	for _, r := range []coldReplay{
		{routers: 1, lag: 50, parts: 1, away: 3000},
		{routers: 3, lag: 50, parts: 3, away: 3000},
		{routers: 22, lag: 75, parts: 1, away: 3000},
		{routers: 22, lag: 75, parts: 22, away: 3000},
		{routers: 36, lag: 115, parts: 2, away: 2000},
		{routers: 36, lag: 340, parts: 36, away: 2000, restartAt: 5_000},
		{routers: 22, lag: 75, parts: 2, away: 400, silent: true},
		{routers: 36, lag: 340, parts: 1, away: 1500, silent: true},
	} {
		t.Run(fmt.Sprintf("%+v", r), func(t *testing.T) {
			g := NewWithT(t)
			arrivals, wait := r.run()
			g.Expect(arrivals).To(HaveLen(coldSetSize), "all are used")
			back, cold, warm, late := coldDown+r.away, 0, 0, 0
			for id, l := range arrivals {
				for i, begin := range l {
					n := 0
					for _, ms := range l[i:] {
						if ms < begin+1000 {
							n++
						}
					}
					if begin+1000 <= back+3000 {
						g.Expect(float64(n)).To(BeNumerically("<=", 1.5*15+5), "%s from %d ms", id, begin)
					}
					switch {
					case begin < back+3000:
						cold++
					case begin >= back+5000 && begin < back+6500:
						warm++
					case begin >= 12_000:
						late++
					}
				}
				g.Expect(len(l)).To(BeNumerically(">", 200), "%s is used once it is warm", id)
			}
			g.Expect(late).To(BeNumerically(">", coldSetSize*80), "they are warm in the end")
			g.Expect(warm).To(BeNumerically(">", coldSetSize*60), "routers do not keep them cold for each other")
			if !r.silent {
				g.Expect(cold).To(BeNumerically(">", coldSetSize*15), "cold targets get some of what they take")
			}
			g.Expect(wait).To(BeNumerically("<", 200*time.Millisecond), "the other targets take the load")
		})
	}
}
