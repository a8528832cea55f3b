package sched_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

var start = time.Unix(1_700_000_000, 0)

func at(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

// pool returns a pool of n targets with the given slots in the router's own data centre.
func pool(n, slots int) *sched.Pool {
	p := sched.New("r1", "a1", "a")
	for i := range n {
		p.Put(sched.Target{ID: ident.TargetID(fmt.Sprintf("t%d", i)), Centre: "a1", Region: "a", Slots: slots}, true)
	}
	return p
}

// job returns a job that arrives at the given time and whose first event is due after 500 ms.
func job(id string, ms int, tier, routeTier ident.Tier) *sched.Job {
	return &sched.Job{ID: ident.RequestID(id), Tier: tier, RouteTier: routeTier, Arrived: at(ms), FirstEventDue: at(ms + 500), Deadline: at(ms + 12000)}
}

func ids(l []sched.Placement) (out []string) {
	for _, p := range l {
		out = append(out, string(p.Job.ID))
	}
	return out
}

// Load pattern: a burst of all kinds at once. Guards against requests of a lower route tier (photos) that take the
// slots before those of a higher one (drafts).
func TestHigherTierAndRouteTierArePlacedFirst(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 2)
	p.Add(job("photo", 0, 1, 2))
	p.Add(job("draft", 1, 1, 0))
	p.Add(job("gold photo", 2, 0, 2))
	placed, refused := p.Schedule(at(3))
	g.Expect(ids(placed)).To(Equal([]string{"gold photo", "draft"}))
	g.Expect(refused).To(BeEmpty())
	g.Expect(p.Waiting()).To(Equal(1))
}

// Load pattern: the end of a burst. Guards against late requests that make all later ones late as well.
func TestLateJobsGetOnlySlotsThatOthersLeaveFree(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	late := job("late", 0, 0, 0)
	p.Add(late)
	p.Add(job("fresh", 700, 1, 2))
	placed, _ := p.Schedule(at(710))
	g.Expect(ids(placed)).To(Equal([]string{"fresh"}))
}

// Guards against a stream, resumed at another target, that is refused behind new requests.
func TestJobWithStartedAnswerIsPlacedFirst(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	p.Add(job("fresh", 700, 0, 0))
	resumed := job("resumed", 0, 5, 5)
	resumed.AnswerStarted = true
	p.Add(resumed)
	placed, refused := p.Schedule(at(2000))
	g.Expect(ids(placed)).To(Equal([]string{"resumed"}))
	for _, r := range refused {
		g.Expect(r.Job).NotTo(BeIdenticalTo(resumed))
	}
}

// Load pattern: twice the capacity in drafts, and photos of a lower route tier, which get no slots. Guards against
// photos that wait until their due time although none is placed, and against a retry time computed from a rate
// that drafts use up.
func TestStarvedClassIsRefusedAtOnce(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 4)
	var waits []time.Duration
	running := []*sched.Job{}
	for ms := 0; ms < 6000; ms += 10 {
		now := at(ms)
		if ms%20 == 0 { // 50 drafts a second, each of which takes one of 4 slots for 160 ms
			p.Add(job(fmt.Sprint("draft", ms), ms, 1, 0))
		}
		if ms%100 == 50 {
			photo := job(fmt.Sprint("photo", ms), ms, 1, 2)
			photo.Deadline = at(ms + 3000)
			p.Add(photo)
		}
		for len(running) > 0 && now.Sub(running[0].Arrived) >= 0 && ms%40 == 0 {
			p.Done(now, "t0", running[0], sched.Outcome{})
			running = running[1:]
			break
		}
		placed, refused := p.Schedule(now)
		for _, d := range placed {
			running = append(running, d.Job)
		}
		for _, r := range refused {
			if r.Job.RouteTier == 2 && ms > 3000 {
				waits = append(waits, now.Sub(r.Job.Arrived))
			}
			g.Expect(r.RetryAfter).To(BeNumerically(">", 0), "a refusal has a retry time")
		}
	}
	g.Expect(waits).NotTo(BeEmpty())
	for _, w := range waits {
		g.Expect(w).To(BeNumerically("<=", 60*time.Millisecond))
	}
}

