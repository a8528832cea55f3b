package sched_test

import (
	"cmp"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prop"
	"hickoryvane.example/core/sched"
)

// TestMain runs fewer cases than usual, as each replays eight seconds of 22 routers.
func TestMain(m *testing.M) { os.Exit(prop.Run(m, "rapid.checks=60")) }

// memoryReplay is a load on targets with little memory, in virtual time.
type memoryReplay struct {
	routers, targets int
	memory           ident.Tokens
	// interval is the time between the reports of a router, and delay their age on arrival, in ms.
	interval, delay int
	// next returns the number of jobs that arrive at a router in a step, size and duration those of one job, and lost
	// whether a report is lost.
	next, size, duration func() int
	lost                 func() bool
}

const memoryStep = 50 // ms

// run returns the most memory that was taken at a target, the number of placed jobs and that of refused ones.
func (r memoryReplay) run(length int) (peak ident.Tokens, placed, refused int) {
	type event struct {
		ms int
		f  func()
	}
	var later []event
	var all []ident.ProcessID
	pools := make([]*sched.Pool, r.routers)
	for i := range pools {
		all = append(all, ident.ProcessID(fmt.Sprint("r", i)))
	}
	for i := range pools {
		pools[i] = sched.New(all[i], "a1", "a")
		pools[i].SetSharers(all)
		pools[i].SetReportInterval(time.Duration(r.interval) * time.Millisecond)
		for k := range r.targets {
			pools[i].Put(sched.Target{ID: ident.TargetID(fmt.Sprint("t", k)), Centre: "a1", Region: "a", Slots: 12, Memory: r.memory, MemoryLimited: true}, true)
		}
	}
	held := map[ident.TargetID]ident.Tokens{}
	for ms := 0; ms < length; ms += memoryStep {
		slices.SortStableFunc(later, func(a, b event) int { return cmp.Compare(a.ms, b.ms) })
		for len(later) > 0 && later[0].ms <= ms {
			f := later[0].f
			later = later[1:]
			f()
		}
		for i, p := range pools {
			for range r.next() {
				j := job(fmt.Sprint(i, ms), ms, 0, 0)
				n := r.size()
				j.Prompt, j.Output = ident.Tokens(n-n/10), ident.Tokens(n/10)
				p.Add(j)
			}
			out, gone := p.Schedule(at(ms))
			refused += len(gone)
			for _, d := range out {
				placed++
				n := d.Job.Prompt + d.Job.Output
				held[d.Target] += n
				peak = max(peak, held[d.Target])
				end := ms + r.duration()
				later = append(later, event{end, func() {
					held[d.Target] -= n
					p.FirstEvent(at(end), d.Target, d.Job)
					p.Done(at(end), d.Target, d.Job, sched.Outcome{})
				}})
			}
			if rep := p.Report(at(ms)); (ms/memoryStep+i)%(r.interval/memoryStep) == 0 && !r.lost() {
				arrival := ms + r.delay
				later = append(later, event{arrival, func() {
					for k, o := range pools {
						if k != i {
							o.MergeReport(at(arrival), rep)
						}
					}
				}})
			}
		}
	}
	return peak, placed, refused
}

// Load pattern: 22 routers whose reports are 2 s old, bursts of prompts of any length at all of them, and lost reports.
// Guards against routers that fill the memory of a target together because each sees only what the others held before.
func TestTargetsNeverHoldMoreThanTheirMemory(t *testing.T) {
	total := 0
	rapid.Check(t, func(t *rapid.T) {
		memory := rapid.IntRange(20_000, 762_000).Draw(t, "memory")
		rnd := rapid.Uint64().Draw(t, "seed")
		draw := func(n int) int {
			rnd = rnd*6364136223846793005 + 1442695040888963407
			return int(rnd>>33) % n
		}
		sizeMax := rapid.IntRange(100, memory).Draw(t, "size")
		busy, loss := rapid.IntRange(1, 10).Draw(t, "busy"), rapid.IntRange(0, 60).Draw(t, "loss")
		r := memoryReplay{
			routers: 22, targets: rapid.IntRange(1, 4).Draw(t, "targets"), memory: ident.Tokens(memory), interval: 250, delay: 2000,
			next:     func() int { return max(draw(20)-20+busy, 0) },
			size:     func() int { return 1 + draw(1+draw(sizeMax)) },
			duration: func() int { return 50 + draw(4000) },
			lost:     func() bool { return draw(100) < loss },
		}
		peak, placed, _ := r.run(8000)
		total += placed
		if peak > r.memory {
			t.Fatalf("a target with memory for %d tokens held %d", r.memory, peak)
		}
	})
	if total == 0 {
		t.Fatal("no job was placed")
	}
}

