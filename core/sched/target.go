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
	baseStart = 50 * time.Millisecond
	rateStart = 100_000.0
	// learnt is the weight of a new sample.
	learnt = 0.2
	// promptMin is the smallest prompt from which the reading speed is learnt; with shorter ones the time
	// is mostly that of the first token.
	promptMin ident.Tokens = 1000
	// restFirst, restDown and restMax bound the time for which a target gets no jobs that fails or cannot
	// be reached; it doubles with each failure in a row. Targets take some seconds to start again, and a
	// registration outlives its target by three heartbeats.
	restFirst = 250 * time.Millisecond
	restDown  = 500 * time.Millisecond
	restMax   = 2 * time.Second
	// fullRest is the time for which a target that refused a job as full gets no jobs: about the time in
	// which a running request ends.
	fullRest = 50 * time.Millisecond
	// failMin is the number of failures in a row after which a target rests.
	failMin = 3
)

// run is a job at a target.
type run struct {
	job  *Job
	sent time.Time
	// ahead is the unread prompt text of the target when the job was sent.
	ahead ident.Tokens
	// begun is true once the first event arrived.
	begun bool
}

type target struct {
	Target
	leaving bool
	// doubted targets are the last choice.
	doubted bool
	runs    []run
	// unread is the prompt text of own jobs without a first event.
	unread ident.Tokens
	// others and othersUnread are the jobs and the unread prompt text of the other routers.
	others       int
	othersUnread ident.Tokens
	// hash differs between routers, so that they take free slots in different intervals.
	hash uint64
	// offset shifts the division of the slots, so that rounding favours other routers at each target.
	offset float64
	// own is this router's part of the slots; claimed are free slots that others are about to fill. taken
	// counts the placements beyond the own part in the interval turn.
	own, claimed int
	turn         int64
	taken        int
	// base is the time to a first event without the prompt; rate is the reading speed in tokens/s.
	base time.Duration
	rate float64
	// gap is the time between events; zero until it is known.
	gap time.Duration
	// fails counts failures in a row; no job is placed before rest.
	fails int
	rest  time.Time
	// downAt is the time at which this router last found the target down.
	downAt time.Time
}

func newTarget(t Target) *target {
	return &target{Target: t, base: baseStart, rate: rateStart, offset: fraction(xxhash.Sum64String(string(t.ID)))}
}

func byID(a, b *target) int { return cmp.Compare(a.ID, b.ID) }

// room returns the number of jobs that the target can still take.
func (t *target) room() int { return t.Slots - t.jobs() }

// jobs returns the number of jobs of all routers.
func (t *target) jobs() int { return len(t.runs) + t.others }

// expected estimates the time to the first event of a job sent now.
func (t *target) expected(j *Job) time.Duration {
	unread := float64(t.unread + t.othersUnread + j.Prompt)
	return t.base + time.Duration(unread/t.rate*float64(time.Second))
}

// silent reports whether a job waits for its first event much longer than expected.
func (t *target) silent(now time.Time) bool {
	for _, r := range t.runs {
		read := time.Duration(float64(r.ahead+r.job.Prompt) / t.rate * float64(time.Second))
		if !r.begun && now.Sub(r.sent) > max(silence, silenceTimes*(t.base+read)) {
			return true
		}
	}
	return false
}

func (t *target) start(now time.Time, j *Job) {
	t.runs = append(t.runs, run{job: j, sent: now, ahead: t.unread + t.othersUnread})
	t.unread += j.Prompt
}

func (t *target) find(j *Job) int {
	for i := range t.runs {
		if t.runs[i].job == j {
			return i
		}
	}
	return -1
}

func (t *target) first(now time.Time, j *Job) {
	i := t.find(j)
	if i < 0 || t.runs[i].begun {
		return
	}
	r := &t.runs[i]
	r.begun = true
	t.unread -= j.Prompt
	t.fails = 0
	t.learn(now.Sub(r.sent), r.ahead, j.Prompt)
}

// learn splits the time to a first event into the base and the reading of the prompt.
func (t *target) learn(took time.Duration, ahead, prompt ident.Tokens) {
	if prompt >= promptMin {
		if read := took - t.base; read > 0 {
			sample := float64(prompt+ahead/2) / read.Seconds()
			t.rate += learnt * (min(sample, 4*t.rate) - t.rate)
		}
		return
	}
	read := time.Duration(float64(prompt+ahead/2) / t.rate * float64(time.Second))
	t.base += time.Duration(learnt * float64(max(took-read, time.Millisecond)-t.base))
}

// done records the end of a job; ok is false if it did not run here.
func (t *target) done(now time.Time, j *Job, o Outcome) (ok bool) {
	i := t.find(j)
	if i < 0 {
		return false
	}
	if !t.runs[i].begun {
		t.unread -= j.Prompt
	}
	t.runs = append(t.runs[:i], t.runs[i+1:]...)
	if o.Gap > 0 {
		if t.gap == 0 {
			t.gap = o.Gap
		}
		t.gap += time.Duration(learnt * float64(o.Gap-t.gap))
	}
	switch {
	case o.Full:
		t.rest = later(t.rest, now.Add(fullRest))
	case o.Replaced:
		t.down(now, restMax)
	case o.Unreachable:
		t.fails++
		t.down(now, min(restDown<<min(t.fails-1, 8), restMax))
	case o.Failed:
		t.fails++
		if t.fails >= failMin {
			t.rest = later(t.rest, now.Add(min(restFirst<<min(t.fails-failMin, 8), restMax)))
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
func (p *Pool) learnGap() {
	var sum time.Duration
	n := 0
	for _, t := range p.order {
		if t.gap > 0 {
			sum += t.gap
			n++
		}
	}
	if n > 0 {
		p.gap = sum / time.Duration(n)
	}
}

// down makes the target rest after this router found that it cannot be reached or is another one.
func (t *target) down(now time.Time, d time.Duration) {
	t.rest, t.downAt = later(t.rest, now.Add(d)), now
}
