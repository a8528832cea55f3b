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
	w      *world
	class  Class
	region ident.Region
	wait   []*slot
	batch  []*slot
	held   ident.Tokens
	cache  *prefixes
	// factor is the current slow-down, 1 normally.
	factor float64
	down   bool
	busy   bool
	// boot grows with each crash; steps of an earlier boot are void.
	boot int
	// cacheSeq numbers cache events; lose counts the events still to lose; late delays them.
	cacheSeq ident.Seq
	lose     int
	late     time.Duration
}

// slot is a request at an engine.
type slot struct {
	j   *job
	obs observer
	// prompt is what remains of the prompt; output what remains of the answer; chunk what the step reads.
	prompt, output, chunk ident.Tokens
	cached                ident.Tokens
	need                  ident.Tokens
	fails                 bool
}

// observer learns what happens to a request at an engine, at the engine's place and time.
type observer interface {
	first(j *job)
	token(j *job)
	// finished reports the end; whole is false when the target failed.
	finished(j *job, whole bool, cached ident.Tokens)
	// crashed reports that the engine was lost with the given requests.
	crashed(e *engine, lost []*job)
}

func newEngine(w *world, t Target) *engine {
	c, _ := w.h.class(t.Class) // checked by Read
	return &engine{
		Target: t, w: w, class: c, region: w.h.region(t.Centre),
		cache: newPrefixes(c.Cache), factor: 1,
	}
}

// submit accepts a request; a stopped engine refuses the connection.
func (e *engine) submit(j *job, obs observer) bool {
	if e.down {
		return false
	}
	j.runs++
	j.target = e
	e.wait = append(e.wait, &slot{j: j, obs: obs, prompt: j.Prompt, output: j.Output, need: j.Prompt + j.Output})
	e.step()
	return true
}

// cancel drops a request whose caller left.
func (e *engine) cancel(j *job) {
	drop := func(s *slot) bool { return s.j == j }
	e.wait = slices.DeleteFunc(e.wait, drop)
	if i := slices.IndexFunc(e.batch, drop); i >= 0 {
		e.held -= e.batch[i].need
		e.batch = slices.Delete(e.batch, i, i+1)
	}
}

// load returns the requests and tokens at the engine, waiting ones included.
func (e *engine) load() (n int, tokens ident.Tokens) {
	for _, s := range e.wait {
		tokens += s.prompt + s.output
	}
	for _, s := range e.batch {
		tokens += s.prompt + s.output
	}
	return len(e.wait) + len(e.batch), tokens
}

func (e *engine) admit() {
	for len(e.wait) > 0 && len(e.batch) < e.class.Batch {
		s := e.wait[0]
		if e.held+s.need > e.class.Memory && len(e.batch) > 0 {
			return
		}
		e.wait = e.wait[1:]
		s.cached = min(e.cache.match(s.j.blocks), s.prompt-1) // the last token is always computed
		s.prompt -= s.cached
		s.fails = e.w.fails(e, s.j)
		e.held += s.need
		e.batch = append(e.batch, s)
	}
}

// step starts the next step unless one runs.
func (e *engine) step() {
	if e.busy || e.down {
		return
	}
	e.admit()
	if len(e.batch) == 0 {
		return
	}
	e.busy = true
	boot, members := e.boot, slices.Clone(e.batch)
	e.w.after(e.plan(members), func() {
		if boot != e.boot {
			return
		}
		e.busy = false
		e.end(members)
		e.step()
	})
}

// plan divides the chunk of a step and returns the step's time.
func (e *engine) plan(members []*slot) time.Duration {
	room, decoding := e.class.Chunk, 0
	for _, s := range members {
		s.chunk = min(s.prompt, room)
		room -= s.chunk
		if s.prompt == 0 {
			decoding++
		}
	}
	ms := e.class.Step + e.class.Slow*float64(decoding)
	ms += 1000 * float64(e.class.Chunk-room) / e.class.Prefill
	return time.Duration(ms * e.factor * e.w.tardy(e) * float64(time.Millisecond))
}

// end applies a step to those of its members that are still there.
func (e *engine) end(members []*slot) {
	for _, s := range members {
		s.j.prefill += s.chunk
		if e.down || !slices.Contains(e.batch, s) {
			continue
		}
		decoding := s.prompt == 0
		s.prompt -= s.chunk
		switch {
		case decoding:
			e.token(s)
		case s.prompt == 0:
			e.read(s)
		}
	}
}

// read handles the end of a prompt: the cache learns it and the first token is out.
func (e *engine) read(s *slot) {
	if s.j.Fatal {
		e.w.res.Crashes++
		e.crash(restartTime)
		return
	}
	added, removed := e.cache.add(s.j.blocks)
	e.w.cached(e, false, added, removed)
	if s.fails {
		e.remove(s)
		s.obs.finished(s.j, false, s.cached)
		return
	}
	s.obs.first(s.j)
	e.token(s)
}

func (e *engine) token(s *slot) {
	s.output--
	if s.output > 0 {
		s.obs.token(s.j)
		return
	}
	e.remove(s)
	s.obs.finished(s.j, true, s.cached)
}

func (e *engine) remove(s *slot) {
	if i := slices.Index(e.batch, s); i >= 0 {
		e.batch = slices.Delete(e.batch, i, i+1)
		e.held -= s.need
	}
}

// crash loses all requests; the engine starts again after span.
func (e *engine) crash(span time.Duration) {
	if e.down {
		return
	}
	all := append(slices.Clone(e.batch), e.wait...)
	e.boot++
	e.down, e.busy, e.batch, e.wait, e.held = true, false, nil, nil, 0
	e.cache = newPrefixes(e.class.Cache)
	e.w.after(span, func() {
		e.down = false
		e.w.cached(e, true, nil, nil)
		e.w.policy.restarted(e)
	})
	e.w.policy.stopped(e)
	byObs := map[observer][]*job{}
	var order []observer
	for _, s := range all {
		if _, ok := byObs[s.obs]; !ok {
			order = append(order, s.obs)
		}
		byObs[s.obs] = append(byObs[s.obs], s.j)
	}
	for _, o := range order {
		o.crashed(e, byObs[o])
	}
}