// Load pattern: the kinds of requests of the auction deployment at nine tenths of the slots, with reports of 200 ms.
// Guards against rights to memory that keep jobs from free slots.
func TestRightsToMemoryLeaveRoomForTheUsualLoad(t *testing.T) {
	g := NewWithT(t)
	seed := uint64(1)
	draw := func(n int) int {
		seed = seed*6364136223846793005 + 1442695040888963407
		return int(seed>>33) % n
	}
	r := memoryReplay{
		routers: 22, targets: 41, memory: 182_000, interval: 200, delay: 10,
		// 41 targets with 12 slots run 492 jobs of 1.5 s; 22 routers get 0.67 jobs each 50 ms.
		next: func() int { return min(draw(3), 1) },
		size: func() int {
			switch draw(3) {
			case 0:
				return 1000 + draw(1+draw(24_000)) // reports
			case 1:
				return 900
			}
			return 1830
		},
		duration: func() int { return 1000 + draw(1000) }, lost: func() bool { return false },
	}
	peak, placed, refused := r.run(12_000)
	t.Logf("peak %d, placed %d, refused %d", peak, placed, refused)
	g.Expect(peak).To(BeNumerically("<=", 182_000))
	g.Expect(float64(refused)).To(BeNumerically("<", 0.01*float64(placed)))
}

// Guards against a job that no router has a right to place and that waits although a target is idle, and against one
// that shares a target when it needs more than nine tenths of the memory.
func TestJobBeyondTheUsableMemoryRunsAlone(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r1", "a1", "a")
	p.Put(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 4, Memory: 1000, MemoryLimited: true}, true)
	long, short := job("long", 0, 0, 0), job("short", 0, 0, 0)
	long.Prompt, short.Prompt = 950, 10
	p.Add(short)
	placed, _ := p.Schedule(at(0))
	g.Expect(ids(placed)).To(Equal([]string{"short"}))
	p.Add(long)
	placed, _ = p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty())
	p.Done(at(2), "t0", short, sched.Outcome{})
	placed, _ = p.Schedule(at(2))
	g.Expect(ids(placed)).To(Equal([]string{"long"}))
}

// Guards against the memory of a silent router that is used by others before its report expires, or never.
func TestSilentRouterIsChargedUntilItsReportExpires(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r1", "a1", "a")
	p.Put(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 4, Memory: 1000, MemoryLimited: true}, true)
	p.MergeReport(at(0), sched.Report{Router: "r2", Region: "a", Loads: []sched.Load{{Target: "t0", Running: 1, Held: 880}}})
	p.SetSharers(nil)
	j := job("x", 0, 0, 0)
	j.FirstEventDue, j.Prompt = at(4000), 100
	p.Add(j)
	placed, _ := p.Schedule(at(1900))
	g.Expect(placed).To(BeEmpty())
	p.ExpireReports(at(2000))
	placed, _ = p.Schedule(at(2001))
	g.Expect(placed).To(HaveLen(1))
}

// Load pattern: more requests than slots, of which other routers wait for the free ones. Guards against long prompts of
// a high tier that are refused because this router has a right to enough memory at few targets and no slots there.
func TestLongJobTakesAFreeSlotWhereThereIsMemory(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r1", "a1", "a")
	p.Put(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 4, Memory: 1000, MemoryLimited: true}, true)
	p.MergeReport(at(0), sched.Report{Router: "r2", Region: "a", Demand: 100, Waiting: 50, Loads: []sched.Load{{Target: "t0", Running: 3, Held: 300}}})
	short, long := job("short", 0, 0, 0), job("long", 1, 0, 0)
	short.Prompt, long.Prompt = 10, 200
	p.Add(short)
	placed, _ := p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty(), "the slot is for the other router")
	p.Add(long)
	placed, _ = p.Schedule(at(2))
	g.Expect(ids(placed)).To(Equal([]string{"long"}))
}