// Guards against more requests at a target than it runs, counted over all routers: they would wait there in the
// order of arrival.
func TestSlotsCountOverAllRouters(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 4)
	p.MergeReport(at(0), sched.Report{Router: "r2", Region: "a", Loads: []sched.Load{{Target: "t0", Running: 2}}})
	p.MergeReport(at(0), sched.Report{Router: "r3", Region: "a", Loads: []sched.Load{{Target: "t0", Running: 1}}})
	for i := range 3 {
		p.Add(job(fmt.Sprint(i), 0, 0, 0))
	}
	placed, _ := p.Schedule(at(1))
	g.Expect(placed).To(HaveLen(1))
	g.Expect(placed[0].OtherJobs).To(Equal(3))
	g.Expect(p.Report(at(0)).Loads).To(Equal([]sched.Load{{Target: "t0", Running: 1}}))
}

// Guards against slots that stay taken by a router that is down.
func TestSilentRouterFreesItsSlots(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	p.MergeReport(at(0), sched.Report{Router: "r2", Region: "a", Loads: []sched.Load{{Target: "t0", Running: 1}}})
	j := job("x", 0, 0, 0)
	p.Add(j)
	placed, _ := p.Schedule(at(400))
	g.Expect(placed).To(BeEmpty())
	p.ExpireReports(at(2000))
	placed, _ = p.Schedule(at(450))
	g.Expect(ids(placed)).To(Equal([]string{"x"}))
}

// Load pattern: a long prompt beside short questions. Guards against a question that is placed where
// it is read only after that prompt.
func TestQuestionAvoidsPendingPrompts(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 4)
	long := job("draft", 0, 0, 0)
	long.Prompt = 50_000
	p.Add(long)
	placed, _ := p.Schedule(at(0))
	g.Expect(placed).To(HaveLen(1))
	busy := placed[0].Target
	for i := range 3 {
		q := job(fmt.Sprint("q", i), 1, 0, 0)
		q.Prompt = 600
		p.Add(q)
	}
	placed, _ = p.Schedule(at(1))
	for _, d := range placed {
		g.Expect(d.Target).NotTo(Equal(busy))
	}
	p.FirstEvent(at(400), busy, long) // the prompt is read now
	loads := p.Report(at(0)).Loads
	for _, l := range loads {
		if l.Target == busy {
			g.Expect(l.PendingPrompt).To(BeZero())
		}
	}
}

// Guards against targets of another region that are used while near ones have free slots.
func TestNearTargetsAreUsedFirst(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r1", "a1", "a")
	p.Put(sched.Target{ID: "far", Centre: "b1", Region: "b", Slots: 4}, true)
	p.Put(sched.Target{ID: "near", Centre: "a1", Region: "a", Slots: 1}, true)
	for i := range 2 {
		p.Add(job(fmt.Sprint(i), 0, 0, 0))
	}
	placed, _ := p.Schedule(at(0))
	g.Expect(placed).To(HaveLen(2))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("near")))
	g.Expect(placed[1].Target).To(Equal(ident.TargetID("far")))
}

// Guards against new requests at a target that answers nothing although its registration is valid.
func TestSilentTargetIsLastChoice(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 4)
	p.Add(job("a", 0, 0, 0))
	placed, _ := p.Schedule(at(0))
	silent := placed[0].Target
	for i := range 4 {
		p.Add(job(fmt.Sprint(i), 1000, 0, 0))
	}
	placed, _ = p.Schedule(at(1000))
	g.Expect(placed).To(HaveLen(4))
	for _, d := range placed {
		g.Expect(d.Target).NotTo(Equal(silent))
	}
}

// Guards against a request that returns to the target that failed it, and against targets that are retried at
// once although they cannot be reached.
func TestFailedTargetsAreAvoided(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 4)
	j := job("x", 0, 0, 0)
	j.Avoid = []ident.TargetID{"t0"}
	p.Add(j)
	placed, _ := p.Schedule(at(0))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t1")))
	p.Done(at(1), "t1", j, sched.Outcome{Unreachable: true})
	k := job("y", 1, 0, 0)
	p.Add(k)
	placed, _ = p.Schedule(at(2))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t0")), "t1 is in its back-off time")
	both := job("z", 3, 0, 0)
	both.Avoid = []ident.TargetID{"t0", "t1"}
	p.Add(both)
	placed, _ = p.Schedule(at(4))
	g.Expect(placed).To(HaveLen(1), "all targets have failed the job")
}

