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
	overrunMax = 15 * time.Minute
)

// policy decides where requests run.
type policy interface {
	arrive(j *job)
	// leave is called when the caller of a request without a first byte has left.
	disconnect(j *job)
	// cached delivers a cache event, late.
	cacheEvent(e *engine, seq ident.Seq, reset bool, added, removed []ident.Block)
	engineStopped(e *engine)
	engineRestarted(e *engine)
	// declared starts a move, outage tells whether the object API is out.
	startRollout(e Event)
	setStoreOutage(out bool)
	// busy reports whether something beyond requests is still to be awaited.
	rolloutRunning() bool
	rolloutSummaries() []RolloutSummary
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
	openJobs         int
	reportLag        time.Duration
	storeUnavailable bool
	// usual is the mean prompt length of each route in tokens.
	meanPrompts map[ident.Route]float64
	rollouts    []startedRollout
	policy      policy
	result      *Result
}

// declared is a move of the trace with its start.
type startedRollout struct {
	Event
	startedAt time.Time
}

func newWorld(t *Trace) *world {
	w := &world{
		h: &t.Header, rnd: rand.New(rand.NewPCG(t.Header.Seed, 1)),
		byName: map[ident.TargetID]*engine{}, result: &Result{}, reportLag: t.Header.ReportLag.Duration(),
		meanPrompts: t.meanPrompts(),
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
	return w.now.Before(end) || w.now.Before(end.Add(overrunMax)) && (w.openJobs > 0 || w.policy.rolloutRunning())
}

// schedule puts the events of a trace on the clock.
func (w *world) schedule(t *Trace) {
	for _, e := range t.Events {
		if e.Kind != Burst {
			w.after(e.At.Duration(), func() { w.handleEvent(e) })
			continue
		}
		for _, x := range e.expandBurst() {
			w.after(x.At.Duration(), func() { w.handleEvent(x) })
		}
	}
}

func (w *world) handleEvent(e Event) {
	x := w.byName[e.Target]
	span := e.Span.Duration()
	switch e.Kind {
	case Arrival:
		w.handleArrival(e)
	case Slowdown:
		x.slowdown = e.Factor
		w.after(span, func() { x.slowdown = 1 })
	case Crash:
		x.crash(span)
	case CacheDelay:
		x.cacheDelay = e.Delay.Duration()
		w.after(span, func() { x.cacheDelay = 0 })
	case CacheLoss:
		x.eventsToLose += e.Count
	case ReportDelay:
		w.reportLag = e.Delay.Duration()
		w.after(span, func() { w.reportLag = w.h.ReportLag.Duration() })
	case Rollout:
		w.rollouts = append(w.rollouts, startedRollout{Event: e, startedAt: w.now})
		w.policy.startRollout(e)
	case StoreOutage:
		w.storeUnavailable = true
		w.policy.setStoreOutage(true)
		w.after(span, func() { w.storeUnavailable = false; w.policy.setStoreOutage(false) })
	}
}

func (w *world) handleArrival(e Event) {
	j := w.newJob(e)
	w.jobs = append(w.jobs, j)
	w.openJobs++
	w.after(j.deadline.Sub(w.now), func() {
		if j.ended || !j.firstByteAt.IsZero() {
			return
		}
		j.disconnected = true
		w.endJob(j)
		w.policy.disconnect(j)
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
	j.refusal = f
	w.endJob(j)
}

// firstByte records that the caller has the first token.
func (w *world) recordFirstByte(j *job) {
	if !j.ended && j.firstByteAt.IsZero() {
		j.firstByteAt = w.now
	}
}

// answered ends a request whose answer is whole or was cut.
func (w *world) finish(j *job, whole bool) {
	if j.ended {
		return
	}
	j.complete = whole
	j.good = whole && !j.firstByteAt.IsZero() && !j.firstByteAt.After(j.deadline)
	w.endJob(j)
}

func (w *world) endJob(j *job) {
	j.ended = true
	w.openJobs--
}

// cached sends a cache event of an engine to the policy, late, or loses it.
func (w *world) sendCacheEvent(e *engine, reset bool, added, removed []ident.Block) {
	if !reset && len(added)+len(removed) == 0 {
		return
	}
	e.cacheSeq++
	seq := e.cacheSeq
	if e.eventsToLose > 0 && !reset {
		e.eventsToLose--
		return
	}
	w.after(w.h.ReportLag.Duration()+e.cacheDelay, func() { w.policy.cacheEvent(e, seq, reset, added, removed) })
}

func (w *world) latency(a, b ident.Region) time.Duration {
	if a == b {
		return localLatency
	}
	return remoteLatency
}

// moveTo returns the declared move whose new version the engine runs.
func (w *world) rolloutTo(e *engine) (m startedRollout, ok bool) {
	for _, m := range w.rollouts {
		if m.Service == e.Service && m.To == e.Version {
			return m, true
		}
	}
	return m, false
}

// fails reports whether a request that starts now at the engine meets a fault of the engine's version.
func (w *world) requestFails(e *engine, j *job) bool {
	m, ok := w.rolloutTo(e)
	if !ok {
		return false
	}
	j.ranNewVersion = true
	switch m.Fault {
	case FailAlways:
		return true
	case FailAfterDelay:
		return w.now.Sub(m.startedAt) >= m.Delay.Duration()
	case FailUnderLoad:
		return len(e.batch) >= m.Count
	case FailOnRoute:
		return j.Route == m.Route
	default:
		return false
	}
}

// tardy returns the factor by which the engine's version is slow.
func (w *world) versionSlowdown(e *engine) float64 {
	if m, ok := w.rolloutTo(e); ok && m.Fault == SlowVersion {
		return m.Factor
	}
	return 1
}
