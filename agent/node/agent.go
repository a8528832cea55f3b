package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/admin"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/group"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/launch"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/ring"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
)

const (
	// inboxSize bounds the inputs that wait for the core; their senders block when the inbox is full.
	inboxSize = 4096
	// tickInterval is the time between two ticks of the core.
	tickInterval = 20 * time.Millisecond
	// drainTimeout bounds the duration of a graceful shutdown.
	drainTimeout = 15 * time.Minute
	// flushTimeout bounds the time for writing queued messages when the agent stops.
	flushTimeout = 2 * time.Second
	// leaseTimeout bounds one read of a lease from the object API.
	leaseTimeout = 5 * time.Second
)

// input is one input of the core, run by the goroutine that owns it.
type input func(now time.Time, c *Core)

// Agent drives a Core: it performs the core's actions and feeds it messages of peers, parts and results of the
// target, and reads of the object API.
type Agent struct {
	cfg    conf.Agent
	boot   ident.Boot
	target target.Target
	store  store.Store
	log    *event.Logger
	core   *Core
	meter  *meter.Meter
	inbox  *ring.Ring[input]
	links  *links.Links
	// generation is the generation of the configuration in force, sent in handshakes.
	generation atomic.Uint64
	// tasks counts the goroutines of runAsync, such as those that read answers from the target; they end with
	// the context of Run.
	tasks sync.WaitGroup
	// cancelReads holds, by request, the function that stops reading its answer; only the goroutine of the
	// core uses it.
	cancelReads map[ident.RequestID]context.CancelFunc
	// drain is closed when a graceful shutdown begins.
	drain     chan struct{}
	drainOnce sync.Once
}

// NewAgent returns an agent; Run starts it.
func NewAgent(cfg conf.Agent, t target.Target, s store.Store, log *event.Logger, m *meter.Meter) *Agent {
	boot := ident.BootAt(time.Now())
	a := &Agent{
		cfg: cfg, boot: boot, target: t, store: s, log: log,
		inbox:       ring.New[input](inboxSize),
		cancelReads: make(map[ident.RequestID]context.CancelFunc),
		drain:       make(chan struct{}),
		meter:       m,
	}
	rnd := rand.New(rand.NewPCG(uint64(boot), ident.RendezvousWeight("agent", string(cfg.Name))))
	a.core = New(cfg.Name, boot, cfg.Deployment, rnd, WithAnswerBounds(cfg.Bounds.AnswerBytes, cfg.Bounds.AnswerRetention.Duration()))
	auth := wire.Auth{Deployment: cfg.Deployment, Key: []byte(cfg.Secret)}
	a.links = links.New(auth, a.hello, a.handleLinkEvent, log)
	return a
}

// Stop begins a graceful shutdown; Run returns when it is complete.
func (a *Agent) Stop() { a.drainOnce.Do(func() { close(a.drain) }) }

// Run serves until ctx ends or a graceful shutdown is complete.
func (a *Agent) Run(ctx context.Context) error {
	ln, err := admin.Listen(a.cfg.Admin)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.New()
	handler := admin.Handler(&source{Agent: a, ctx: ctx}, a.meter.Handler())
	g.Go(ctx, "admin", func(ctx context.Context) error {
		return admin.Serve(ctx, ln, handler, accept.WithBudget(budget.New(launch.MemoryLimit, 0)))
	})
	g.Go(ctx, "core", a.loop)
	g.Go(ctx, "probe", a.probeTarget)
	if e, ok := a.target.(*target.Engine); ok {
		g.Go(ctx, "cache", func(ctx context.Context) error { return a.watchCache(ctx, e) })
		g.Go(ctx, "version", func(ctx context.Context) error { return a.watchVersion(ctx, e) })
	}
	a.log.Log(event.Started, "role", "agent", "process", a.cfg.Name, "admin", ln.Addr())
	first := <-g.Exits()
	g.CountExit()
	fctx, stop := context.WithTimeout(context.WithoutCancel(ctx), flushTimeout)
	a.links.Flush(fctx)
	stop()
	cancel()
	err = g.Wait()
	a.tasks.Wait()
	a.log.Log(event.Stopped, "role", "agent")
	if first.Err != nil && ctx.Err() == nil {
		return first.Err
	}
	return err
}

// loop runs in the only goroutine that uses the core. It returns when a graceful shutdown is complete.
func (a *Agent) loop(ctx context.Context) error {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	var timeout <-chan time.Time
	drain := a.drain
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timeout:
			return nil
		case <-drain:
			drain, timeout = nil, time.After(drainTimeout)
			a.core.Drain(time.Now())
		case <-tick.C:
			a.core.Tick(time.Now())
		case <-a.inbox.Ready():
			for in, ok := a.inbox.Take(); ok; in, ok = a.inbox.Take() {
				in(time.Now(), a.core)
			}
		}
		a.perform(ctx)
		if drain == nil && a.core.Drained(time.Now()) {
			return nil
		}
	}
}