// Guards against new requests at a draining target.
func TestDrainingTargetGetsNoJobs(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 4)
	a := job("a", 0, 0, 0)
	p.Add(a)
	placed, _ := p.Schedule(at(0))
	g.Expect(placed).To(HaveLen(1))
	p.Drain("t0")
	p.Add(job("b", 1, 0, 0))
	placed, _ = p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty())
	p.Done(at(2), "t0", a, sched.Outcome{})
	g.Expect(p.Report(at(0)).Loads).To(BeEmpty())
}

// Guards against a target with a missing registration that gets requests while others have free slots.
func TestTargetWithMissingRegistrationIsLastChoice(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 1)
	p.MarkMissing("t0")
	p.Add(job("a", 0, 0, 0))
	p.Add(job("b", 0, 0, 0))
	placed, _ := p.Schedule(at(0))
	g.Expect(placed).To(HaveLen(2))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t1")))
	g.Expect(placed[1].Target).To(Equal(ident.TargetID("t0")))
}

// Guards against an update of a target's properties that clears its missing registration.
func TestUpdateKeepsMissingRegistration(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 1)
	p.MarkMissing("t0")
	p.Update(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 2})
	p.Add(job("a", 0, 0, 0))
	placed, _ := p.Schedule(at(0))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t1")))
	p.Update(sched.Target{ID: "t2", Centre: "a1", Region: "a", Slots: 1})
	p.Add(job("b", 0, 0, 0))
	placed, _ = p.Schedule(at(0))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("t2")), "an unknown target is added")
}

// Guards against a job that is placed after its client disconnected.
func TestRemovedJobIsNotPlaced(t *testing.T) {
	g := NewWithT(t)
	p := pool(0, 0)
	j := job("a", 0, 0, 0)
	p.Add(j)
	g.Expect(p.Remove(j)).To(BeTrue())
	g.Expect(p.Remove(j)).To(BeFalse())
	p.Put(sched.Target{ID: "t", Centre: "a1", Region: "a", Slots: 1}, true)
	placed, refused := p.Schedule(at(1))
	g.Expect(placed).To(BeEmpty())
	g.Expect(refused).To(BeEmpty())
}

// Guards against a refusal that arrives after the deadline: the job is refused before it.
func TestWaitEndsBeforeTheDeadline(t *testing.T) {
	g := NewWithT(t)
	p := pool(0, 0)
	j := job("a", 0, 0, 0)
	j.Deadline = at(600)
	p.Add(j)
	_, refused := p.Schedule(at(520))
	g.Expect(refused).To(HaveLen(1))
}

// Guards against the duration of a stream that is guessed without any observation.
func TestStreamDurationNeedsObservation(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	_, ok := p.StreamDuration(100, 6)
	g.Expect(ok).To(BeFalse())
	j := job("a", 0, 0, 0)
	p.Add(j)
	p.Schedule(at(0))
	p.FirstEvent(at(50), "t0", j)
	p.Done(at(1000), "t0", j, sched.Outcome{Gap: 25 * time.Millisecond})
	d, ok := p.StreamDuration(60, 6)
	g.Expect(ok).To(BeTrue())
	g.Expect(d).To(BeNumerically("~", 11*25*time.Millisecond+50*time.Millisecond, 10*time.Millisecond))
}

