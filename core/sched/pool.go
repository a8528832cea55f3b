// Package sched is the scheduler of a router for the targets of one service: it orders waiting requests, refuses
// those that cannot be served in time, and places the others on targets. Targets know no tiers and admit
// requests in the order of arrival, so requests wait at the routers, and a target is sent only as many as it
// runs at a time.
//
// A router that sends requests to targets itself, without agents (router/direct), has one Pool per service. The
// pools of the routers that exchange reports divide the slots of the targets among themselves.
package sched

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/recent"
)

// Job is a request that waits for a target or runs on one.
type Job struct {
	ID   ident.RequestID
	Tier ident.Tier
	// RouteTier is the tier of the route; it orders requests of accounts of the same tier.
	RouteTier ident.Tier
	// Arrived is the time of arrival at this router.
	Arrived time.Time
	// FirstEventDue is the latest time at which the first event of an answer is on time.
	FirstEventDue time.Time
	// Deadline is the time after which no answer is of use. It is not before FirstEventDue.
	Deadline time.Time
	// AnswerStarted is true when a part of the answer was already delivered; the job is placed before all others
	// and is not refused before its deadline.
	AnswerStarted bool
	// Prompt and Output are the expected lengths in tokens; both zero for plain services. Stride is the number of
	// tokens in an event.
	Prompt, Output ident.Tokens
	// OutputMax is the longest answer that the caller allows, in tokens; zero if it states none.
	OutputMax ident.Tokens
	Stride    int
	// Deferral is the time by which the job goes behind others of its class; see core/fair.
	Deferral time.Duration
	// Parts are the parts of the prompt that other prompts may have in common, in their order.
	Parts []prefix.Part
	// Stream is true if the answer is a stream of events.
	Stream bool
	// GapGoal is the longest time between two events of an answer that is on time; zero means no limit.
	GapGoal time.Duration
	// Homes are the regions whose targets may serve the job.
	Homes avail.Homes
	// Avoid lists targets that failed the request.
	Avoid []ident.TargetID
	// Canary is true for a job that goes to a canary target. Placing the job clears it if no canary target had a
	// free slot.
	Canary bool
	// Prefer lists canary targets that a canary job goes to first, if one of them is idle.
	Prefer []ident.TargetID
	// MaxIdle is the idle time up to which a connection to a target may be reused for the job; zero if none may.
	MaxIdle time.Duration
	// running is the number of targets at which the job runs.
	running int
	// orderTime is the arrival time plus the deferral of long jobs; see wait.go.
	orderTime time.Time
	// class and late are those of the job while it waits, as of the last Schedule.
	class class
	late  bool
	// chain identifies the Parts; see prefix.go.
	chain []prefix.Link
}

// Target is a member of the pool.
type Target struct {
	ID     ident.TargetID
	Centre ident.DataCentre
	Region ident.Region
	// Slots is the number of requests that the target runs at a time, at least 1.
	Slots int
	// Memory is the number of tokens that the prompts and answers of the running requests may take; zero means that it is
	// not known. MemoryLimited is true if the target terminates beyond it; other targets preempt requests.
	Memory        ident.Tokens
	MemoryLimited bool
	// Start identifies what the target holds of prompts, which is lost with a restart.
	Start prefix.Start
	// CanaryOnly is true for a target that gets only canary jobs because its version is a canary or was rolled
	// back.
	CanaryOnly bool
	// RateShare is the fraction of a stated rate that belongs to the routers of this cell; zero means all of it.
	RateShare float64
}

// Placement assigns a job to a target.
type Placement struct {
	Job    *Job
	Target ident.TargetID
	// OwnJobs and OtherJobs are the numbers of requests at the target from this router and from the others,
	// without this job.
	OwnJobs, OtherJobs int
	// ExpectedFirstEvent is the estimated time to the first event.
	ExpectedFirstEvent time.Duration
	// Prefix is the part of the decision that depends on what the target holds of the prompt.
	Prefix PrefixGain
}

// Refusal reports that a job was refused; the job has not run.
type Refusal struct {
	Job *Job
	// JobsAhead is the number of waiting jobs that precede this one.
	JobsAhead int
	// ExpectedWait is the estimated time until the job would have been placed.
	ExpectedWait time.Duration
	// RetryAfter is the time after which a retry makes sense.
	RetryAfter time.Duration
	// Stopping is true if no target would end the job before the router stops; the fields above are zero then.
	Stopping bool
	// Untargeted is true if no target takes jobs before RetryAfter has passed.
	Untargeted bool
}

