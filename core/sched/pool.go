// Package sched decides, for the targets of one service, in which order requests wait at a router, which
// are turned away, and where the others are placed. Targets know no tiers and admit requests as they
// arrive, so requests wait at the routers, and only as many are sent to a target as it runs at a time.
package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

// Job is a request that waits for a target or runs on one.
type Job struct {
	ID   ident.RequestID
	Tier ident.Tier
	// Rank is the tier of the route; it decides among accounts of one tier.
	RouteTier ident.Tier
	// At is the arrival at this router.
	Arrived time.Time
	// Due is the latest time of the first event of an answer that is on time.
	FirstEventDue time.Time
	// End is the time after which no answer is of use. End is not before Due.
	Deadline time.Time
	// Begun is true when a part of the answer was delivered; the job goes first and is never refused
	// before End.
	AnswerStarted bool
	// Prompt and Output are the expected sizes; both zero for plain services. Stride is the number of tokens
	// in an event.
	Prompt, Output ident.Tokens
	Stride         int
	// Avoid lists targets that failed the request.
	Avoid []ident.TargetID
	// Apart is true for a job that goes to a target that is apart. It is false afterwards if none had room.
	Canary bool
	// turn is the arrival, put off for long jobs; see wait.go.
	orderTime time.Time
}

// Target is a member of the pool.
type Target struct {
	ID     ident.TargetID
	Centre ident.DataCentre
	Region ident.Region
	// Slots is the number of requests that run at a time, at least 1.
	Slots int
	// Apart is true for a target that gets only jobs that are apart, as its version is on trial or was
	// taken back.
	CanaryOnly bool
}

// Placement sends a job to a target.
type Placement struct {
	Job    *Job
	Target ident.TargetID
	// Load is the number of requests at the target by this router and by the others, the job left out.
	OwnJobs, OtherJobs int
	// Expected is the estimated time to the first event.
	ExpectedFirstEvent time.Duration
}

// Refusal turns a job away; it has not run.
type Refusal struct {
	Job *Job
	// Ahead is the number of waiting jobs that go first.
	JobsAhead int
	// Expected is the estimated time until the job would have been placed.
	ExpectedWait time.Duration
	// After is the time after which a new try makes sense.
	RetryAfter time.Duration
}

// Pool holds the waiting and running jobs of one router for one service. It is not safe for concurrent use.
type Pool struct {
	self    ident.ProcessID
	centre  ident.DataCentre
	region  ident.Region
	targets map[ident.TargetID]*target
	// order lists the targets by id, so that decisions do not depend on the order of a map.
	sorted  []*target
	waiting []*Job
	peers   map[ident.ProcessID]report
	// starts counts all placements.
	placements rateCounter
	classes    map[class]*classStats
	// lag is the interval between reports; eager is the number of routers with waiting jobs, this one
	// included; demand is the mean number of own jobs as of averaged; divided is the time of the last
	// division of slots, and sharers the number of other routers in it.
	reportInterval time.Duration
	waitingRouters int
	demand         float64
	demandAt       time.Time
	dividedAt      time.Time
	dividedPeers   int
	// gap is the mean time between events over the targets.
	meanEventGap time.Duration
	// running is the number of own jobs at all targets. usable are the targets that could take a job when Next
	// began.
	running int
	usable  []*target
}

// New returns an empty pool for the router self in the given data centre and region.
func New(self ident.ProcessID, c ident.DataCentre, r ident.Region) *Pool {
	return &Pool{
		self: self, reportInterval: initialReportInterval, waitingRouters: 1, centre: c, region: r, targets: map[ident.TargetID]*target{}, peers: map[ident.ProcessID]report{}, classes: map[class]*classStats{},
	}
}

// Put adds a target or changes it. With fresh it was started again, and nothing learnt of it holds.
func (p *Pool) Put(t Target, fresh bool) {
	old, ok := p.targets[t.ID]
	if ok && !fresh {
		old.Target, old.draining, old.missing = t, false, false
		return
	}
	n := newTarget(t)
	n.hash = xxhash.Sum64String(string(p.self) + "/" + string(t.ID))
	if ok {
		n.runs = old.runs
		n.pendingPrompt = old.pendingPrompt
		p.sorted = slices.DeleteFunc(p.sorted, func(x *target) bool { return x == old })
	}
	p.targets[t.ID] = n
	at, _ := slices.BinarySearchFunc(p.sorted, n, byID)
	p.sorted = slices.Insert(p.sorted, at, n)
	p.sumPeerLoads(n)
	p.dividedAt = time.Time{}
}

