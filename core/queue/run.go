package queue

import (
	"time"

	"hickoryvane.example/core/ident"
)

// slowFactor is the multiple of the expected prefill time from which a first token is slow. It is learnt
// at once; a faster one is learnt at the end, when the cached part of the prompt is known.
const slowFactor = 2

// run is a granted or running request.
type run struct {
	Item
	grantedAt time.Time
	started   bool
	startedAt time.Time
	// first and last are the times of the first and the newest output; zero before.
	firstTokenAt time.Time
	lastTokenAt  time.Time
	// output counts the output tokens so far.
	output ident.Tokens
	// order numbers the starts; ahead counts the prompt tokens that the engine had not read at the start
	// and reads first, because it reads prompts in the order of their arrival.
	startNumber uint64
	promptAhead ident.Tokens
	// learnt is true when the prefill time was taken in.
	prefillLearnt bool
}

// Started records that the body of a granted offer is written to the engine; false if it was not granted.
func (q *Queue) Started(now time.Time, id ident.RequestID) bool {
	r := q.active[id]
	if r == nil || r.started {
		return false
	}
	q.starts++
	r.started, r.startedAt, r.startNumber, r.promptAhead = true, now, q.starts, q.pendingPrompt
	q.pendingPrompt += r.sequentialPrompt()
	return true
}

// FirstToken records the first byte of the answer of a running request.
func (q *Queue) FirstToken(now time.Time, id ident.RequestID) {
	r := q.active[id]
	if r == nil || !r.started || !r.firstTokenAt.IsZero() {
		return
	}
	r.firstTokenAt, r.lastTokenAt = now, now
	q.pendingPrompt -= r.sequentialPrompt()
	took, read := now.Sub(r.startedAt), r.promptAhead+r.uncachedPrompt()
	expected := q.rates.prefillTime(read)
	q.window.firstTokens++
	if took > q.firstTokenLimit(r) {
		q.window.lateFirstTokens++
	}
	if expected > 0 && took > slowFactor*expected {
		r.prefillLearnt = true
		q.rates.learnPrefill(read, took)
	}
}

// Progress records n more output tokens of a running request.
func (q *Queue) Progress(now time.Time, id ident.RequestID, n ident.Tokens) {
	r := q.active[id]
	if r == nil || !r.started || n <= 0 {
		return
	}
	q.FirstToken(now, id)
	q.window.gapTime += now.Sub(r.lastTokenAt)
	q.window.gapTokens += n
	q.window.outputTokens += n
	r.lastTokenAt = now
	r.output += n
}

// Finished frees the room of a running request and learns from its outcome.
func (q *Queue) Finished(_ time.Time, id ident.RequestID, o Outcome) {
	r := q.active[id]
	if r == nil {
		return
	}
	q.release(r)
	q.removePendingPrompt(r)
	prompt := r.Prompt
	if o.Prompt > 0 {
		prompt = o.Prompt
	}
	q.fair.charge(r.Account, prompt+max(o.Output, r.output)-r.Charge(), r.Weight)
	if o.Failed {
		return
	}
	if r.output == 0 { // a plain service reports no progress
		q.window.outputTokens += max(o.Output, 1)
	}
	q.window.endedCharge += r.Charge()
	if !r.prefillLearnt && !r.firstTokenAt.IsZero() {
		q.rates.learnPrefill(r.promptAhead+max(prompt-o.Cached, 0), r.firstTokenAt.Sub(r.startedAt))
	}
}

// forget takes the prompt of an ended request without first token from what the engine still has to read,
// also for the requests behind it. Otherwise a cancelled prompt would make them look fast.
func (q *Queue) removePendingPrompt(r *run) {
	if !r.started || !r.firstTokenAt.IsZero() {
		return
	}
	n := r.sequentialPrompt()
	q.pendingPrompt -= n
	for _, o := range q.active {
		if o.started && o.firstTokenAt.IsZero() && o.startNumber > r.startNumber {
			o.promptAhead -= n
		}
	}
}

// Ahead returns the prompt tokens that the engine read, or reads, between the start of a running request and
// that request's own prompt; zero if it does not run.
func (q *Queue) PromptAhead(id ident.RequestID) ident.Tokens {
	if r := q.active[id]; r != nil {
		return r.promptAhead
	}
	return 0
}

// firstLimit returns the first-token time above which a request counts as late: the target and, as steps
// that also decode read fewer prompt tokens, slowFactor times the time in which the engine reads the prompt
// and those before it. It is measured against the best prefill speed seen, because the current speed falls
// with the slowness that is looked for.
func (q *Queue) firstTokenLimit(r *run) time.Duration {
	return q.window.firstTokenTarget + slowFactor*q.rates.bestPrefillTime(r.promptAhead+r.uncachedPrompt())
}
