package sched

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
)

const (
	// initialBaseLatency and initialPromptRate are the time to a first event without the prompt, and the prompt
	// tokens read per second, until they are learnt from the first answers.
	initialBaseLatency = 50 * time.Millisecond
	initialPromptRate  = 100_000.0
	// sampleWeight is the weight of a new sample in a moving average.
	sampleWeight = 0.2
	// promptMin is the shortest prompt from which the prompt rate is learnt; with shorter ones most of the time
	// is spent on the first token.
	promptMin ident.Tokens = 1000
	// A target that fails or cannot be reached gets no jobs for a back-off time, which starts at failBackoff or
	// downBackoff, doubles with each consecutive failure, and is at most backoffMax. Targets take some seconds
	// to restart, and a registration outlives its target by three heartbeats.
	failBackoff = 250 * time.Millisecond
	downBackoff = 500 * time.Millisecond
	backoffMax  = 2 * time.Second
	// fullBackoff is the time for which a target that refused a job as full gets no jobs: about the time until a
	// running request ends.
	fullBackoff = 50 * time.Millisecond
	// failMin is the number of consecutive failures after which a target gets a back-off time.
	failMin = 3
)

// run is a job at a target.
type run struct {
	job  *Job
	sent time.Time
	// promptAhead is the pending prompt of the target when the job was sent.
	promptAhead ident.Tokens
	// answering is true once the first event arrived.
	answering bool
	// start is that of the target when the job was sent; held is the part of the prompt that it was estimated to hold.
	start prefix.Start
	held  ident.Tokens
}

// target is the state that this router keeps of one target.
type target struct {
	Target
	draining bool
	// missing is true while the registration is missing; such targets are the last choice.
	missing bool
	runs    []run
	// pendingPrompt is what own jobs without a first event have to read of their prompts.
	pendingPrompt ident.Tokens
	// peerJobs and peerPendingPrompt are the jobs of the other routers and their pending prompt.
	peerJobs          int
	peerPendingPrompt ident.Tokens
	// held is the memory taken by own jobs, peerHeld that of the other routers as last reported.
	held, peerHeld ident.Tokens
	// memoryPart is this router's part of the usable memory and memoryRank its rank among the routers, from 0, computed
	// for the version of the pool's sharers and the number of slots that rankedVersion and rankedSlots state.
	memoryPart    float64
	memoryRank    int
	rankedVersion uint64
	rankedSlots   int
	// hash differs between routers, so that they borrow free slots in different intervals.
	hash uint64
	// offset shifts the division of the slots, so that rounding favours different routers at each target.
	offset float64
	// allotted is this router's share of the slots; peerUnfilled is the number of free slots that other routers
	// are about to fill. borrowed counts the placements beyond the share in the report interval with the number
	// borrowInterval.
	allotted, peerUnfilled int
	borrowInterval         int64
	borrowed               int
	// baseLatency is the time to a first event without the prompt; promptRate is the number of prompt tokens
	// read per second. Both are estimates; see speed.go. own is what this router has measured.
	baseLatency time.Duration
	promptRate  float64
	own         ownSpeed
	// eventGap is the time between events; zero until it is known. observed is true once this router has measured it
	// itself; until then it is what another router reported.
	eventGap time.Duration
	observed bool
	// steadyGap is what this router has measured of the same without silences; zero before that.
	steadyGap time.Duration
	// rate is nil unless the target has stated one.
	rate *rate
	// failures counts consecutive failures; no job is placed before backoffUntil.
	failures     int
	backoffUntil time.Time
	// downAt is the time at which this router last found the target down. foundDownByAny is true if it or another router
	// did and no answer has come since.
	downAt         time.Time
	foundDownByAny bool
	// aliveFrom and aliveTo are the times at which the last request that was answered was sent and answered.
	aliveFrom, aliveTo time.Time
	// pause is the time for which the target wants no jobs; see pause.go. placements counts the recent placements of
	// this router.
	pause      pause
	placements rateCounter
}

func newTarget(t Target) *target {
	return &target{Target: t, baseLatency: initialBaseLatency, promptRate: initialPromptRate, offset: fraction(xxhash.Sum64String(string(t.ID)))}
}

func byID(a, b *target) int { return cmp.Compare(a.ID, b.ID) }

