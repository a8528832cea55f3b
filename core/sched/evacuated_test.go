package sched_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// Guards against a new request to a target of an evacuated data centre on any path, against jobs that wait for its
// targets, the fastest of the service, and against jobs that wait although all data centres are evacuated.
func TestEvacuatedDataCentresGetNoJobs(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r0", "a1", "a")
	for _, x := range []sched.Target{{ID: "a", Centre: "a1"}, {ID: "canary", Centre: "a1", CanaryOnly: true}, {ID: "b", Centre: "b1"}} {
		x.Slots, x.Region = 8, "a"
		p.Put(x, true)
	}
	p.EventGap("a", sched.Outcome{Gap: 5 * time.Millisecond})
	p.EventGap("b", sched.Outcome{Gap: 90 * time.Millisecond})
	before := job("before", 0, 0, 0)
	p.Add(before)
	placed, _ := p.Schedule(at(0))
	g.Expect(placed[0].Target).To(BeEquivalentTo("a"))
	p.SetEvacuated(at(1), []ident.DataCentre{"a1"})
	g.Expect(p.Accepts(at(1), "a")).To(BeFalse(), "what was placed and not sent is placed again")
	for i, change := range []func(*sched.Job){
		func(*sched.Job) {}, func(j *sched.Job) { j.Canary = true }, func(j *sched.Job) { j.AnswerStarted = true },
		func(j *sched.Job) { j.Avoid = []ident.TargetID{"b"} }, func(j *sched.Job) { j.Output, j.Stride, j.Stream = 60, 1, true },
	} {
		j := job("j", 10+i, 0, 0)
		change(j)
		p.Add(j)
		placed, _ = p.Schedule(at(10 + i))
		g.Expect(placed).To(HaveLen(1), "path %d", i)
		g.Expect(placed[0].Target).To(BeEquivalentTo("b"))
	}
	d, ok := p.PlaceElsewhere(at(30), before, "a")
	g.Expect(ok).To(BeTrue())
	g.Expect(d.Target).To(BeEquivalentTo("b"))
	p.Done(at(40), "a", before, sched.Outcome{Complete: true})
	p.SetEvacuated(at(40), []ident.DataCentre{"a1", "b1"})
	p.Add(job("none", 50, 0, 0))
	placed, refused := p.Schedule(at(50))
	g.Expect(placed).To(BeEmpty())
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].Untargeted).To(BeTrue())
	g.Expect(refused[0].RetryAfter).To(BeNumerically(">", 0))
	p.SetEvacuated(at(60), nil)
	p.Add(job("after", 60, 0, 0))
	placed, _ = p.Schedule(at(60))
	g.Expect(placed[0].Target).To(BeEquivalentTo("a"))
}
