package engine

import (
	"context"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// step is the work of one pass over the batch.
type step struct {
	prefill []part
	decode  []*job
	length  time.Duration
}

type part struct {
	j *job
	n ident.Tokens
}

func (e *Engine) loop(ctx context.Context) error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		s, busy := e.begin()
		if !busy {
			select {
			case <-e.wake:
				continue
			case <-ctx.Done():
				return ctx.Err()
			}
		}
		timer.Reset(s.length)
		select {
		case <-timer.C:
			e.finish(s)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// begin admits what fits and plans one step; busy is false when there is nothing to do.
func (e *Engine) begin() (s step, busy bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Hang {
		return s, false
	}
	e.admit()
	budget := e.o.chunk
	for _, j := range e.batch {
		if j.left == 0 {
			s.decode = append(s.decode, j)
			continue
		}
		if n := min(j.left, budget); n > 0 {
			s.prefill = append(s.prefill, part{j, n})
			budget -= n
		}
	}
	s.length = e.length(e.o.chunk-budget, len(s.decode))
	return s, len(s.prefill)+len(s.decode) > 0
}

// admit moves waiting requests into the batch in the order of arrival, as memory allows.
func (e *Engine) admit() {
	for len(e.queue) > 0 && len(e.batch) < e.o.batch && e.used+e.queue[0].need() <= e.o.memory {
		j := e.queue[0]
		e.queue = e.queue[1:]
		j.phase = running
		e.used += j.need()
		j.cached = ident.Tokens(e.prefix.match(j.blocks)) * blockTokens
		// The last token of a prompt is always processed: its result is the first token of the answer.
		j.left = max(1, j.prompt-j.cached)
		e.batch = append(e.batch, j)
	}
	e.report()
}

// length returns the duration of a step that processes the given prompt tokens and decodes for n requests.
func (e *Engine) length(prompt ident.Tokens, n int) time.Duration {
	s := float64(prompt) / e.o.prefill
	if n > 0 {
		s += (1 + float64(n-1)/e.o.half) / e.o.decode
	}
	if e.faults.Slow > 0 {
		s *= e.faults.Slow
	}
	return time.Duration(s * float64(time.Second))
}

func (e *Engine) finish(s step) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(s.prefill, func(p part) bool { return p.j.marked && !p.j.ended() }) {
		e.crash()
		return
	}
	for _, p := range s.prefill {
		if p.j.ended() {
			continue
		}
		if p.j.left -= p.n; p.j.left == 0 {
			e.prefix.add(p.j.blocks, time.Now())
			e.advance(p.j)
		}
	}
	for _, j := range s.decode {
		if !j.ended() {
			e.advance(j)
		}
	}
	e.report()
}

// advance adds one token to the answer of j.
func (e *Engine) advance(j *job) {
	if j.made++; j.made == j.limit {
		e.remove(j, finished)
		return
	}
	j.notify()
}

// remove ends j and frees its place and memory.
func (e *Engine) remove(j *job, p phase) {
	same := func(o *job) bool { return o == j }
	if j.phase == running {
		e.used -= j.need()
		e.batch = slices.DeleteFunc(e.batch, same)
	} else {
		e.queue = slices.DeleteFunc(e.queue, same)
	}
	j.end(p)
	e.ended = append(e.ended, j)
	if len(e.ended) > keptMax {
		if o := e.ended[0]; e.kept[o.id] == o {
			delete(e.kept, o.id)
		}
		e.ended = e.ended[1:]
	}
}