// Pool holds the waiting and running jobs of one router for one service. It is not safe for concurrent use.
type Pool struct {
	self    ident.ProcessID
	centre  ident.DataCentre
	region  ident.Region
	targets map[ident.TargetID]*target
	// sorted lists the targets by id, so that decisions do not depend on the iteration order of a map.
	sorted  []*target
	waiting []*Job
	peers   map[ident.ProcessID]report
	// placements counts the recent placements of all classes.
	placements rateCounter
	classes    map[class]*classStats
	// reportInterval is the interval between reports; waitingRouters is the number of routers with waiting jobs,
	// including this one; demand is the mean number of own waiting and running jobs as of demandAt; dividedAt is
	// the time of the last division of slots, and dividedPeers the number of other routers in it.
	reportInterval time.Duration
	waitingRouters int
	demand         float64
	demandAt       time.Time
	dividedAt      time.Time
	dividedPeers   int
	// meanEventGap is the mean time between events over the targets, shortestEventGap that of the fastest one, and
	// shortestLatency the shortest time to a first event; see finish.go.
	meanEventGap, shortestEventGap, shortestLatency time.Duration
	// speed is what was learnt of the speed of all targets; see speed.go.
	speed poolSpeed
	// pauses is what was learnt of pauses within streams; see ontime.go.
	pauses pauseStats
	// split is true while long and short answers are separated, by meanDuration; see ratesplit.go.
	split        bool
	meanDuration time.Duration
	// demandShare is this router's part of the demand of all routers.
	demandShare float64
	// spareSlots is the number of free slots beyond those that waiting jobs need, as of the last Schedule.
	spareSlots int
	// lateRoom is the number of free slots that late jobs may take, as of the last Schedule.
	lateRoom int
	// running is the number of own jobs at all targets. usable lists the targets that could accept a job when
	// Schedule began.
	running int
	usable  []*target
	// ahead lists the targets at which a job of the highest classes may wait, up to lastAhead if anyAhead is true; see
	// ahead.go.
	ahead     []*target
	lastAhead class
	anyAhead  bool
	// known is the result of facts.
	known avail.Facts
	// evacuated are the data centres whose targets get no jobs.
	evacuated []ident.DataCentre
	// cold holds the targets that are cold, also those not in the pool; see cold.go. routers are the other routers that
	// may send to them, counted by routersVersion; routersComplete is true once all are known.
	cold map[ident.TargetID]*coldState
	// firstCold is the time at which this router first met a cold target.
	firstCold       time.Time
	coldLimits      ColdLimits
	routers         []ident.ProcessID
	routersVersion  uint64
	routersComplete bool
	// stopAt is the time at which the router stops; zero while it does not. See ending.go.
	stopAt time.Time
	// silences is what was learnt of targets that fall silent; see silence.go.
	silences silenceStats
	// stated is what removed targets stated of themselves; see stated.go.
	stated recent.Map[ident.TargetID, stated]
	// sharers are the other routers between which the memory of the targets is divided, in the order of their hashes;
	// sharersVersion counts their changes. See memory.go.
	sharers        []sharer
	sharersVersion uint64
	// prefixes is nil if placements do not depend on what targets hold of prompts. gain belongs to the last result of
	// bestTarget. See prefix.go.
	prefixes *prefix.Model
	gain     PrefixGain
	// connections is nil if they are not known.
	connections Connections
}