// Load pattern: 21 routers with more requests than slots, and reports that are up to 200 ms old. Guards against
// all of them taking the same free slot, and against slots that no router takes.
func TestRoutersDivideTheSlots(t *testing.T) {
	g := NewWithT(t)
	const routers, targets, slots = 21, 40, 11
	const step, lag, length = 10, 200, 1000 // ms
	name := func(i int) ident.ProcessID { return ident.ProcessID(fmt.Sprint("r", i)) }
	pools := make([]*sched.Pool, routers)
	for i := range pools {
		pools[i] = sched.New(name(i), "a1", "a")
		pools[i].SetReportInterval(lag * time.Millisecond)
		for k := range targets {
			pools[i].Put(sched.Target{ID: ident.TargetID(fmt.Sprint("t", k)), Centre: "a1", Region: "a", Slots: slots}, true)
		}
	}
	type run struct {
		pool, end int
		place     sched.Placement
	}
	var runs []run
	running := map[ident.TargetID]int{}
	var used, over, samples int
	for ms := 0; ms < 6000; ms += step {
		now := at(ms)
		for i, p := range pools {
			if (ms/step+i)%4 == 0 { // 25 jobs a second and router, 525 slots' worth for 440 slots
				j := job(fmt.Sprint(i, "-", ms), ms, 0, 0)
				j.FirstEventDue, j.Deadline = at(ms+400), at(ms+3000)
				p.Add(j)
			}
			if (ms/step-i)%(lag/step) == 0 {
				rep := p.Report(now)
				for k, o := range pools {
					if k != i {
						o.MergeReport(now, rep)
					}
				}
			}
			placed, _ := p.Schedule(now)
			for _, d := range placed {
				running[d.Target]++
				runs = append(runs, run{pool: i, end: ms + length, place: d})
			}
		}
		kept := runs[:0]
		for _, r := range runs {
			if r.end > ms {
				kept = append(kept, r)
				continue
			}
			running[r.place.Target]--
			pools[r.pool].Done(now, r.place.Target, r.place.Job, sched.Outcome{})
		}
		runs = kept
		if ms >= 2000 {
			for _, n := range running {
				used += min(n, slots)
				over += max(n-slots, 0)
				samples += slots
			}
		}
	}
	t.Logf("used %.3f, over %.3f", float64(used)/float64(samples), float64(over)/float64(samples))
	g.Expect(float64(used) / float64(samples)).To(BeNumerically(">=", 0.9))
	g.Expect(float64(over) / float64(samples)).To(BeNumerically("<=", 0.05))
}

// Load pattern: one router has all the load. Guards against slots that are reserved for idle routers.
func TestSlotsOfIdleRoutersAreUsed(t *testing.T) {
	g := NewWithT(t)
	p := pool(4, 10)
	for i := range 9 {
		p.MergeReport(at(-1000+50*i), sched.Report{Router: ident.ProcessID(fmt.Sprint("o", i)), Region: "a"})
	}
	placed := 0
	for ms := 0; ms < 2000; ms += 50 {
		p.Add(job(fmt.Sprint(ms), ms, 0, 0))
		d, _ := p.Schedule(at(ms))
		placed += len(d)
		for i := range 9 {
			p.MergeReport(at(ms), sched.Report{Router: ident.ProcessID(fmt.Sprint("o", i)), Region: "a"})
		}
	}
	g.Expect(placed).To(BeNumerically(">=", 36))
}

// Guards against targets that every router has to find down by itself.
func TestTargetFoundDownGetsNoJobs(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 4)
	p.PeerFoundDown(at(0), "t0")
	for i := range 4 {
		p.Add(job(fmt.Sprint(i), 0, 0, 0))
	}
	placed, _ := p.Schedule(at(1))
	for _, d := range placed {
		g.Expect(d.Target).To(Equal(ident.TargetID("t1")))
	}
	j := placed[0].Job
	p.Done(at(2), "t1", j, sched.Outcome{Replaced: true})
	g.Expect(p.RecentlyDown(at(3))).To(Equal([]ident.TargetID{"t1"}))
	g.Expect(p.RecentlyDown(at(1000))).To(BeEmpty())
}

// Load pattern: a quiet pool whose slots are all taken by long streams. Guards against the refusal of a request
// that only has to wait for the next slot.
func TestFirstWaitingJobIsNotRefusedForLackOfPlacements(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	p.Add(job("long", 0, 0, 0))
	p.Schedule(at(0))
	p.Add(job("next", 5000, 0, 0))
	_, refused := p.Schedule(at(5000))
	g.Expect(refused).To(BeEmpty())
}

// Load pattern: drafts of very different lengths beyond the capacity. Guards against many short requests that
// wait for one long one, and against long ones that are never served.
func TestShortRequestsOvertakeLongOnes(t *testing.T) {
	g := NewWithT(t)
	p := pool(1, 1)
	first := job("first", 0, 0, 0)
	p.Add(first)
	p.Schedule(at(0))
	p.FirstEvent(at(50), "t0", first)
	p.Done(at(1000), "t0", first, sched.Outcome{Gap: 25 * time.Millisecond})
	p.Add(job("taken", 1000, 0, 0))
	p.Schedule(at(1000))
	add := func(id string, ms int, tokens ident.Tokens) {
		j := job(id, ms, 0, 0)
		j.Output, j.Stride, j.FirstEventDue, j.Deadline = tokens, 6, at(9000), at(9000)
		p.Add(j)
	}
	add("long", 1000, 3000)
	add("short", 1100, 6)
	add("later short", 1500, 6)
	var order []string
	for ms := 1600; ms < 1900; ms += 100 {
		p.Put(sched.Target{ID: ident.TargetID(fmt.Sprint("n", ms)), Centre: "a1", Region: "a", Slots: 1}, true)
		placed, _ := p.Schedule(at(ms))
		order = append(order, ids(placed)...)
	}
	g.Expect(order).To(Equal([]string{"short", "long", "later short"}))
}

