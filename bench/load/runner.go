package load

import (
	"context"
	"time"

	"hickoryvane.example/bench/plan"
)

// Sender sends one request and returns its result.
type Sender interface {
	Send(ctx context.Context, addr string, req plan.Request, session string) Result
}

// Clock is the source of time of a Runner.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// After implements Clock.
func (SystemClock) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Runner sends requests at their planned times, whether or not earlier ones were answered (open loop).
type Runner struct {
	sender  Sender
	routers []string
	clock   Clock
	// maxInflight bounds the requests that run at a time; a request above it is skipped and counted.
	maxInflight int
	// drain is the time for which answers are awaited after the last request.
	drain time.Duration
	// progress is called about once a second.
	progress func(Progress)
}

// Option configures a Runner.
type Option func(*Runner)

// WithClock sets the clock; SystemClock by default.
func WithClock(c Clock) Option { return func(r *Runner) { r.clock = c } }

// WithMaxInflight sets the largest number of requests that run at a time; 4096 by default.
func WithMaxInflight(n int) Option { return func(r *Runner) { r.maxInflight = n } }

// WithDrain sets how long answers are awaited after the last request; 60 s by default.
func WithDrain(d time.Duration) Option { return func(r *Runner) { r.drain = d } }

// WithProgress sets a function that is called about once a second.
func WithProgress(f func(Progress)) Option { return func(r *Runner) { r.progress = f } }

// NewRunner returns a runner that sends requests to the routers in turn; routers must not be empty.
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

// Progress counts the requests of a running load. Other counts all outcomes besides Complete and Refused.
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

// Run sends requests, which are in order of time, and returns the results in the order in which the requests ended.
// skipped counts requests that were not sent because as many as WithMaxInflight allows were running.
func (r *Runner) Run(ctx context.Context, requests []plan.Request) (results []Result, skipped int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &activeLoad{
		Runner: r, start: r.clock.Now(), finished: make(chan Result, r.maxInflight),
		sessions: map[string]string{}, counters: Progress{Planned: len(requests)}, results: make([]Result, 0, len(requests)),
	}
	tick := r.clock.After(time.Second)
	for i := 0; i < len(requests); {
		select {
		case <-ctx.Done():
			i = len(requests)
		case <-r.clock.After(requests[i].At - r.clock.Now().Sub(st.start)):
			skipped += st.startRequest(ctx, requests[i], i)
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

// activeLoad is the state of one call of Run. Only the goroutine of that call accesses it.
type activeLoad struct {
	*Runner
	start    time.Time
	finished chan Result
	// sessions holds the session value that a router returned last, by session name.
	sessions map[string]string
	results  []Result
	counters Progress
}

// startRequest sends requests[i]. It returns 1 if the request is skipped, 0 otherwise.
func (st *activeLoad) startRequest(ctx context.Context, req plan.Request, i int) (skipped int) {
	if st.counters.Running >= st.maxInflight {
		return 1
	}
	st.counters.Sent++
	st.counters.Running++
	addr, session := st.routers[i%len(st.routers)], st.sessions[req.Session]
	go func() { st.finished <- st.sender.Send(ctx, addr, req, session) }()
	return 0
}

func (st *activeLoad) addResult(r Result) {
	if r.Request.Session != "" && r.Session != "" {
		st.sessions[r.Request.Session] = r.Session
	}
	st.counters.add(r)
	st.results = append(st.results, r)
}

// reportProgress calls the progress function and returns the channel of the next tick.
func (st *activeLoad) reportProgress() <-chan time.Time {
	st.counters.Elapsed = st.clock.Now().Sub(st.start)
	st.progress(st.counters)
	return st.clock.After(time.Second)
}

// awaitRunning awaits the running requests and cancels those that still run after the drain time.
func (st *activeLoad) awaitRunning(ctx context.Context, cancel func(), tick <-chan time.Time) {
	drainOver, done := st.clock.After(st.drain), ctx.Done()
	for st.counters.Running > 0 {
		select {
		case res := <-st.finished:
			st.addResult(res)
		case <-tick:
			tick = st.reportProgress()
		case <-drainOver:
			cancel()
		case <-done:
			done = nil // the senders watch ctx themselves; the closed channel would make this loop spin
		}
	}
	st.reportProgress()
}
