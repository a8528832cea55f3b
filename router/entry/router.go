package entry

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/group"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/launch"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/ring"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

const (
	// inboxSize limits the inputs that wait for the core; their senders block when the inbox is full.
	inboxSize = 8192
	// tickInterval is the interval between two ticks of the core.
	tickInterval = 20 * time.Millisecond
	// drainTimeout limits a graceful shutdown.
	drainTimeout = 15 * time.Minute
	// lameDuckTime is the time for which a stopping router still listens, so that the load balancer notices first.
	lameDuckTime = 500 * time.Millisecond
	// flushTimeout limits the writing of queued messages at the end.
	flushTimeout = 2 * time.Second
	// partsMax limits the parts of an answer that wait for the handler of a call.
	partsMax = 8192
)

// VMLister reads the platform's list of VMs.
type VMLister interface {
	List(ctx context.Context) ([]member.Entry, error)
}

// input is one input event of the core.
type input func(now time.Time, c *Core)

// Router drives a Core: it connects it to callers, to peers and to the platform.
type Router struct {
	cfg     conf.Router
	boot    ident.Boot
	store   store.Store
	lister  VMLister
	log     *event.Logger
	core    *Core
	inbox   *ring.Ring[input]
	links   *links.Links
	metrics http.Handler
	// onConfig is called with each configuration that comes into force; nil if there is no receiver.
	onConfig func(*conf.Index)
	// countRefusal counts a refusal by an HTTP handler.
	countRefusal func(fault.Reason)
	// index is the configuration in force, for the handlers of calls.
	index atomic.Pointer[conf.Index]
	// generation is the generation in force, for handshakes.
	generation atomic.Uint64
	// heldBytes counts the bytes of bodies held for callers.
	heldBytes atomic.Int64
	// lastCall is the id of the last call.
	lastCall atomic.Uint64
	// handlers holds the inboxes of the handlers of calls; only the core's goroutine uses it.
	handlers map[CallID]*ring.Ring[ReplyPart]
	// watching is true while this router watches the object API for its region.
	watching atomic.Bool
	// storeFailed is true after a watch of the object API failed, until one works again.
	storeFailed atomic.Bool
	stopWatch   context.CancelFunc
	// workers counts goroutines that make store calls; they end with the context of Run.
	workers        sync.WaitGroup
	drainRequested chan struct{}
	drainOnce      sync.Once
}

// RouterOption configures a Router.
type RouterOption func(*Router)

// WithMetrics sets the meter of the router.
func WithMetrics(m *meter.Meter) RouterOption {
	return func(r *Router) {
		r.core.meter, r.metrics, r.countRefusal = otelMeter{m}, m.Handler(), m.CountRefused
		r.onConfig = func(x *conf.Index) { m.Configure(accountsAndServices(x)) }
	}
}

// NewRouter returns a router that is not running yet.
func NewRouter(cfg conf.Router, s store.Store, lister VMLister, log *event.Logger, opts ...RouterOption) *Router {
	boot := ident.BootAt(time.Now())
	r := &Router{
		cfg: cfg, boot: boot, store: s, lister: lister, log: log,
		inbox:          ring.New[input](inboxSize),
		handlers:       make(map[CallID]*ring.Ring[ReplyPart]),
		drainRequested: make(chan struct{}),
		metrics:        http.NotFoundHandler(),
		countRefusal:   func(fault.Reason) {},
	}
	rnd := rand.New(rand.NewPCG(uint64(boot), ident.RendezvousWeight("router", string(cfg.Name))))
	self := member.Entry{VM: cfg.Name, Address: cfg.Admin, Role: member.Router, Centre: cfg.Centre}
	r.core = New(self, cfg.Region, boot, cfg.Deployment, rnd, WithBounds(cfg.Bounds), WithSeeds(cfg.Peers))
	auth := wire.Auth{Deployment: cfg.Deployment, Key: []byte(cfg.Secret)}
	r.links = links.New(auth, r.hello, r.handleLinkEvent, log)
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Stop starts a graceful shutdown; Run returns when it is complete.
func (r *Router) Stop() { r.drainOnce.Do(func() { close(r.drainRequested) }) }

// Run serves until ctx ends or a graceful shutdown is complete.
func (r *Router) Run(ctx context.Context) error {
	ln, err := admin.Listen(r.cfg.Listen)
	if err != nil {
		return err
	}
	adminLn, err := admin.Listen(r.cfg.Admin)
	if err != nil {
		_ = ln.Close()
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g, memory := group.New(), budget.New(launch.MemoryLimit, 0)
	g.Go(ctx, "admin", func(ctx context.Context) error {
		return admin.Serve(ctx, adminLn, admin.Handler(&adminSource{Router: r, ctx: ctx}, r.metrics), accept.WithBudget(memory))
	})
	g.Go(ctx, "callers", func(ctx context.Context) error {
		return admin.Serve(ctx, ln, r.handler(ctx), accept.WithBudget(memory), accept.WithConnsMax(0))
	})
	g.Go(ctx, "list", r.followVMList)
	g.Go(ctx, "core", r.loop)
	r.log.Log(event.Started, "role", "router", "process", r.cfg.Name, "listen", ln.Addr(), "admin", adminLn.Addr())
	firstEnd := <-g.Exits()
	g.CountExit()
	flushCtx, stopFlush := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	r.links.Flush(flushCtx)
	stopFlush()
	cancel()
	err = g.Wait()
	r.links.Wait()
	r.workers.Wait()
	r.log.Log(event.Stopped, "role", "router")
	if firstEnd.Err != nil && ctx.Err() == nil {
		return firstEnd.Err
	}
	return err
}

// loop is the only goroutine that uses the core. It returns when a graceful shutdown is complete.
func (r *Router) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	defer func() {
		if r.stopWatch != nil {
			r.stopWatch()
		}
	}()
	var drainDeadline, lameDuck <-chan time.Time
	drain, draining := r.drainRequested, false
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-drainDeadline:
			return nil
		case <-lameDuck:
			lameDuck = nil
		case <-drain:
			drain, draining = nil, true
			drainDeadline, lameDuck = time.After(drainTimeout), time.After(lameDuckTime)
			r.core.Drain(time.Now())
		case <-tick.C:
			r.core.Tick(time.Now())
		case <-r.inbox.Ready():
			for in, ok := r.inbox.Take(); ok; in, ok = r.inbox.Take() {
				in(time.Now(), r.core)
			}
		}
		r.performActions(ctx)
		if draining && lameDuck == nil && r.core.Drained() {
			return nil
		}
	}
}