// Change takes over changed properties of a target, or adds it. What is learnt of it, and a doubt, stay.
func (p *Pool) Update(t Target) {
	if old, ok := p.targets[t.ID]; ok {
		old.Target, old.draining = t, false
		return
	}
	p.Put(t, true)
}

// Leave stops new placements on a target; its running jobs end as usual.
func (p *Pool) Drain(id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.draining = true
		p.removeDrained(t)
	}
}

// Doubt makes a target the last choice until Put or Leave.
func (p *Pool) MarkMissing(id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.missing = true
	}
}

// Add makes a job wait.
func (p *Pool) Add(j *Job) {
	j.orderTime = j.Arrived.Add(p.deferral(j))
	p.waiting = append(p.waiting, j)
	p.statsOf(arrivalClass(j)).recordArrival(j)
}

// Remove takes a job out of the waiting ones; it reports whether the job waited.
func (p *Pool) Remove(j *Job) bool {
	i := slices.Index(p.waiting, j)
	if i < 0 {
		return false
	}
	p.waiting = slices.Delete(p.waiting, i, i+1)
	return true
}

// Waiting returns the number of waiting jobs.
func (p *Pool) Waiting() int { return len(p.waiting) }

// First records the first event of the job's answer.
func (p *Pool) FirstEvent(now time.Time, id ident.TargetID, j *Job) {
	if t, ok := p.targets[id]; ok {
		t.firstEvent(now, j)
	}
}

// Outcome is the end of a job at a target.
type Outcome struct {
	// Failed is true when the target failed; not when it refused the job, or the caller left.
	Failed bool
	// Unreachable is true when no connection could be opened.
	Unreachable bool
	// Replaced is true when another target has the address.
	Replaced bool
	// Full is true when the target refused the job, which then has not run.
	Full bool
	// Gap is the mean time between two events; zero if there were not enough.
	Gap time.Duration
}

// Done records that a job no longer runs at a target.
func (p *Pool) Done(now time.Time, id ident.TargetID, j *Job, o Outcome) {
	t, ok := p.targets[id]
	if !ok {
		return
	}
	if t.done(now, j, o) {
		p.running--
	}
	p.updateEventGap()
	p.removeDrained(t)
}

// Next places waiting jobs on targets with room, and turns away those that cannot be served in time.
func (p *Pool) Schedule(now time.Time) (placed []Placement, refused []Refusal) {
	if len(p.waiting) == 0 {
		return nil, nil
	}
	need := p.minBaseLatency()
	p.sortWaiting(now, need)
	p.collectUsable(now)
	kept := p.waiting[:0]
	var last class
	same := 0
	for _, j := range p.waiting {
		k := classOf(now, need, j)
		if k != last {
			last, same = k, 0
		}
		t, expected := p.place(now, j)
		if t != nil {
			placed = append(placed, Placement{Job: j, Target: t.ID, OwnJobs: len(t.runs), OtherJobs: t.peerJobs, ExpectedFirstEvent: expected})
			p.countBorrowed(now, t)
			t.start(now, j)
			p.running++
			p.countPlacement(now, k)
			continue
		}
		if r, ok := p.refuse(now, j, k, len(kept), same); ok {
			refused = append(refused, r)
			p.statsOf(arrivalClass(j)).refusals.add(now)
			continue
		}
		kept = append(kept, j)
		same++
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return placed, refused
}

// started counts a placement.
func (p *Pool) countPlacement(now time.Time, k class) {
	p.placements.add(now)
	p.statsOf(k).placements.add(now)
}

// prune forgets a leaving target without running jobs.
func (p *Pool) removeDrained(t *target) {
	if t.draining && len(t.runs) == 0 {
		delete(p.targets, t.ID)
		p.sorted = slices.DeleteFunc(p.sorted, func(x *target) bool { return x == t })
	}
}
