package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// Load pattern: twice the capacity for 20 s, questions with long answers and twice as many photos with short ones,
// below them. Guards against a class that gets hardly anything although it needs few slots, and against a class
// above that loses its precedence.
func TestShortAnswersOfALowerRouteTierAreServed(t *testing.T) {
	g := NewWithT(t)
	p := pool(5, 10)
	type ending struct {
		at  int
		job *sched.Job
		t   ident.TargetID
	}
	var running []ending
	asked, served := map[ident.Tier]int{}, map[ident.Tier]int{}
	ask := func(ms int, rank ident.Tier, output ident.Tokens) {
		j := job(fmt.Sprint(rank, "-", ms), ms, 1, rank)
		j.Output, j.Stride = output, 6
		asked[rank]++
		p.Add(j)
	}
	for ms := 0; ms < 20_000; ms += 5 {
		if ms%20 == 0 {
			ask(ms, 1, 300) // 50 a second of 1.6 s each, which alone would take more than all slots
		}
		if ms%10 == 0 {
			ask(ms, 2, 20) // 100 a second of 0.15 s each
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
			long := 150
			if d.Job.RouteTier == 1 {
				long = 1600
			}
			running = append(running, ending{ms + long, d.Job, d.Target})
		}
	}
	share := func(r ident.Tier) float64 { return float64(served[r]) / float64(asked[r]) }
	about := fmt.Sprintf("served %v of %v", served, asked)
	t.Log(about)
	g.Expect(share(2)).To(BeNumerically(">=", 0.5*share(1)), about)
	g.Expect(share(1)).To(BeNumerically(">", share(2)), about)
}
