package load

import (
	"context"
	"time"

	"hickoryvane.example/bench/plan"
)

// Sender sends one request and returns its outcome.
type Sender interface {
	Send(ctx context.Context, addr string, s plan.Shot, session string) Result
}

// Clock is the time by which a Runner starts requests.
type Clock interface {
	Now() time.Time
	// After returns a channel that receives once d has passed.
	After(d time.Duration) <-chan time.Time
}

// System is the Clock of the machine.
type System struct{}

// Now implements Clock.
func (System) Now() time.Time { return time.Now() }

// After implements Clock.
func (System) After(d time.Duration) <-chan time.Time { return time.After(d) }

// Runner sends shots at their times, whether or not earlier ones were answered.
type Runner struct {
	sender  Sender
	routers []string
	clock   Clock
	// inflight bounds the requests that run at a time; a shot above it is skipped and counted.
	inflight int
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
func WithInflight(n int) Option { return func(r *Runner) { r.inflight = n } }

// WithDrain sets how long answers are awaited after the last shot; 60 s by default.
func WithDrain(d time.Duration) Option { return func(r *Runner) { r.drain = d } }

// WithProgress sets a function that is called about once a second.
func WithProgress(f func(Progress)) Option { return func(r *Runner) { r.progress = f } }

// NewRunner returns a runner that spreads shots over routers in turn; routers must not be empty.
func NewRunner(s Sender, routers []string, opts ...Option) *Runner {
	r := &Runner{
		sender: s, routers: routers, clock: System{},
		inflight: 4096, drain: time.Minute, progress: func(Progress) {},
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Progress is the state of a running load.
type Progress struct {
	Elapsed                                   time.Duration
	Planned, Sent, Running, Whole, Not, Broke int
}

func (p *Progress) add(r Result) {
	p.Running--
	switch r.End {
	case Whole:
		p.Whole++
	case Refused:
		p.Not++
	default:
		p.Broke++
	}
}

// Run sends shots, which are in order of time, and returns the results in order of their end.
// skipped counts the shots that were not sent because too many requests ran.
func (r *Runner) Run(ctx context.Context, shots []plan.Shot) (results []Result, skipped int) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st := &state{
		Runner: r, start: r.clock.Now(), ends: make(chan Result, r.inflight),
		sessions: map[string]string{}, p: Progress{Planned: len(shots)}, results: make([]Result, 0, len(shots)),
	}
	tick := r.clock.After(time.Second)
	for i := 0; i < len(shots); {
		select {
		case <-ctx.Done():
			i = len(shots)
		case <-r.clock.After(shots[i].At - r.clock.Now().Sub(st.start)):
			skipped += st.fire(ctx, shots[i], i)
			i++
		case res := <-st.ends:
			st.end(res)
		case <-tick:
			tick = st.tick()
		}
	}
	st.finish(ctx, cancel, tick)
	return st.results, skipped
}

// state belongs to the goroutine that calls Run.
type state struct {
	*Runner
	start time.Time
	ends  chan Result
	// sessions holds the last session value by session name.
	sessions map[string]string
	results  []Result
	p        Progress
}

func (st *state) fire(ctx context.Context, s plan.Shot, i int) (skipped int) {
	if st.p.Running >= st.inflight {
		return 1
	}
	st.p.Sent++
	st.p.Running++
	addr, session := st.routers[i%len(st.routers)], st.sessions[s.Session]
	go func() { st.ends <- st.sender.Send(ctx, addr, s, session) }()
	return 0
}

func (st *state) end(r Result) {
	if r.Shot.Session != "" && r.Session != "" {
		st.sessions[r.Shot.Session] = r.Session
	}
	st.p.add(r)
	st.results = append(st.results, r)
}

func (st *state) tick() <-chan time.Time {
	st.p.Elapsed = st.clock.Now().Sub(st.start)
	st.progress(st.p)
	return st.clock.After(time.Second)
}

// finish awaits the running requests and cancels those left after the drain time.
func (st *state) finish(ctx context.Context, cancel func(), tick <-chan time.Time) {
	over, done := st.clock.After(st.drain), ctx.Done()
	for st.p.Running > 0 {
		select {
		case res := <-st.ends:
			st.end(res)
		case <-tick:
			tick = st.tick()
		case <-over:
			cancel()
		case <-done:
			done = nil
		}
	}
	st.tick()
}
