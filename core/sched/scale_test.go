package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// largePool returns the pool of one of many routers with many targets, and a function that merges a report of the
// n-th other router at the given time.
func largePool(routers, targets int) (*sched.Pool, func(n int, now time.Time)) {
	p := sched.New("r0", "a1", "a")
	for i := range targets {
		p.Put(sched.Target{ID: ident.TargetID(fmt.Sprintf("t%d", i)), Centre: "a1", Region: "a", Slots: 12}, true)
	}
	p.SetReportInterval(time.Duration(routers) * 10 * time.Millisecond)
	return p, func(n int, now time.Time) {
		n %= routers
		r := sched.Report{Router: ident.ProcessID(fmt.Sprintf("r%d", n+1)), Region: "a", Demand: 40}
		for i := range 40 {
			r.Loads = append(r.Loads, sched.Load{Target: ident.TargetID(fmt.Sprintf("t%d", (n*37+i*71)%targets)), Running: 1})
		}
		p.MergeReport(now, r)
	}
}

// Load pattern: the start of 300 routers in front of 3,000 targets, whose first reports arrive within 3 s. Guards
// against a division of the slots that takes longer than the reports take to arrive.
func TestHundredsOfRoutersDivideSlotsInTime(t *testing.T) {
	g := NewWithT(t)
	_, merge := largePool(300, 3000)
	startedAt := time.Now()
	for i := range 300 {
		merge(i, start.Add(time.Duration(i)*10*time.Millisecond))
	}
	g.Expect(time.Since(startedAt)).To(BeNumerically("<", 3*time.Second))
}

func BenchmarkMerge(b *testing.B) {
	for _, size := range [][2]int{{23, 43}, {100, 1000}, {300, 3000}} {
		b.Run(fmt.Sprintf("routers%d-targets%d", size[0], size[1]), func(b *testing.B) {
			p, merge := largePool(size[0], size[1])
			for i := 0; b.Loop(); i++ {
				merge(i, start.Add(time.Duration(i)*10*time.Millisecond))
			}
			_ = p
		})
	}
}

func BenchmarkSchedule(b *testing.B) {
	for _, size := range [][2]int{{23, 43}, {100, 1000}, {300, 3000}} {
		b.Run(fmt.Sprintf("routers%d-targets%d", size[0], size[1]), func(b *testing.B) {
			p, merge := largePool(size[0], size[1])
			for i := range size[0] {
				merge(i, start)
			}
			for i := 0; b.Loop(); i++ {
				j := job(fmt.Sprint(i), i, 1, 0)
				p.Add(j)
				placed, _ := p.Schedule(at(i))
				for _, d := range placed {
					p.FirstEvent(at(i+1), d.Target, j)
					p.Done(at(i+2), d.Target, j, sched.Outcome{})
				}
			}
		})
	}
}

// The load of a router under overload: 500 jobs of three classes wait at 46 targets with hardly a free slot.
func BenchmarkDecisionUnderOverload(b *testing.B) {
	const waiting = 500
	p, merge := largePool(22, 46)
	for i := range 22 {
		merge(i, start)
	}
	add := func(i int) {
		j := job(fmt.Sprint(i), i/50, 1, ident.Tier(i%3))
		j.FirstEventDue, j.Deadline = j.Arrived.Add(time.Hour), j.Arrived.Add(time.Hour)
		j.Stream, j.Prompt, j.Output, j.Stride, j.GapGoal = true, ident.Tokens(100+i%5000), 40, 1, 250*time.Millisecond
		p.Add(j)
	}
	for i := range waiting {
		add(i)
	}
	for i := waiting; b.Loop(); i++ {
		add(i)
		now := at(i / 50)
		placed, refused := p.Schedule(now)
		for _, d := range placed {
			p.FirstEvent(now, d.Target, d.Job)
			p.Done(now, d.Target, d.Job, sched.Outcome{Gap: 20 * time.Millisecond})
		}
		for n := len(placed) + len(refused); n > 1; n-- {
			add(i)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/waiting, "ns/waiting")
}
