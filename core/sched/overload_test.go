package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fair"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// streamJob returns a job for a stream of the given number of events whose first event is due after a second.
func streamJob(id string, ms int, routeTier ident.Tier, prompt ident.Tokens, events int) *sched.Job {
	j := job(id, ms, 1, routeTier)
	j.FirstEventDue, j.Stream, j.Prompt, j.Stride, j.Output = at(ms+1000), true, prompt, 1, ident.Tokens(events)
	j.GapGoal = 250 * time.Millisecond
	return j
}

// serve places a job and ends it after its first event and its events.
func serve(t *testing.T, p *sched.Pool, j *sched.Job, first, gap time.Duration, pauses int) ident.TargetID {
	t.Helper()
	p.Add(j)
	placed, _ := p.Schedule(j.Arrived)
	if len(placed) != 1 {
		t.Fatalf("job %s was not placed", j.ID)
	}
	id := placed[0].Target
	p.FirstEvent(j.Arrived.Add(first), id, j)
	p.Done(j.Arrived.Add(first+gap*time.Duration(j.Output)), id, j, sched.Outcome{Gap: gap, Events: int(j.Output), Pauses: pauses})
	return id
}

// unlikePool returns a pool of two targets, of which t1 takes ten times as long as t0 between events, and what it takes to
// learn that.
func unlikePool(t *testing.T) *sched.Pool {
	p := pool(2, 1)
	for n := range 40 {
		a, b := streamJob(fmt.Sprint("a", n), n*10_000, 1, 100, 40), streamJob(fmt.Sprint("b", n), n*10_000, 1, 100, 40)
		a.Avoid, b.Avoid = []ident.TargetID{"t1"}, []ident.TargetID{"t0"}
		b.FirstEventDue = b.Arrived // takes any target
		serve(t, p, a, 20*time.Millisecond, 15*time.Millisecond, 0)
		serve(t, p, b, 200*time.Millisecond, 150*time.Millisecond, 4)
	}
	return p
}

// Load pattern: all slots are occupied, and requests of lower classes arrive all the time. Guards against requests of the
// highest class that wait for chance to bring them a slot, and against lower ones that queue at targets.
func TestHighestClassWaitsAtATarget(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 2)
	for n := range 20 {
		serve(t, p, job(fmt.Sprint("low", n), n*10, 1, 2), time.Millisecond, 0, 0)
	}
	serve(t, p, job("draft", 199, 1, 0), time.Millisecond, 0, 0)
	for n := range 2 {
		p.Add(job(fmt.Sprint("long", n), 200, 1, 2))
	}
	placed, _ := p.Schedule(at(200))
	g.Expect(placed).To(HaveLen(2))
	p.Add(job("low", 201, 1, 2))
	p.Add(job("draft1", 202, 1, 0))
	p.Add(job("draft2", 203, 1, 0))
	placed, refused := p.Schedule(at(204))
	g.Expect(ids(placed)).To(Equal([]string{"draft1"}), "one request waits at a target, of the highest class")
	g.Expect(refused).To(BeEmpty())
}

// Load pattern: routers with late requests only beside routers whose requests can still be on time. Guards against late
// requests that take the slots which the others need.
func TestLateRequestsLeaveSlotsToOtherRouters(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 4)
	p.MergeReport(at(0), sched.Report{Router: "r2", Region: "a", Demand: 8, Waiting: 6, Urgent: 6})
	late := job("late", 0, 1, 0)
	late.FirstEventDue = at(-1000)
	p.Add(late)
	placed, _ := p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty())
	p.MergeReport(at(50), sched.Report{Router: "r2", Region: "a", Demand: 8})
	for ms := 51; len(placed) == 0 && ms < 1000; ms += 10 {
		placed, _ = p.Schedule(at(ms))
	}
	g.Expect(ids(placed)).To(Equal([]string{"late"}))
}

