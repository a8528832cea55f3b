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
	granted time.Time
	started bool
	start   time.Time
	// first and last are the times of the first and the newest output; zero before.
	first time.Time
	last  time.Time
	// output counts the output tokens so far.
	output ident.Tokens
	// order numbers the starts; ahead counts the prompt tokens that the engine had not read at the start
	// and reads first, because it reads prompts in the order of their arrival.
	order uint64
	ahead ident.Tokens
	// learnt is true when the prefill time was taken in.
	learnt bool
}

// Started records that the body of a granted offer is written to the engine; false if it was not granted.
func (q *Queue) Started(now time.Time, id ident.RequestID) bool {
	r := q.run[id]
	if r == nil || r.started {
		return false
	}
	q.starts++
	r.started, r.start, r.order, r.ahead = true, now, q.starts, q.unread
	q.unread += r.inOrder()
	return true
}

// FirstToken records the first byte of the answer of a running request.
func (q *Queue) FirstToken(now time.Time, id ident.RequestID) {
	r := q.run[id]
	if r == nil || !r.started || !r.first.IsZero() {
		return
	}
	r.first, r.last = now, now
	q.unread -= r.inOrder()
	took, read := now.Sub(r.start), r.ahead+r.unread()
	expected := q.speed.prefillTime(read)
	q.win.firsts++
	if took > q.firstLimit(r) {
		q.win.late++
	}
	if expected > 0 && took > slowFactor*expected {
		r.learnt = true
		q.speed.learnPrefill(read, took)
	}
}

// Progress records n more output tokens of a running request.
func (q *Queue) Progress(now time.Time, id ident.RequestID, n ident.Tokens) {
	r := q.run[id]
	if r == nil || !r.started || n <= 0 {
		return
	}
	q.FirstToken(now, id)
	q.win.gapTime += now.Sub(r.last)
	q.win.gapTokens += n
	q.win.work += n
	r.last = now
	r.output += n
}

// Finished frees the room of a running request and learns from its outcome.
func (q *Queue) Finished(_ time.Time, id ident.RequestID, o Outcome) {
	r := q.run[id]
	if r == nil {
		return
	}
	q.release(r)
	q.forget(r)
	prompt := r.Prompt
	if o.Prompt > 0 {
		prompt = o.Prompt
	}
	q.fair.charge(r.Account, prompt+max(o.Output, r.output)-r.Charge(), r.Weight)
	if o.Failed {
		return
	}
	if r.output == 0 { // a plain service reports no progress
		q.win.work += max(o.Output, 1)
	}
	q.win.ended += r.Charge()
	if !r.learnt && !r.first.IsZero() {
		q.speed.learnPrefill(r.ahead+max(prompt-o.Cached, 0), r.first.Sub(r.start))
	}
}

// forget takes the prompt of an ended request without first token from what the engine still has to read,
// also for the requests behind it. Otherwise a cancelled prompt would make them look fast.
func (q *Queue) forget(r *run) {
	if !r.started || !r.first.IsZero() {
		return
	}
	n := r.inOrder()
	q.unread -= n
	for _, o := range q.run {
		if o.started && o.first.IsZero() && o.order > r.order {
			o.ahead -= n
		}
	}
}

// Ahead returns the prompt tokens that the engine read, or reads, between the start of a running request and
// that request's own prompt; zero if it does not run.
func (q *Queue) Ahead(id ident.RequestID) ident.Tokens {
	if r := q.run[id]; r != nil {
		return r.ahead
	}
	return 0
}

// firstLimit returns the first-token time above which a request counts as late: the target and, as steps
// that also decode read fewer prompt tokens, slowFactor times the time in which the engine reads the prompt
// and those before it. It is measured against the best prefill speed seen, because the current speed falls
// with the slowness that is looked for.
func (q *Queue) firstLimit(r *run) time.Duration {
	return q.win.firstTarget + slowFactor*q.speed.bestPrefillTime(r.ahead+r.unread())
}
