package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// Load pattern: all targets of a service ask for time while requests wait. Guards against requests that wait although
// their deadlines come first, or for more slots than there will be; and against a time to come back before a target does.
func TestJobsWaitForThePausedTargetThatResumesFirst(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 2)
	for i, d := range []time.Duration{4 * time.Second, 2 * time.Second} {
		_, ok := p.Pause(at(0), ident.TargetID(fmt.Sprint("t", i)), d)
		g.Expect(ok).To(BeTrue())
	}
	g.Expect(p.Paused(at(1))).To(Equal(2))
	for i := range 6 {
		p.Add(job(fmt.Sprint(i), 0, 1, 0))
	}
	short := job("short", 0, 1, 0)
	short.Deadline = at(1500)
	p.Add(short)
	placed, refused := p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty())
	g.Expect(refused).To(HaveLen(3), "two beyond the slots, and the one with the short deadline")
	for _, r := range refused {
		g.Expect(r.Untargeted).To(BeTrue())
		g.Expect(r.RetryAfter).To(And(BeNumerically(">=", 1999*time.Millisecond), BeNumerically("<", 2600*time.Millisecond)))
	}
	placed, _ = p.Schedule(at(1900))
	g.Expect(placed).To(BeEmpty())
	placed, _ = p.Schedule(at(2600))
	g.Expect(placed).NotTo(BeEmpty())
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t1")))
}

// Load pattern: 20 requests a second at a target that asks for a second of time, while more wait. Guards against a
// stampede at its end, against a target that is not believed when it asks again, and against a pace that lasts for ever.
func TestPausedTargetResumesAtItsPace(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 100)
	n := 0
	step := func(ms int) int {
		p.Add(job(fmt.Sprint(ms), ms, 1, 0))
		placed, _ := p.Schedule(at(ms))
		for _, d := range placed {
			p.Done(at(ms), d.Target, d.Job, sched.Outcome{})
		}
		return len(placed)
	}
	for ms := 0; ms < 2000; ms += 50 {
		n += step(ms)
	}
	g.Expect(n).To(Equal(40))
	until, _ := p.Pause(at(2000), "t0", time.Second)
	resumed := int(until.Sub(start).Milliseconds()) + 1
	g.Expect(resumed).To(And(BeNumerically(">=", 3000), BeNumerically("<=", 3251)))
	n = 0
	for ms := 2000; ms < resumed; ms += 50 {
		n += step(ms)
	}
	g.Expect(n).To(BeZero())
	for ms := resumed; ms < resumed+1000; ms += 10 {
		n += step(ms)
	}
	g.Expect(n).To(BeNumerically("~", 20, 3))
	again, _ := p.Pause(at(resumed+1000), "t0", time.Second)
	g.Expect(again.Sub(at(resumed + 1000))).To(BeNumerically(">=", time.Second))
	g.Expect(step(resumed + 1500)).To(BeZero())
	n = 0
	for ms := int(again.Sub(start).Milliseconds()) + 2001; n < 30; ms += 10 {
		n += step(ms)
		g.Expect(ms).To(BeNumerically("<", 9000))
	}
}

// Guards against routers that were told the same time and resume at the same moment.
func TestRoutersResumeOneAfterTheOther(t *testing.T) {
	g := NewWithT(t)
	times := map[time.Time]bool{}
	for i := range 10 {
		p := sched.New(ident.ProcessID(fmt.Sprint("r", i)), "a1", "a")
		p.Put(sched.Target{ID: "t", Centre: "a1", Region: "a", Slots: 1}, true)
		until, _ := p.Pause(at(0), "t", 2*time.Second)
		g.Expect(until).To(And(BeTemporally(">=", at(2000)), BeTemporally("<=", at(2500))))
		times[until] = true
	}
	g.Expect(len(times)).To(BeNumerically(">", 5))
}

// Guards against callers that wait for a service without targets until their time is over.
func TestServiceWithoutTargetsIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	p.Drain("t0")
	p.Add(job("a", 0, 1, 0))
	_, refused := p.Schedule(at(0))
	g.Expect(refused).To(HaveLen(1))
	g.Expect(refused[0].RetryAfter).To(Equal(time.Second))
}