// perform executes the actions that the core requested.
func (a *Agent) perform(ctx context.Context) {
	a.generation.Store(uint64(a.core.Generation()))
	for _, act := range a.core.TakeActions() {
		switch act := act.(type) {
		case Send:
			if refusal, ok := act.Message.(*wire.Refuse); ok {
				a.meter.CountRefused(refusal.Reason)
			}
			a.links.Send(links.ID(act.Peer), act.Message)
		case Start:
			a.start(ctx, act.Request)
		case Resume:
			a.resume(ctx, act.ID)
		case CancelRequest:
			a.cancel(ctx, act.ID)
		case SendCommand:
			a.sendCommand(ctx, act.Forward)
		case ReadLease:
			a.readLease(ctx, act.Name)
		case Log:
			a.log.Log(act.Event, act.Pairs...)
		}
	}
}

// runAsync runs f in a goroutine and puts the input that f returns, if any, into the inbox of the core.
func (a *Agent) runAsync(ctx context.Context, f func(context.Context) input) {
	a.tasks.Add(1)
	go func() {
		defer a.tasks.Done()
		if in := f(ctx); in != nil {
			_ = a.inbox.Put(ctx, in) // fails only when the process stops
		}
	}()
}

func (a *Agent) start(ctx context.Context, r target.Request) {
	rctx, stop := context.WithCancel(ctx)
	a.cancelReads[r.ID] = stop
	a.runAsync(rctx, func(rctx context.Context) input {
		out := a.target.Run(rctx, r, a.partHandler(ctx, r.ID))
		return a.putEnd(ctx, r.ID, out)
	})
}

func (a *Agent) resume(ctx context.Context, id ident.RequestID) {
	rctx, stop := context.WithCancel(ctx)
	a.cancelReads[id] = stop
	a.runAsync(rctx, func(rctx context.Context) input {
		out, _ := a.target.Resume(rctx, id, a.partHandler(ctx, id))
		return a.putEnd(ctx, id, out)
	})
}

// putEnd puts the end of a request into the inbox. It returns nil instead of an input for runAsync, whose context
// may have been cancelled by then.
func (a *Agent) putEnd(ctx context.Context, id ident.RequestID, out target.Outcome) input {
	_ = a.inbox.Put(ctx, func(now time.Time, c *Core) {
		if stop := a.cancelReads[id]; stop != nil {
			stop()
			delete(a.cancelReads, id)
		}
		c.HandleEnd(now, id, out)
	})
	return nil
}

// partHandler returns the function that puts the parts of an answer into the inbox.
func (a *Agent) partHandler(ctx context.Context, id ident.RequestID) func(target.Part) {
	return func(p target.Part) {
		_ = a.inbox.Put(ctx, func(now time.Time, c *Core) { c.HandlePart(now, id, p) })
	}
}

// cancel cancels a request at the target and then stops reading its answer. Reading stops only after the target has
// answered the cancellation, so that the end which the target sends can still arrive.
func (a *Agent) cancel(ctx context.Context, id ident.RequestID) {
	stop := a.cancelReads[id]
	a.runAsync(ctx, func(ctx context.Context) input {
		err := a.target.Cancel(ctx, id)
		if stop != nil {
			stop()
		}
		if err != nil {
			a.log.Log(event.TargetSlow, "request", id, "error", err)
		}
		return nil
	})
}

func (a *Agent) sendCommand(ctx context.Context, f lease.ForwardCommand) {
	a.runAsync(ctx, func(ctx context.Context) input {
		cmd := target.Command{Verb: f.Command.Verb, Version: f.Command.Version, Value: f.Command.Value, Fence: f.Command.Fence, Issuer: a.cfg.Name}
		err := a.target.SendCommand(ctx, cmd)
		return func(_ time.Time, c *Core) { c.HandleCommandResult(f.Command.ID, err) }
	})
}

func (a *Agent) readLease(ctx context.Context, name string) {
	a.runAsync(ctx, func(ctx context.Context) input {
		ctx, cancel := context.WithTimeout(ctx, leaseTimeout)
		defer cancel()
		r, err := readLease(ctx, a.store, name)
		return func(now time.Time, c *Core) { c.HandleLeaseRead(now, name, r, err) }
	})
}

// handleLinkEvent puts an event of a peer connection into the inbox.
func (a *Agent) handleLinkEvent(ctx context.Context, e links.Event) error {
	p := answer.Peer(e.Link)
	return a.inbox.Put(ctx, func(now time.Time, c *Core) {
		switch {
		case e.Hello != nil:
			c.HandleConnect(p, *e.Hello)
		case e.Closed:
			c.HandleDisconnect(now, p)
		default:
			c.HandleMessage(now, p, e.Message)
		}
	})
}

func (a *Agent) hello() wire.Hello {
	return wire.Hello{Process: a.cfg.Name, Role: string(member.Agent), Boot: a.boot, Centre: a.cfg.Centre, Generation: ident.Generation(a.generation.Load())}
}