// performActions performs the actions that the core emitted.
func (r *Router) performActions(ctx context.Context) {
	for acts := r.core.TakeActions(); len(acts) > 0; acts = r.core.TakeActions() {
		for _, act := range acts {
			r.performAction(ctx, act)
		}
	}
	if x := r.core.Index(); x != r.index.Load() {
		r.generation.Store(uint64(x.Generation()))
		r.index.Store(x)
		if r.onConfig != nil {
			r.onConfig(x)
		}
	}
}

func (r *Router) performAction(ctx context.Context, act Action) {
	switch act := act.(type) {
	case Send:
		r.links.Send(act.Link, act.Message)
	case Reply:
		r.deliverReply(act)
	case SetPeers:
		r.links.SetAddresses(ctx, act.Addresses)
	case CreateClaim:
		r.startWorker(ctx, func(ctx context.Context) input { return r.recordClaim(ctx, act) })
	case WatchStore:
		r.setStoreWatch(ctx, act.Enabled)
	case SweepClaims:
		r.startWorker(ctx, func(ctx context.Context) input { r.sweepClaims(ctx, act.Before); return nil })
	case LeaseCall:
		r.startWorker(ctx, func(ctx context.Context) input { return r.leaseCall(ctx, act) })
	case ConclusionCall:
		r.startWorker(ctx, func(ctx context.Context) input { return r.conclusionCall(ctx, act) })
	case Log:
		r.log.Log(act.Event, act.Pairs...)
	}
}

// deliverReply passes a part of an answer to the handler of a call. A call whose handler falls too far behind is
// ended: the credit of the agent limits the bytes, and the inbox of the handler the number of parts.
func (r *Router) deliverReply(act Reply) {
	h := r.handlers[act.Call]
	if h == nil {
		return
	}
	if !h.TryPut(act.Part) {
		delete(r.handlers, act.Call)
		r.core.HandleClientDisconnect(time.Now(), act.Call)
		return
	}
	if act.Part.Complete || act.Part.Fault != nil {
		delete(r.handlers, act.Call)
	}
}

// startWorker runs f in a goroutine and passes its result to the core as an input.
func (r *Router) startWorker(ctx context.Context, f func(context.Context) input) {
	r.workers.Add(1)
	go func() {
		defer r.workers.Done()
		if in := f(ctx); in != nil {
			_ = r.inbox.Put(ctx, in) // fails only when the process ends
		}
	}()
}

// handleLinkEvent passes an event of a connection to the core.
func (r *Router) handleLinkEvent(ctx context.Context, e links.Event) error {
	return r.inbox.Put(ctx, func(now time.Time, c *Core) {
		switch {
		case e.Hello != nil:
			c.HandleConnect(now, e.Link, *e.Hello, e.DialedAddress)
		case e.Closed:
			c.HandleDisconnect(now, e.Link)
		default:
			c.HandleMessage(now, e.Link, e.Message)
		}
	})
}

func (r *Router) hello() wire.Hello {
	return wire.Hello{Process: r.cfg.Name, Role: string(member.Router), Boot: r.boot, Centre: r.cfg.Centre, Generation: ident.Generation(r.generation.Load())}
}

// adminSource serves the admin address.
type adminSource struct {
	*Router
	// ctx ends with the process; connections of peers outlive their HTTP requests.
	ctx context.Context
}

// Accept implements admin.Source.
func (s *adminSource) Accept(w http.ResponseWriter, req *http.Request) { s.links.Accept(s.ctx, w, req) }

// Status implements admin.Source.
func (s *adminSource) Status(ctx context.Context) (st conf.Status, ok bool) {
	st, ok = admin.QueryStatus(ctx, s.inbox, func(c *Core) conf.Status { return c.status(s.cfg.Centre) })
	st.Sent, st.Received = s.links.Bytes()
	return st, ok
}