// freeSlots returns the number of jobs that the target can still accept.
func (t *target) freeSlots() int { return t.Slots - t.jobs() }

// jobs returns the number of jobs of all routers.
func (t *target) jobs() int { return len(t.runs) + t.peerJobs }

// expectedFirstEvent estimates the time to the first event of a job sent now.
func (t *target) expectedFirstEvent(j *Job) time.Duration {
	pending := float64(t.pendingPrompt + t.peerPendingPrompt + j.Prompt)
	return t.baseLatency + time.Duration(pending/t.promptRate*float64(time.Second))
}

// silent reports whether a job has waited for its first event much longer than expected.
func (t *target) silent(now time.Time) bool {
	for _, r := range t.runs {
		read := time.Duration(float64(r.promptAhead+r.job.Prompt) / t.promptRate * float64(time.Second))
		if !r.answering && now.Sub(r.sent) > max(shortestSilence, silenceFactor*(t.baseLatency+read)) {
			return true
		}
	}
	return false
}

func (t *target) start(now time.Time, j *Job, held ident.Tokens) {
	j.running++
	t.runs = append(t.runs, run{job: j, sent: now, promptAhead: t.pendingPrompt + t.peerPendingPrompt, start: t.Start, held: held})
	t.pendingPrompt += j.Prompt - held
	t.held += j.tokens()
}

func (t *target) runIndex(j *Job) int {
	for i := range t.runs {
		if t.runs[i].job == j {
			return i
		}
	}
	return -1
}

func (t *target) firstEvent(j *Job) {
	i := t.runIndex(j)
	if i < 0 || t.runs[i].answering {
		return
	}
	r := &t.runs[i]
	r.answering = true
	t.pendingPrompt -= j.Prompt - r.held
	t.failures, t.foundDownByAny = 0, false
}

// learnGap updates the time between events with a sample, which may be zero.
func (t *target) learnGap(gap time.Duration) {
	if gap <= 0 {
		return
	}
	if !t.observed || t.eventGap == 0 {
		t.eventGap = gap
	}
	t.observed = true
	t.eventGap += time.Duration(sampleWeight * float64(gap-t.eventGap))
}

// done records the end of a job; ok is false if it did not run here.
func (t *target) done(now time.Time, j *Job, o Outcome) (ok bool) {
	i := t.runIndex(j)
	if i < 0 {
		return false
	}
	if !t.runs[i].answering {
		t.pendingPrompt -= j.Prompt - t.runs[i].held
	}
	t.held -= j.tokens()
	t.runs = append(t.runs[:i], t.runs[i+1:]...)
	j.running--
	t.learnGap(o.Gap)
	t.learnSteadyGap(o.steadyGap())
	switch {
	case o.Full:
		t.backoffUntil = later(t.backoffUntil, now.Add(fullBackoff))
	case o.Replaced:
		t.markDown(now, backoffMax)
	case o.Unreachable:
		t.foundDown(now)
	case o.Failed:
		t.failures++
		if t.failures >= failMin {
			t.backoffUntil = later(t.backoffUntil, now.Add(min(failBackoff<<min(t.failures-failMin, 8), backoffMax)))
		}
	}
	return true
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// updateEventGap updates the mean and the shortest time between events over the targets, and the estimates of their speeds.
func (p *Pool) updateEventGap() {
	var sum, shortest time.Duration
	n := 0
	for _, t := range p.sorted {
		if f := p.facts(t); t.eventGap <= 0 || !f.Open() || f.Missing {
			continue
		}
		sum += t.eventGap
		n++
		if shortest == 0 || t.eventGap < shortest {
			shortest = t.eventGap
		}
	}
	if n > 0 {
		p.meanEventGap, p.shortestEventGap = sum/time.Duration(n), shortest
	}
	for _, t := range p.sorted {
		p.estimateSpeed(t)
	}
}

// foundDown records that the target cannot be reached. The back-off time doubles with each time in a row.
func (t *target) foundDown(now time.Time) {
	t.failures++
	t.markDown(now, min(downBackoff<<min(t.failures-1, 8), backoffMax))
}

// markDown starts a back-off time after this router found that the target cannot be reached or was replaced by
// another one.
func (t *target) markDown(now time.Time, d time.Duration) {
	t.backoffUntil, t.downAt, t.foundDownByAny = later(t.backoffUntil, now.Add(d)), now, true
}
