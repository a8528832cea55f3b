package sched_test

import (
	"fmt"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// canaryPool returns a pool of two targets for all jobs, t0 and t1, and three canary targets, n0 to n2.
func canaryPool() *sched.Pool {
	p := pool(2, 4)
	for i := range 3 {
		p.Put(sched.Target{ID: ident.TargetID(fmt.Sprintf("n%d", i)), Centre: "a1", Region: "a", Slots: 4, CanaryOnly: true}, true)
	}
	return p
}

func canaryJob(id string, ms int) *sched.Job {
	j := job(id, ms, 1, 0)
	j.Canary = true
	return j
}

// Load pattern: half of the slots of t0 and t1 are taken, and a canary version gets some requests. Guards against
// canary requests spread over idle targets, where a version that fails under load would pass.
func TestCanaryTargetsGetTheLoadOfOthers(t *testing.T) {
	g := NewWithT(t)
	p := canaryPool()
	for i := range 4 {
		p.Add(job(fmt.Sprint("usual", i), i, 1, 0))
	}
	for i := range 4 {
		p.Add(canaryJob(fmt.Sprint("trial", i), 10+i))
	}
	placed, _ := p.Schedule(at(20))
	jobs := map[ident.TargetID]int{}
	for _, d := range placed {
		jobs[d.Target]++
	}
	g.Expect(jobs).To(Equal(map[ident.TargetID]int{"t0": 2, "t1": 2, "n0": 3, "n1": 1}))
}

// Guards against canary requests that all go to few targets before the speeds of several are known.
func TestCanaryTargetsOfUnknownSpeedAreTriedFirst(t *testing.T) {
	g := NewWithT(t)
	p := canaryPool()
	for i := range 4 {
		j := canaryJob(fmt.Sprint("trial", i), i)
		if i < 3 {
			j.Prefer = []ident.TargetID{"n1", "n2"}
		}
		p.Add(j)
	}
	placed, _ := p.Schedule(at(20))
	jobs := map[ident.TargetID]int{}
	for _, d := range placed {
		jobs[d.Target]++
	}
	g.Expect(jobs["n1"]).To(BeNumerically(">=", 1))
	g.Expect(jobs["n2"]).To(BeNumerically(">=", 1))
}

// Guards against other requests at canary targets, whose version may have been rolled back, and against canary
// requests that wait although a target for all jobs has a free slot.
func TestCanaryTargetsGetOnlyCanaryJobs(t *testing.T) {
	g := NewWithT(t)
	p := canaryPool()
	for i := range 10 {
		p.Add(job(fmt.Sprint("usual", i), i, 1, 0))
	}
	placed, _ := p.Schedule(at(20))
	g.Expect(placed).To(HaveLen(8))
	for _, d := range placed {
		g.Expect(string(d.Target)).To(HavePrefix("t"))
	}
	q := pool(1, 4)
	j := canaryJob("trial", 0)
	q.Add(j)
	placed, _ = q.Schedule(at(20))
	g.Expect(ids(placed)).To(Equal([]string{"trial"}))
	g.Expect(j.Canary).To(BeFalse(), "the outcome is counted for the version that ran the job")
}
