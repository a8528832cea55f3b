package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/group"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/ring"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

const (
	// inboxSize bounds the events that wait for the core; their writers wait when it is full.
	inboxSize = 8192
	// tickInterval is the time between two ticks of the core.
	tickInterval = 20 * time.Millisecond
	// drainTimeout bounds a graceful shutdown.
	drainTimeout = 15 * time.Minute
	// lameTime is the time for which a stopping router still listens, so that the balancer sees it first.
	lameTime = 500 * time.Millisecond
	// flushTimeout bounds the writing of queued messages at the end.
	flushTimeout = 2 * time.Second
	// partsMax bounds the parts of an answer that wait for the handler of a call.
	partsMax = 8192
)

// Lister reads the platform's list of VMs.
type Lister interface {
	List(ctx context.Context) ([]member.Entry, error)
}

// input is one event for the core.
type input func(now time.Time, c *Core)

// Router drives a Core: it connects it to callers, to peers and to the platform.
type Router struct {
	cfg     conf.Router
	boot    ident.Boot
	store   store.Store
	list    Lister
	log     *event.Logger
	core    *Core
	inbox   *ring.Ring[input]
	links   *links.Links
	metrics http.Handler
	// configured is called with each configuration that comes into force; nil if nobody asked for it.
	configured func(*conf.Index)
	// refused counts a refusal of the HTTP side.
	refused func(fault.Reason)
	// index is the configuration in force, for the handlers of calls.
	index atomic.Pointer[conf.Index]
	// generation is the one in force, for handshakes.
	generation atomic.Uint64
	// held counts the bytes of bodies held for callers.
	held     atomic.Int64
	lastCall atomic.Uint64
	// handlers holds the inboxes of the handlers of calls; only the core's goroutine uses it.
	handlers map[CallID]*ring.Ring[Part]
	// watching is true while this router watches the object API for its region.
	watching atomic.Bool
	// out is true after a watch of the object API failed, until it works again.
	out     atomic.Bool
	unwatch context.CancelFunc
	// runs counts goroutines that make store calls; they end with the context of Run.
	runs  sync.WaitGroup
	drain chan struct{}
	once  sync.Once
}

// RouterOption changes a Router.
type RouterOption func(*Router)

// WithMetrics sets the meter of the router.
func WithMetrics(m *meter.Meter) RouterOption {
	return func(r *Router) {
		r.core.meter, r.metrics, r.refused = metered{m}, m.Handler(), m.Refused
		r.configured = func(x *conf.Index) { m.Configure(names(x)) }
	}
}

// NewRouter returns a router that is not running yet.
func NewRouter(cfg conf.Router, s store.Store, list Lister, log *event.Logger, opts ...RouterOption) *Router {
	boot := ident.BootAt(time.Now())
	r := &Router{
		cfg: cfg, boot: boot, store: s, list: list, log: log,
		inbox:    ring.New[input](inboxSize),
		handlers: make(map[CallID]*ring.Ring[Part]),
		drain:    make(chan struct{}),
		metrics:  http.NotFoundHandler(),
		refused:  func(fault.Reason) {},
	}
	rnd := rand.New(rand.NewPCG(uint64(boot), ident.Rendezvous("router", string(cfg.Name))))
	self := member.Entry{VM: cfg.Name, Address: cfg.Admin, Role: member.Router, Centre: cfg.Centre}
	r.core = New(self, cfg.Region, boot, cfg.Deployment, rnd, WithBounds(cfg.Bounds), WithSeeds(cfg.Peers))
	auth := wire.Auth{Deployment: cfg.Deployment, Key: []byte(cfg.Secret)}
	r.links = links.New(auth, r.hello, r.sink, log)
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Stop begins a graceful shutdown; Run returns when it is complete.
func (r *Router) Stop() { r.once.Do(func() { close(r.drain) }) }

// Run serves until ctx ends or a graceful shutdown is complete.
func (r *Router) Run(ctx context.Context) error {
	ln, err := admin.Listen(r.cfg.Listen)
	if err != nil {
		return err
	}
	adm, err := admin.Listen(r.cfg.Admin)
	if err != nil {
		_ = ln.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New()
	g.Go(ctx, "admin", func(ctx context.Context) error {
		return admin.Serve(ctx, adm, admin.Handler(&source{Router: r, ctx: ctx}, r.metrics))
	})
	g.Go(ctx, "callers", func(ctx context.Context) error { return admin.Serve(ctx, ln, r.handler(ctx)) })
	g.Go(ctx, "list", r.follow)
	g.Go(ctx, "core", r.loop)
	r.log.Log(event.Started, "role", "router", "process", r.cfg.Name, "listen", ln.Addr(), "admin", adm.Addr())
	first := <-g.Ends()
	g.Seen()
	fctx, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	r.links.Flush(fctx)
	stop()
	cancel()
	err = g.Wait()
	r.links.Wait()
	r.runs.Wait()
	r.log.Log(event.Stopped, "role", "router")
	if first.Err != nil && ctx.Err() == nil {
		return first.Err
	}
	return err
}

// loop is the only goroutine that uses the core. It returns when a graceful shutdown is complete.
func (r *Router) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		if r.unwatch != nil {
			r.unwatch()
		}
	}()
	var end, lame <-chan time.Time
	drain, draining := r.drain, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-end:
			return nil
		case <-lame:
			lame = nil
		case <-drain:
			drain, draining = nil, true
			end, lame = time.After(drainTimeout), time.After(lameTime)
			r.core.Drain(time.Now())
		case <-tick.C:
			r.core.Tick(time.Now())
		case <-r.inbox.Ready():
			for in, ok := r.inbox.Take(); ok; in, ok = r.inbox.Take() {
				in(time.Now(), r.core)
			}
		}
		r.perform(ctx)
		if draining && lame == nil && r.core.Drained() {
			return nil
		}
	}
}