// New returns an empty pool for the router self in the given data centre and region.
func New(self ident.ProcessID, c ident.DataCentre, r ident.Region, opts ...Option) *Pool {
	p := &Pool{
		self: self, reportInterval: initialReportInterval, waitingRouters: 1, demandShare: 1, centre: c, region: r, targets: map[ident.TargetID]*target{}, peers: map[ident.ProcessID]report{}, classes: map[class]*classStats{}, cold: map[ident.TargetID]*coldState{},
		speed: poolSpeed{errors: newErrorStats()}, stated: newStated(),
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Put adds or replaces a target. If fresh is true, the target was restarted and what was learnt about it is
// discarded.
func (p *Pool) Put(t Target, fresh bool) {
	old, ok := p.targets[t.ID]
	p.setPrefixTarget(t, fresh)
	if ok && !fresh {
		old.Target, old.draining, old.missing = t, false, false
		return
	}
	n := newTarget(t)
	n.hash = xxhash.Sum64String(string(p.self) + "/" + string(t.ID))
	p.restoreStated(n, old)
	if ok {
		n.runs = old.runs
		n.pendingPrompt, n.held = old.pendingPrompt, old.held
		p.sorted = slices.DeleteFunc(p.sorted, func(x *target) bool { return x == old })
	}
	p.targets[t.ID] = n
	i, _ := slices.BinarySearchFunc(p.sorted, n, byID)
	p.sorted = slices.Insert(p.sorted, i, n)
	p.sumPeerLoads(n)
	p.dividedAt = time.Time{}
}

// Update replaces the properties of a target or adds the target. What was learnt about it and a missing
// registration are kept.
func (p *Pool) Update(t Target) {
	if old, ok := p.targets[t.ID]; ok {
		old.Target, old.draining = t, false
		p.setPrefixTarget(t, false)
		return
	}
	p.Put(t, true)
}

// Drain stops new placements on a target; its running jobs end as usual.
func (p *Pool) Drain(id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.draining = true
		p.removeDrained(t)
	}
}

// SetEvacuated sets the data centres whose targets get no new jobs; jobs that run there end as usual. Targets of a data
// centre that is not evacuated any more are cold.
func (p *Pool) SetEvacuated(now time.Time, centres []ident.DataCentre) {
	for _, t := range p.sorted {
		if slices.Contains(p.evacuated, t.Centre) && !slices.Contains(centres, t.Centre) {
			p.MarkCold(now, t.ID, p.coldLimits.Time, avail.FromEvacuation)
		}
	}
	p.evacuated = slices.Clone(centres)
	p.updateEventGap()
}

// Accepts reports whether a target still takes a job that was placed on it.
func (p *Pool) Accepts(now time.Time, id ident.TargetID) bool {
	t, ok := p.targets[id]
	if !ok {
		return false
	}
	return p.facts(t).Accepts(now)
}

// InUse returns the number of targets that jobs are placed on and that were not found down since their last answer, nor are silent.
func (p *Pool) InUse(now time.Time) (n int) {
	for _, t := range p.sorted {
		if p.status(now, t).InUse() {
			n++
		}
	}
	return n
}

// MarkMissing makes a target whose registration is missing the last choice until Put or Drain.
func (p *Pool) MarkMissing(id ident.TargetID) {
	if t, ok := p.targets[id]; ok {
		t.missing = true
	}
}

// Add adds a job to the waiting jobs.
func (p *Pool) Add(j *Job) {
	p.setChain(j)
	j.orderTime = j.Arrived.Add(p.deferral(j) + j.Deferral)
	p.learnDuration(j)
	p.waiting = append(p.waiting, j)
	p.statsOf(arrivalClass(j)).recordArrival(j)
}

// Remove removes a waiting job and reports whether the job was waiting.
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

// FirstEvent records the first event of the job's answer.
func (p *Pool) FirstEvent(now time.Time, id ident.TargetID, j *Job) {
	t, ok := p.targets[id]
	if !ok {
		return
	}
	p.recordRead(now, t, j)
	i := t.runIndex(j)
	if i >= 0 {
		p.recordAnswer(now, t, t.runs[i].sent)
	}
	if i >= 0 && !t.runs[i].answering {
		r := t.runs[i]
		if j.Stream {
			p.silences.recordStart(now.Sub(r.sent), seconds(endingFirstFactor*t.expectedFirstEvent(j).Seconds()))
		}
		p.learnFirstEvent(t, now.Sub(r.sent), r.promptAhead, j, j.Prompt-r.held)
	}
	t.firstEvent(j)
}

// Outcome is the result of a job at a target.
type Outcome struct {
	// Failed is true when the target failed; not when it refused the job or the client disconnected.
	Failed bool
	// Unreachable is true when no connection could be opened, Refused when the target's host refused it.
	Unreachable, Refused bool
	// Lost is true when the connection ended before the answer.
	Lost bool
	// Replaced is true when another target has taken over the address.
	Replaced bool
	// Full is true when the target refused the job, which then has not run.
	Full bool
	// Gap is the mean time between two events; zero if there were too few.
	Gap time.Duration
	// Events is the number of events of a complete answer; zero if the answer is incomplete or began elsewhere.
	Events int
	// Pauses is the number of times between two events that were longer than the job's GapGoal.
	Pauses int
	// Streamed is the time from the first event of a stream to its end, and Silence the longest part of it without an
	// event; zero for other answers. Neither depends on whether the answer is complete.
	Streamed, Silence time.Duration
	// Resumed is the longest time between two events of a stream: a silence after which the target went on.
	Resumed time.Duration
	// Complete is true for a complete answer that is not a stream.
	Complete bool
}

// Done records that a job no longer runs at a target.
func (p *Pool) Done(now time.Time, id ident.TargetID, j *Job, o Outcome) {
	t, ok := p.targets[id]
	if !ok {
		return
	}
	i := t.runIndex(j)
	if i >= 0 && o.Complete {
		p.recordDuration(j, now.Sub(t.runs[i].sent))
	}
	if o.Unreachable || o.Replaced {
		p.prefixes.Lose(id)
	}
	switch {
	case o.Refused:
		p.suspectRestart(now, t, signRefused)
	case o.Unreachable:
		p.suspectRestart(now, t, signTimeout)
	case o.Lost:
		p.suspectRestart(now, t, signLost)
	case i >= 0 && o.Full:
		p.recordAnswer(now, t, t.runs[i].sent)
	}
	if t.done(now, j, o) {
		p.running--
		p.recordLength(j, o.Events)
		p.recordPauses(t, j, o)
		p.silences.record(o)
	}
	p.updateEventGap()
	p.removeDrained(t)
}

// PlaceElsewhere places a job that runs at a target also at another one, if one has a free slot and is not silent. The
// caller then ends the job at the first target.
func (p *Pool) PlaceElsewhere(now time.Time, j *Job, from ident.TargetID) (Placement, bool) {
	p.shortestLatency = p.minBaseLatency()
	p.collectUsable(now)
	p.usable = slices.DeleteFunc(p.usable, func(t *target) bool {
		return t.ID == from || slices.Contains(j.Avoid, t.ID) || p.riskLevel(now, t, 1) >= riskSilent
	})
	p.ahead = p.ahead[:0] // only free slots count here, and the list may hold targets that were replaced
	t, firstEvent := p.bestTarget(now, j)
	if t == nil {
		return Placement{}, false
	}
	return p.begin(now, t, j, firstEvent), true
}

// MarkDown records that a target was found down without a job being sent there.
func (p *Pool) MarkDown(now time.Time, id ident.TargetID) {
	if t, ok := p.targets[id]; ok && !now.Before(t.backoffUntil) {
		t.foundDown(now)
		p.prefixes.Lose(id)
		p.suspectRestart(now, t, signRefused)
	}
}

// Release frees the slot of a job that was placed on a target but not sent there.
func (p *Pool) Release(now time.Time, id ident.TargetID, j *Job) { p.Done(now, id, j, Outcome{}) }

// begin records that a job is placed on a target.
func (p *Pool) begin(now time.Time, t *target, j *Job, firstEvent time.Duration) Placement {
	d := Placement{Job: j, Target: t.ID, OwnJobs: len(t.runs), OtherJobs: t.peerJobs, ExpectedFirstEvent: firstEvent, Prefix: p.gain}
	p.countBorrowed(now, t)
	p.countRate(now, t)
	p.countCold(now, t)
	t.countPaced(now)
	t.start(now, j, p.gain.Held)
	p.running++
	return d
}

// Schedule places waiting jobs on targets with free slots and refuses those that cannot be served in time.
func (p *Pool) Schedule(now time.Time) (placed []Placement, refused []Refusal) {
	if len(p.waiting) == 0 {
		return nil, nil
	}
	p.shortestLatency = p.minBaseLatency()
	p.updateAhead(now)
	p.sortWaiting(now)
	p.collectUsable(now)
	p.collectAhead(now)
	p.updateSplit(now)
	p.spareSlots = p.countSpareSlots(now)
	p.lateRoom = p.countLateRoom(now)
	kept := p.waiting[:0]
	var last class
	sameClass := 0
	for _, j := range p.waiting {
		k := j.class
		if k != last {
			last, sameClass = k, 0
		}
		t, firstEvent := p.place(now, j)
		if t != nil {
			if k.timeliness == overdue {
				p.lateRoom--
			}
			placed = append(placed, p.begin(now, t, j, firstEvent))
			p.countPlacement(now, k)
			continue
		}
		if !p.canEndInTime(now, j) {
			refused = append(refused, Refusal{Job: j, Stopping: true})
			continue
		}
		r, ok, waits := p.refuseUntargeted(now, j, len(kept))
		if !ok && !waits {
			r, ok = p.refuse(now, j, k, len(kept), sameClass)
		}
		if ok {
			refused = append(refused, r)
			p.statsOf(arrivalClass(j)).refusals.add(now)
			continue
		}
		kept = append(kept, j)
		sameClass++
	}
	clear(p.waiting[len(kept):])
	p.waiting = kept
	return placed, refused
}

// countPlacement counts a placement, in total and for its class.
func (p *Pool) countPlacement(now time.Time, k class) {
	p.placements.add(now)
	p.statsOf(k).placements.add(now)
}

// removeDrained removes a draining target without running jobs.
func (p *Pool) removeDrained(t *target) {
	if t.draining && len(t.runs) == 0 {
		p.rememberStated(t)
		delete(p.targets, t.ID)
		p.prefixes.RemoveTarget(t.ID)
		p.sorted = slices.DeleteFunc(p.sorted, func(x *target) bool { return x == t })
	}
}