// Load pattern: a target crashes while the others are full. Guards against a stream that returns to the target
// that has just cut it off, because only that one has free slots.
func TestInterruptedRequestWaitsForAnotherTarget(t *testing.T) {
	g := NewWithT(t)
	p := pool(2, 1)
	p.Add(job("full", 0, 0, 0))
	placed, _ := p.Schedule(at(0))
	crashed := ident.TargetID("t0")
	if placed[0].Target == crashed {
		crashed = "t1"
	}
	j := job("cut", 1, 0, 0)
	j.AnswerStarted, j.Avoid = true, []ident.TargetID{crashed}
	p.Add(j)
	again, refused := p.Schedule(at(2))
	g.Expect(again).To(BeEmpty())
	g.Expect(refused).To(BeEmpty())
	p.Done(at(300), placed[0].Target, placed[0].Job, sched.Outcome{})
	again, _ = p.Schedule(at(300))
	g.Expect(again).To(HaveLen(1))
	g.Expect(again[0].Target).To(Equal(placed[0].Target))
}

// Load pattern: long answers on targets whose speeds differ by a factor of five. Guards against an answer that is
// cut off at the deadline although a faster target had a free slot.
func TestLongAnswerGoesToAFastTarget(t *testing.T) {
	g := NewWithT(t)
	p := sched.New("r1", "a1", "a")
	p.Put(sched.Target{ID: "slow", Centre: "a1", Region: "a", Slots: 4}, true)
	p.Put(sched.Target{ID: "fast", Centre: "b1", Region: "b", Slots: 4}, true)
	for i, id := range []ident.TargetID{"slow", "fast"} {
		for n := range 2 {
			j := job(fmt.Sprint(id, n), 0, 0, 0)
			if i == 1 {
				j.Avoid = []ident.TargetID{"slow"}
			} else {
				j.Avoid = []ident.TargetID{"fast"}
			}
			p.Add(j)
			placed, _ := p.Schedule(at(0))
			g.Expect(placed).To(HaveLen(1))
			p.FirstEvent(at(50), id, j)
			p.Done(at(1000), id, j, sched.Outcome{Gap: time.Duration(100-80*i) * time.Millisecond})
		}
	}
	long := job("long", 1000, 0, 0)
	long.Output, long.Stride, long.Deadline = 600, 6, at(6000) // 10 s on the slow one, 2 s on the fast one
	p.Add(long)
	placed, _ := p.Schedule(at(1000))
	g.Expect(placed[0].Target).To(Equal(ident.TargetID("fast")))
}

// Load pattern: one router has many short requests while the others, between whom the slots are divided, are idle.
// Guards against requests that are refused although most slots are free, because this router has borrowed as many
// slots as it may within one report interval.
func TestFreeSlotsAreNotRefused(t *testing.T) {
	g := NewWithT(t)
	for n := range 10 { // the routers differ in their shares
		p := sched.New(ident.ProcessID(fmt.Sprint("r", n)), "a1", "a")
		p.Put(sched.Target{ID: "t0", Centre: "a1", Region: "a", Slots: 4}, true)
		p.SetReportInterval(200 * time.Millisecond)
		for i := range 20 {
			p.MergeReport(at(-1000+50*i), sched.Report{Router: ident.ProcessID(fmt.Sprint("o", i)), Region: "a"})
		}
		placements := 0
		for ms := 0; ms < 1000; ms += 20 {
			if ms <= 100 {
				j := job(fmt.Sprint(ms), ms, 0, 0)
				j.FirstEventDue, j.Deadline = at(ms+250), at(ms+1000)
				p.Add(j)
			}
			placed, refused := p.Schedule(at(ms))
			g.Expect(refused).To(BeEmpty())
			placements += len(placed)
			for _, d := range placed {
				p.Done(at(ms+10), d.Target, d.Job, sched.Outcome{})
			}
		}
		g.Expect(placements).To(Equal(6))
	}
}