// perform does what the core asked for.
func (r *Router) perform(ctx context.Context) {
	for acts := r.core.Take(); len(acts) > 0; acts = r.core.Take() {
		for _, act := range acts {
			r.one(ctx, act)
		}
	}
	if x := r.core.Index(); x != r.index.Load() {
		r.generation.Store(uint64(x.Generation()))
		r.index.Store(x)
		if r.configured != nil {
			r.configured(x)
		}
	}
}

func (r *Router) one(ctx context.Context, act Action) {
	switch act := act.(type) {
	case Send:
		r.links.Send(act.Link, act.Message)
	case Reply:
		r.reply(act)
	case Want:
		r.links.SetAddresses(ctx, act.Addresses)
	case Create:
		r.do(ctx, func(ctx context.Context) input { return r.claim(ctx, act) })
	case Watch:
		r.watch(ctx, act.On)
	case Sweep:
		r.do(ctx, func(ctx context.Context) input { r.sweep(ctx, act.Before); return nil })
	case LeaseCall:
		r.do(ctx, func(ctx context.Context) input { return r.leaseCall(ctx, act) })
	case EndCall:
		r.do(ctx, func(ctx context.Context) input { return r.endCall(ctx, act) })
	case Log:
		r.log.Log(act.Event, act.Pairs...)
	}
}

// reply gives a part to the handler of a call. A handler that is too far behind loses its call: the credit
// of the agent bounds the bytes, and this the number of parts.
func (r *Router) reply(act Reply) {
	h := r.handlers[act.Call]
	if h == nil {
		return
	}
	if !h.Offer(act.Part) {
		delete(r.handlers, act.Call)
		r.core.Left(time.Now(), act.Call)
		return
	}
	if act.Part.Whole || act.Part.Fault != nil {
		delete(r.handlers, act.Call)
	}
}

// do runs f as a goroutine whose result reaches the core as an input.
func (r *Router) do(ctx context.Context, f func(context.Context) input) {
	r.runs.Add(1)
	go func() {
		defer r.runs.Done()
		if in := f(ctx); in != nil {
			_ = r.inbox.Put(ctx, in) // fails only when the process ends
		}
	}()
}

// sink takes in what the connections bring.
func (r *Router) sink(ctx context.Context, e links.Event) error {
	return r.inbox.Put(ctx, func(now time.Time, c *Core) {
		switch {
		case e.Hello != nil:
			c.Opened(now, e.Link, *e.Hello, e.DialedAddress)
		case e.Closed:
			c.Closed(now, e.Link)
		default:
			c.Message(now, e.Link, e.Message)
		}
	})
}

func (r *Router) hello() wire.Hello {
	return wire.Hello{Process: r.cfg.Name, Role: string(member.Router), Boot: r.boot, Centre: r.cfg.Centre, Generation: ident.Generation(r.generation.Load())}
}

// source serves the admin address.
type source struct {
	*Router
	// ctx ends with the process; connections of peers outlive their HTTP requests.
	ctx context.Context
}

// Accept implements admin.Source.
func (s *source) Accept(w http.ResponseWriter, req *http.Request) { s.links.Accept(s.ctx, w, req) }

// Status implements admin.Source.
func (s *source) Status(ctx context.Context) (st conf.Status, ok bool) {
	st, ok = admin.Ask(ctx, s.inbox, func(c *Core) conf.Status { return c.status(s.cfg.Centre) })
	st.Sent, st.Received = s.links.Bytes()
	return st, ok
}
