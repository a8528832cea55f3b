package trace

import (
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// One-way latencies (design, section 1.3).
const (
	callerLatency = time.Millisecond
	localLatency  = 300 * time.Microsecond
	remoteLatency = 5 * time.Millisecond
)

const (
	// restartTime is the time in which a crashed engine is back.
	restartTime = 20 * time.Second
	// tailMax bounds a replay after the trace's length, so that it ends in any case.
	tailMax = 15 * time.Minute
)

// policy decides where requests run.
type policy interface {
	arrive(j *job)
	// leave is called when the caller of a request without a first byte has left.
	leave(j *job)
	// cached delivers a cache event, late.
	cached(e *engine, seq ident.Seq, reset bool, added, removed []ident.Block)
	stopped(e *engine)
	restarted(e *engine)
	// declared starts a move, outage tells whether the object API is out.
	declared(e Event)
	outage(out bool)
	// busy reports whether something beyond requests is still to be awaited.
	busy() bool
	ends() []MoveEnd
}

// world is the state of one replay.
type world struct {
	clock
	h       *Header
	rnd     *rand.Rand
	engines []*engine
	byName  map[ident.TargetID]*engine
	jobs    []*job
	// live counts requests without an end.
	live int
	lag  time.Duration
	out  bool
	// usual is the mean prompt length of each route in tokens.
	usual  map[ident.Route]float64
	moves  []declared
	policy policy
	res    *Result
}

// declared is a move of the trace with its start.
type declared struct {
	Event
	start time.Time
}

func newWorld(t *Trace) *world {
	w := &world{
		h: &t.Header, rnd: rand.New(rand.NewPCG(t.Header.Seed, 1)),
		byName: map[ident.TargetID]*engine{}, res: &Result{}, lag: t.Header.Lag.Duration(),
		usual: t.usual(),
	}
	w.now = epoch
	for _, x := range t.Header.Targets {
		e := newEngine(w, x)
		w.engines = append(w.engines, e)
		w.byName[x.Name] = e
	}
	return w
}

// running reports whether periodic duties go on.
func (w *world) running() bool {
	end := epoch.Add(w.h.Length.Duration())
	return w.now.Before(end) || w.now.Before(end.Add(tailMax)) && (w.live > 0 || w.policy.busy())
}

// schedule puts the events of a trace on the clock.
func (w *world) schedule(t *Trace) {
	for _, e := range t.Events {
		if e.Kind != Burst {
			w.after(e.At.Duration(), func() { w.event(e) })
			continue
		}
		for _, x := range e.expand() {
			w.after(x.At.Duration(), func() { w.event(x) })
		}
	}
}

func (w *world) event(e Event) {
	x := w.byName[e.Target]
	span := e.Span.Duration()
	switch e.Kind {
	case Arrival:
		w.arrival(e)
	case Slow:
		x.factor = e.Factor
		w.after(span, func() { x.factor = 1 })
	case Crash:
		x.crash(span)
	case Late:
		x.late = e.Delay.Duration()
		w.after(span, func() { x.late = 0 })
	case Gap:
		x.lose += e.Count
	case Lagging:
		w.lag = e.Delay.Duration()
		w.after(span, func() { w.lag = w.h.Lag.Duration() })
	case Move:
		w.moves = append(w.moves, declared{Event: e, start: w.now})
		w.policy.declared(e)
	case Outage:
		w.out = true
		w.policy.outage(true)
		w.after(span, func() { w.out = false; w.policy.outage(false) })
	}
}

func (w *world) arrival(e Event) {
	j := w.newJob(e)
	w.jobs = append(w.jobs, j)
	w.live++
	w.after(j.deadline.Sub(w.now), func() {
		if j.ended || !j.first.IsZero() {
			return
		}
		j.left = true
		w.end(j)
		w.policy.leave(j)
	})
	w.after(callerLatency, func() {
		if !j.ended {
			w.policy.arrive(j)
		}
	})
}

// refuse ends a request without an answer.
func (w *world) refuse(j *job, f *fault.Error) {
	if j.ended {
		return
	}
	j.fault = f
	w.end(j)
}

// firstByte records that the caller has the first token.
func (w *world) firstByte(j *job) {
	if !j.ended && j.first.IsZero() {
		j.first = w.now
	}
}

// answered ends a request whose answer is whole or was cut.
func (w *world) answered(j *job, whole bool) {
	if j.ended {
		return
	}
	j.whole = whole
	j.good = whole && !j.first.IsZero() && !j.first.After(j.deadline)
	w.end(j)
}

func (w *world) end(j *job) {
	j.ended = true
	w.live--
}

// cached sends a cache event of an engine to the policy, late, or loses it.
func (w *world) cached(e *engine, reset bool, added, removed []ident.Block) {
	if !reset && len(added)+len(removed) == 0 {
		return
	}
	e.cacheSeq++
	seq := e.cacheSeq
	if e.lose > 0 && !reset {
		e.lose--
		return
	}
	w.after(w.h.Lag.Duration()+e.late, func() { w.policy.cached(e, seq, reset, added, removed) })
}

func (w *world) latency(a, b ident.Region) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

// moveTo returns the declared move whose new version the engine runs.
func (w *world) moveTo(e *engine) (m declared, ok bool) {
	for _, m := range w.moves {
		if m.Service == e.Service && m.To == e.Version {
			return m, true
		}
	}
	return m, false
}

// fails reports whether a request that starts now at the engine meets a fault of the engine's version.
func (w *world) fails(e *engine, j *job) bool {
	m, ok := w.moveTo(e)
	if !ok {
		return false
	}
	j.trial = true
	switch m.Fault {
	case Once:
		return true
	case Later:
		return w.now.Sub(m.start) >= m.Delay.Duration()
	case Load:
		return len(e.batch) >= m.Count
	case OnRoute:
		return j.Route == m.Route
	default:
		return false
	}
}

// tardy returns the factor by which the engine's version is slow.
func (w *world) tardy(e *engine) float64 {
	if m, ok := w.moveTo(e); ok && m.Fault == Tardy {
		return m.Factor
	}
	return 1
}
