package engine

import (
	"context"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// step is the work of one iteration over the batch.
type step struct {
	prefill  []prefillChunk
	decoding []*job
	duration time.Duration
}

// prefillChunk is the number of prompt tokens of one request that a step processes.
type prefillChunk struct {
	job    *job
	tokens ident.Tokens
}

// loop runs one step after the other until ctx is done, and returns the error of ctx.
func (e *Engine) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s, busy := e.beginStep()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		timer.Reset(s.duration)
		select {
		case <-timer.C:
			e.finishStep(s)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// beginStep admits the requests that fit and plans one step; busy is false if there is nothing to do.
func (e *Engine) beginStep() (s step, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return s, false
	}
	e.admitQueued()
	budget := e.opts.chunkMax
	for _, j := range e.batch {
		if j.remaining == 0 {
			s.decoding = append(s.decoding, j)
			continue
		}
		if n := min(j.remaining, budget); n > 0 {
			s.prefill = append(s.prefill, prefillChunk{j, n})
			budget -= n
		}
	}
	s.duration = e.stepDuration(e.opts.chunkMax-budget, len(s.decoding))
	return s, len(s.prefill)+len(s.decoding) > 0
}

// admitQueued moves waiting requests into the batch in the order of arrival, as far as batch size and memory allow.
func (e *Engine) admitQueued() {
	for len(e.queue) > 0 && len(e.batch) < e.opts.batchMax && e.kvUsed+e.queue[0].reservedKV() <= e.opts.kvTokens {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.phase = running
		e.kvUsed += j.reservedKV()
		j.cached = ident.Tokens(e.prefix.match(j.blocks)) * blockTokens
		// The last token of a prompt is always processed: its result is the first token of the answer.
		j.remaining = max(1, j.prompt-j.cached)
		e.batch = append(e.batch, j)
	}
	e.recordLoad()
}

// stepDuration returns the duration of a step that processes the given prompt tokens and decodes for n requests.
func (e *Engine) stepDuration(prompt ident.Tokens, n int) time.Duration {
	s := float64(prompt) / e.opts.prefillSpeed
	if n > 0 {
		s += (1 + float64(n-1)/e.opts.halfSpeedBatch) / e.opts.decodeSpeed
	}
	if e.faults.Slowdown > 0 {
		s *= e.faults.Slowdown
	}
	return time.Duration(s * float64(time.Second))
}

// finishStep applies the results of a step. Requests that ended in the meantime are skipped.
func (e *Engine) finishStep(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(s.prefill, func(p prefillChunk) bool { return p.job.crashesEngine && !p.job.ended() }) {
		e.crash()
		return
	}
	for _, p := range s.prefill {
		if p.job.ended() {
			continue
		}
		if p.job.remaining -= p.tokens; p.job.remaining == 0 {
			e.prefix.add(p.job.blocks, time.Now())
			e.addToken(p.job)
		}
	}
	for _, j := range s.decoding {
		if !j.ended() {
			e.addToken(j)
		}
	}
	e.recordLoad()
}

// addToken adds one token to the answer of j, which ends with its last token.
func (e *Engine) addToken(j *job) {
	if j.produced++; j.produced == j.output {
		e.remove(j, finished)
		return
	}
	j.broadcast()
}

// remove ends j in phase p and frees its place and memory. Beyond endedMax the oldest ended request is dropped. The
// caller holds e.mu.
func (e *Engine) remove(j *job, p phase) {
	same := func(o *job) bool { return o == j }
	if j.phase == running {
		e.kvUsed -= j.reservedKV()
		e.batch = slices.DeleteFunc(e.batch, same)
	} else {
		e.queue = slices.DeleteFunc(e.queue, same)
	}
	j.end(p)
	e.ended = append(e.ended, j)
	if len(e.ended) > endedMax {
		if o := e.ended[0]; e.requests[o.id] == o {
			delete(e.requests, o.id)
		}
		e.ended = e.ended[1:]
	}
}
