package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// Load pattern: twice the capacity for 20 s, questions with long answers in route tier 1, and twice as many photos
// with short answers in route tier 2. Guards against a class that is hardly served although it needs few slots,
// and against a class above it that loses its precedence.
func TestShortAnswersOfALowerRouteTierAreServed(t *testing.T) {
	g := NewWithT(t)
	p := pool(5, 10)
	type ending struct {
		at  int
		job *sched.Job
		t   ident.TargetID
	}
	var running []ending
	added, served := map[ident.Tier]int{}, map[ident.Tier]int{}
	add := func(ms int, routeTier ident.Tier, output ident.Tokens) {
		j := job(fmt.Sprint(routeTier, "-", ms), ms, 1, routeTier)
		j.Output, j.Stride = output, 6
		added[routeTier]++
		p.Add(j)
	}
	for ms := 0; ms < 20_000; ms += 5 {
		if ms%20 == 0 {
			add(ms, 1, 300) // 50 a second of 1.6 s each, which alone would take more than all slots
		}
		if ms%10 == 0 {
			add(ms, 2, 20) // 100 a second of 0.15 s each
		}
		kept := running[:0]
		for _, r := range running {
			if r.at > ms {
				kept = append(kept, r)
				continue
			}
			p.Done(at(ms), r.t, r.job, sched.Outcome{Gap: 30 * time.Millisecond})
		}
		running = kept
		placed, _ := p.Schedule(at(ms))
		for _, d := range placed {
			served[d.Job.RouteTier]++
			p.FirstEvent(at(ms), d.Target, d.Job)
			duration := 150
			if d.Job.RouteTier == 1 {
				duration = 1600
			}
			running = append(running, ending{ms + duration, d.Job, d.Target})
		}
	}
	share := func(r ident.Tier) float64 { return float64(served[r]) / float64(added[r]) }
	message := fmt.Sprintf("served %v of %v", served, added)
	t.Log(message)
	g.Expect(share(2)).To(BeNumerically(">=", 0.5*share(1)), message)
	g.Expect(share(1)).To(BeNumerically(">", share(2)), message)
}
