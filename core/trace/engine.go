package trace

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// engine models a target with continuous batching: it admits requests in the order of their arrival while
// batch and memory have room, reads prompts in chunks and gives each decoding request a token per step.
type engine struct {
	Target
	w          *world
	class      Class
	region     ident.Region
	waiting    []*sequence
	batch      []*sequence
	heldTokens ident.Tokens
	cache      *prefixCache
	// factor is the current slow-down, 1 normally.
	slowdown    float64
	down        bool
	stepRunning bool
	// boot grows with each crash; steps of an earlier boot are void.
	boot int
	// cacheSeq numbers cache events; lose counts the events still to lose; late delays them.
	cacheSeq     ident.Seq
	eventsToLose int
	cacheDelay   time.Duration
}

// slot is a request at an engine.
type sequence struct {
	job *job
	obs observer
	// prompt is what remains of the prompt; output what remains of the answer; chunk what the step reads.
	promptRemaining, outputRemaining, chunk ident.Tokens
	cached                                  ident.Tokens
	kvTokens                                ident.Tokens
	willFail                                bool
}

// observer learns what happens to a request at an engine, at the engine's place and time.
type observer interface {
	firstToken(j *job)
	nextToken(j *job)
	// finished reports the end; whole is false when the target failed.
	finished(j *job, whole bool, cached ident.Tokens)
	// crashed reports that the engine was lost with the given requests.
	crashed(e *engine, lost []*job)
}

func newEngine(w *world, t Target) *engine {
	c, _ := w.h.class(t.Class) // checked by Read
	return &engine{
		Target: t, w: w, class: c, region: w.h.region(t.Centre),
		cache: newPrefixCache(c.CacheBlocks), slowdown: 1,
	}
}

// submit accepts a request; a stopped engine refuses the connection.
func (e *engine) submit(j *job, obs observer) bool {
	if e.down {
		return false
	}
	j.runCount++
	j.engine = e
	e.waiting = append(e.waiting, &sequence{job: j, obs: obs, promptRemaining: j.Prompt, outputRemaining: j.Output, kvTokens: j.Prompt + j.Output})
	e.startStep()
	return true
}

// cancel drops a request whose caller left.
func (e *engine) cancel(j *job) {
	drop := func(s *sequence) bool { return s.job == j }
	e.waiting = slices.DeleteFunc(e.waiting, drop)
	if i := slices.IndexFunc(e.batch, drop); i >= 0 {
		e.heldTokens -= e.batch[i].kvTokens
		e.batch = slices.Delete(e.batch, i, i+1)
	}
}

// load returns the requests and tokens at the engine, waiting ones included.
func (e *engine) load() (n int, tokens ident.Tokens) {
	for _, s := range e.waiting {
		tokens += s.promptRemaining + s.outputRemaining
	}
	for _, s := range e.batch {
		tokens += s.promptRemaining + s.outputRemaining
	}
	return len(e.waiting) + len(e.batch), tokens
}

func (e *engine) admit() {
	for len(e.waiting) > 0 && len(e.batch) < e.class.BatchMax {
		s := e.waiting[0]
		if e.heldTokens+s.kvTokens > e.class.KVTokens && len(e.batch) > 0 {
			return
		}
		e.waiting = e.waiting[1:]
		s.cached = min(e.cache.match(s.job.blocks), s.promptRemaining-1) // the last token is always computed
		s.promptRemaining -= s.cached
		s.willFail = e.w.requestFails(e, s.job)
		e.heldTokens += s.kvTokens
		e.batch = append(e.batch, s)
	}
}

// step starts the next step unless one runs.
func (e *engine) startStep() {
	if e.stepRunning || e.down {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.stepRunning = true
	boot, members := e.boot, slices.Clone(e.batch)
	e.w.after(e.planStep(members), func() {
		if boot != e.boot {
			return
		}
		e.stepRunning = false
		e.finishStep(members)
		e.startStep()
	})
}

// plan divides the chunk of a step and returns the step's time.
func (e *engine) planStep(members []*sequence) time.Duration {
	room, decoding := e.class.ChunkMax, 0
	for _, s := range members {
		s.chunk = min(s.promptRemaining, room)
		room -= s.chunk
		if s.promptRemaining == 0 {
			decoding++
		}
	}
	ms := e.class.StepMillis + e.class.StepMillisPerRequest*float64(decoding)
	ms += 1000 * float64(e.class.ChunkMax-room) / e.class.PrefillTokensPerSecond
	return time.Duration(ms * e.slowdown * e.w.versionSlowdown(e) * float64(time.Millisecond))
}

// end applies a step to those of its members that are still there.
func (e *engine) finishStep(members []*sequence) {
	for _, s := range members {
		s.job.prefilledTokens += s.chunk
		if e.down || !slices.Contains(e.batch, s) {
			continue
		}
		decoding := s.promptRemaining == 0
		s.promptRemaining -= s.chunk
		switch {
		case decoding:
			e.emitToken(s)
		case s.promptRemaining == 0:
			e.finishPrompt(s)
		}
	}
}

// read handles the end of a prompt: the cache learns it and the first token is out.
func (e *engine) finishPrompt(s *sequence) {
	if s.job.CrashesTarget {
		e.w.result.TargetCrashes++
		e.crash(restartTime)
		return
	}
	added, removed := e.cache.add(s.job.blocks)
	e.w.sendCacheEvent(e, false, added, removed)
	if s.willFail {
		e.remove(s)
		s.obs.finished(s.job, false, s.cached)
		return
	}
	s.obs.firstToken(s.job)
	e.emitToken(s)
}

func (e *engine) emitToken(s *sequence) {
	s.outputRemaining--
	if s.outputRemaining > 0 {
		s.obs.nextToken(s.job)
		return
	}
	e.remove(s)
	s.obs.finished(s.job, true, s.cached)
}

func (e *engine) remove(s *sequence) {
	if i := slices.Index(e.batch, s); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
		e.heldTokens -= s.kvTokens
	}
}

// crash loses all requests; the engine starts again after span.
func (e *engine) crash(span time.Duration) {
	if e.down {
		return
	}
	all := append(slices.Clone(e.batch), e.waiting...)
	e.boot++
	e.down, e.stepRunning, e.batch, e.waiting, e.heldTokens = true, false, nil, nil, 0
	e.cache = newPrefixCache(e.class.CacheBlocks)
	e.w.after(span, func() {
		e.down = false
		e.w.sendCacheEvent(e, true, nil, nil)
		e.w.policy.engineRestarted(e)
	})
	e.w.policy.engineStopped(e)
	byObs := map[observer][]*job{}
	var order []observer
	for _, s := range all {
		if _, ok := byObs[s.obs]; !ok {
			order = append(order, s.obs)
		}
		byObs[s.obs] = append(byObs[s.obs], s.job)
	}
	for _, o := range order {
		o.crashed(e, byObs[o])
	}
}
