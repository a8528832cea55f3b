package sched

import (
	"cmp"
	"time"

	"github.com/cespare/xxhash/v2"

	"hickoryvane.example/core/ident"
)

const (
	// baseStart and rateStart are the time to a first event without the prompt, and the tokens of prompt
	// read per second, until they are learnt from the first answers.
	initialBaseLatency = 50 * time.Millisecond
	initialPromptRate  = 100_000.0
	// learnt is the weight of a new sample.
	sampleWeight = 0.2
	// promptMin is the smallest prompt from which the reading speed is learnt; with shorter ones the time
	// is mostly that of the first token.
	promptMin ident.Tokens = 1000
	// restFirst, restDown and restMax bound the time for which a target gets no jobs that fails or cannot
	// be reached; it doubles with each failure in a row. Targets take some seconds to start again, and a
	// registration outlives its target by three heartbeats.
	failBackoff = 250 * time.Millisecond
	downBackoff = 500 * time.Millisecond
	backoffMax  = 2 * time.Second
	// fullRest is the time for which a target that refused a job as full gets no jobs: about the time in
	// which a running request ends.
	fullBackoff = 50 * time.Millisecond
	// failMin is the number of failures in a row after which a target rests.
	failMin = 3
)

// run is a job at a target.
type run struct {
	job  *Job
	sent time.Time
	// ahead is the unread prompt text of the target when the job was sent.
	promptAhead ident.Tokens
	// begun is true once the first event arrived.
	answering bool
}

type target struct {
	Target
	draining bool
	// doubted targets are the last choice.
	missing bool
	runs    []run
	// unread is the prompt text of own jobs without a first event.
	pendingPrompt ident.Tokens
	// others and othersUnread are the jobs and the unread prompt text of the other routers.
	peerJobs          int
	peerPendingPrompt ident.Tokens
	// hash differs between routers, so that they take free slots in different intervals.
	hash uint64
	// offset shifts the division of the slots, so that rounding favours other routers at each target.
	offset float64
	// own is this router's part of the slots; claimed are free slots that others are about to fill. taken
	// counts the placements beyond the own part in the interval turn.
	allotted, peerUnfilled int
	borrowInterval         int64
	borrowed               int
	// base is the time to a first event without the prompt; rate is the reading speed in tokens/s.
	baseLatency time.Duration
	promptRate  float64
	// gap is the time between events; zero until it is known.
	eventGap time.Duration
	// fails counts failures in a row; no job is placed before rest.
	failures     int
	backoffUntil time.Time
	// downAt is the time at which this router last found the target down.
	downAt time.Time
}

func newTarget(t Target) *target {
	return &target{Target: t, baseLatency: initialBaseLatency, promptRate: initialPromptRate, offset: fraction(xxhash.Sum64String(string(t.ID)))}
}

func byID(a, b *target) int { return cmp.Compare(a.ID, b.ID) }

// room returns the number of jobs that the target can still take.
func (t *target) freeSlots() int { return t.Slots - t.jobs() }

// jobs returns the number of jobs of all routers.
func (t *target) jobs() int { return len(t.runs) + t.peerJobs }

// expected estimates the time to the first event of a job sent now.
func (t *target) expectedFirstEvent(j *Job) time.Duration {
	unread := float64(t.pendingPrompt + t.peerPendingPrompt + j.Prompt)
	return t.baseLatency + time.Duration(unread/t.promptRate*float64(time.Second))
}

// silent reports whether a job waits for its first event much longer than expected.
func (t *target) silent(now time.Time) bool {
	for _, r := range t.runs {
		read := time.Duration(float64(r.promptAhead+r.job.Prompt) / t.promptRate * float64(time.Second))
		if !r.answering && now.Sub(r.sent) > max(shortestSilence, silenceFactor*(t.baseLatency+read)) {
			return true
		}
	}
	return false
}

func (t *target) start(now time.Time, j *Job) {
	t.runs = append(t.runs, run{job: j, sent: now, promptAhead: t.pendingPrompt + t.peerPendingPrompt})
	t.pendingPrompt += j.Prompt
}

func (t *target) runIndex(j *Job) int {
	for i := range t.runs {
		if t.runs[i].job == j {
			return i
		}
	}
	return -1
}

func (t *target) firstEvent(now time.Time, j *Job) {
	i := t.runIndex(j)
	if i < 0 || t.runs[i].answering {
		return
	}
	r := &t.runs[i]
	r.answering = true
	t.pendingPrompt -= j.Prompt
	t.failures = 0
	t.learnFirstEvent(now.Sub(r.sent), r.promptAhead, j.Prompt)
}

// learn splits the time to a first event into the base and the reading of the prompt.
func (t *target) learnFirstEvent(took time.Duration, ahead, prompt ident.Tokens) {
	if prompt >= promptMin {
		if read := took - t.baseLatency; read > 0 {
			sample := float64(prompt+ahead/2) / read.Seconds()
			t.promptRate += sampleWeight * (min(sample, 4*t.promptRate) - t.promptRate)
		}
		return
	}
	read := time.Duration(float64(prompt+ahead/2) / t.promptRate * float64(time.Second))
	t.baseLatency += time.Duration(sampleWeight * float64(max(took-read, time.Millisecond)-t.baseLatency))
}

// done records the end of a job; ok is false if it did not run here.
func (t *target) done(now time.Time, j *Job, o Outcome) (ok bool) {
	i := t.runIndex(j)
	if i < 0 {
		return false
	}
	if !t.runs[i].answering {
		t.pendingPrompt -= j.Prompt
	}
	t.runs = append(t.runs[:i], t.runs[i+1:]...)
	if o.Gap > 0 {
		if t.eventGap == 0 {
			t.eventGap = o.Gap
		}
		t.eventGap += time.Duration(sampleWeight * float64(o.Gap-t.eventGap))
	}
	switch {
	case o.Full:
		t.backoffUntil = later(t.backoffUntil, now.Add(fullBackoff))
	case o.Replaced:
		t.markDown(now, backoffMax)
	case o.Unreachable:
		t.failures++
		t.markDown(now, min(downBackoff<<min(t.failures-1, 8), backoffMax))
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

// learnGap averages the time between events over the targets.
func (p *Pool) updateEventGap() {
	var sum time.Duration
	n := 0
	for _, t := range p.sorted {
		if t.eventGap > 0 {
			sum += t.eventGap
			n++
		}
	}
	if n > 0 {
		p.meanEventGap = sum / time.Duration(n)
	}
}

// down makes the target rest after this router found that it cannot be reached or is another one.
func (t *target) markDown(now time.Time, d time.Duration) {
	t.backoffUntil, t.downAt = later(t.backoffUntil, now.Add(d)), now
}
