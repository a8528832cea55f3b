package load

import (
	"context"
	"time"

	"hickoryvane.example/bench/plan"
)

// Sender sends one request and returns its outcome.
type Sender interface {
	Send(ctx context.Context, addr string, s plan.Request, session string) Result
}

// Clock is the time by which a Runner starts requests.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the Clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Runner sends shots at their times, whether or not earlier ones were answered.
type Runner struct {
	sender  Sender
	routers []string
	clock   Clock
	// inflight bounds the requests that run at a time; a shot above it is skipped and counted.
	maxInflight int
	// drain is the time for which answers are awaited after the last shot.
	drain time.Duration
	// progress is called about once a second.
	progress func(Progress)
}

// Option changes a Runner.
type Option func(*Runner)

// WithClock sets the clock; the machine's by default.
func WithClock(c Clock) Option { return func(r *Runner) { r.clock = c } }

// WithInflight sets the largest number of requests that run at a time; 4096 by default.
func WithInflight(n int) Option { return func(r *Runner) { r.maxInflight = n } }

// WithDrain sets how long answers are awaited after the last shot; 60 s by default.
func WithDrain(d time.Duration) Option { return func(r *Runner) { r.drain = d } }

// WithProgress sets a function that is called about once a second.
func WithProgress(f func(Progress)) Option { return func(r *Runner) { r.progress = f } }

// NewRunner returns a runner that spreads shots over routers in turn; routers must not be empty.
func NewRunner(s Sender, routers []string, opts ...Option) *Runner {
	r := &Runner{
		sender: s, routers: routers, clock: SystemClock{},
		maxInflight: 4096, drain: time.Minute, progress: func(Progress) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Progress is the state of a running load.
type Progress struct {
	Elapsed                                          time.Duration
	Planned, Sent, Running, Complete, Refused, Other int
}

func (p *Progress) add(r Result) {
	p.Running--
	switch r.Outcome {
	case Complete:
		p.Complete++
	case Refused:
		p.Refused++
	default:
		p.Other++
	}
}

// Run sends shots, which are in order of time, and returns the results in order of their end.
// skipped counts the shots that were not sent because too many requests ran.
func (r *Runner) Run(ctx context.Context, shots []plan.Request) (results []Result, skipped int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &activeLoad{
		Runner: r, start: r.clock.Now(), finished: make(chan Result, r.maxInflight),
		sessions: map[string]string{}, counters: Progress{Planned: len(shots)}, results: make([]Result, 0, len(shots)),
	}
	tick := r.clock.After(time.Second)
	for i := 0; i < len(shots); {
		select {
		case <-ctx.Done():
			i = len(shots)
		case <-r.clock.After(shots[i].At - r.clock.Now().Sub(st.start)):
			skipped += st.startRequest(ctx, shots[i], i)
			i++
		case res := <-st.finished:
			st.addResult(res)
		case <-tick:
			tick = st.reportProgress()
		}
	}
	st.awaitRunning(ctx, cancel, tick)
	return st.results, skipped
}

// state belongs to the goroutine that calls Run.
type activeLoad struct {
	*Runner
	start    time.Time
	finished chan Result
	// sessions holds the last session value by session name.
	sessions map[string]string
	results  []Result
	counters Progress
}

func (st *activeLoad) startRequest(ctx context.Context, s plan.Request, i int) (skipped int) {
	if st.counters.Running >= st.maxInflight {
		return 1
	}
	st.counters.Sent++
	st.counters.Running++
	addr, session := st.routers[i%len(st.routers)], st.sessions[s.Session]
	go func() { st.finished <- st.sender.Send(ctx, addr, s, session) }()
	return 0
}

func (st *activeLoad) addResult(r Result) {
	if r.Request.Session != "" && r.Session != "" {
		st.sessions[r.Request.Session] = r.Session
	}
	st.counters.add(r)
	st.results = append(st.results, r)
}

func (st *activeLoad) reportProgress() <-chan time.Time {
	st.counters.Elapsed = st.clock.Now().Sub(st.start)
	st.progress(st.counters)
	return st.clock.After(time.Second)
}

// finish awaits the running requests and cancels those left after the drain time.
func (st *activeLoad) awaitRunning(ctx context.Context, cancel func(), tick <-chan time.Time) {
	over, done := st.clock.After(st.drain), ctx.Done()
	for st.counters.Running > 0 {
		select {
		case res := <-st.finished:
			st.addResult(res)
		case <-tick:
			tick = st.reportProgress()
		case <-over:
			cancel()
		case <-done:
			done = nil
		}
	}
	st.reportProgress()
}