// Load pattern: targets of which some take ten times as long. Guards against the assumption that a target of which nothing
// but the time between events is known reads prompts as fast as the others.
func TestSpeedFollowsFromTheTimeBetweenEvents(t *testing.T) {
	g := NewWithT(t)
	p := pool(3, 1)
	for n := range 40 {
		j := streamJob(fmt.Sprint("a", n), n*10_000, 1, 5000, 40)
		j.Avoid = []ident.TargetID{"t1", "t2"}
		serve(t, p, j, 100*time.Millisecond, 15*time.Millisecond, 0)
	}
	p.EventGap("t1", sched.Outcome{Gap: 150 * time.Millisecond})
	p.EventGap("t2", sched.Outcome{Gap: 15 * time.Millisecond})
	expected := func(id string, avoid ...ident.TargetID) time.Duration {
		j := streamJob(id, 500_001, 1, 5000, 2)
		j.Avoid, j.FirstEventDue = avoid, j.Arrived // takes any target
		p.Add(j)
		placed, _ := p.Schedule(at(500_001))
		g.Expect(placed).To(HaveLen(1))
		return placed[0].ExpectedFirstEvent
	}
	fast := expected("a", "t0", "t1")
	g.Expect(fast).To(BeNumerically("~", 100*time.Millisecond, 50*time.Millisecond))
	g.Expect(expected("b", "t0", "t2")).To(BeNumerically(">", 2*fast))
}

// Load pattern: streams on targets of which the slow ones pause in most answers. Guards against streams that could have
// been on time elsewhere and take such a target, and against slots there that nobody uses.
func TestSlowTargetsAreLeftToLateStreams(t *testing.T) {
	g := NewWithT(t)
	p := unlikePool(t)
	holder := streamJob("holder", 1_000_000, 1, 100, 40)
	holder.Avoid = []ident.TargetID{"t1"}
	p.Add(holder)
	placed, _ := p.Schedule(at(1_000_000))
	g.Expect(placed).To(HaveLen(1))
	p.Add(streamJob("fresh", 1_000_001, 1, 100, 40))
	late := streamJob("late", 1_000_001, 1, 100, 40)
	late.FirstEventDue = at(999_000)
	p.Add(late)
	placed, _ = p.Schedule(at(1_000_002))
	g.Expect(ids(placed)).To(Equal([]string{"late"}))
	g.Expect(placed[0].Target).To(BeEquivalentTo("t1"))
	p.Done(at(1_000_500), "t1", late, sched.Outcome{})
	placed, _ = p.Schedule(at(1_000_900))
	g.Expect(ids(placed)).To(Equal([]string{"fresh"}), "a stream that can wait no longer takes any target")
}

// Load pattern: a class whose first events take 600 ms. Guards against requests that are placed at the last moment at which
// the fastest possible answer would be on time, and are late.
func TestLatenessFollowsTheUsualTimeOfTheClass(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	for n := range 200 {
		serve(t, p, streamJob(fmt.Sprint("short", n), n*1000, 0, 100, 1), 20*time.Millisecond, 0, 0)
		serve(t, p, streamJob(fmt.Sprint("long", n), n*1000+500, 1, 5000, 1), 600*time.Millisecond, 0, 0)
	}
	p.Add(streamJob("old", 300_000, 1, 5000, 1))
	p.Add(streamJob("fresh", 300_600, 1, 5000, 1))
	placed, _ := p.Schedule(at(300_601))
	g.Expect(ids(placed)).To(Equal([]string{"fresh"}))
}

// Load pattern: one account with an empty bucket sends before another one with a full bucket. Guards against accounts that
// take the slots of others in proportion to their traffic.
func TestAccountsWithinTheirShareGoFirst(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	heavy, light := job("heavy", 0, 1, 1), job("light", 200, 1, 1)
	heavy.Deferral = fair.Deferral(0, 1000, 500*time.Millisecond)
	light.Deferral = fair.Deferral(1000, 1000, 500*time.Millisecond)
	p.Add(heavy)
	p.Add(light)
	placed, _ := p.Schedule(at(201))
	g.Expect(ids(placed)).To(Equal([]string{"light"}))
}

// Guards against a second attempt for a stalled request that waits at a full target, or goes to the stalled one again,
// because targets at which others may wait are still listed.
func TestSecondAttemptNeedsAFreeSlot(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 1)
	for n := range 20 {
		serve(t, p, job(fmt.Sprint("low", n), n*10, 1, 2), time.Millisecond, 0, 0)
	}
	serve(t, p, job("draft", 199, 1, 0), time.Millisecond, 0, 0)
	p.Add(job("low", 200, 1, 2))
	stalled := job("stalled", 200, 1, 0)
	p.Add(stalled)
	placed, _ := p.Schedule(at(200))
	g.Expect(placed).To(HaveLen(2))
	p.Add(job("low2", 201, 1, 2))
	p.Schedule(at(201))
	_, ok := p.PlaceElsewhere(at(202), stalled, placed[0].Target)
	g.Expect(ok).To(BeFalse())
}
