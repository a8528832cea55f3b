// Package direct is a router that dispatches requests to targets itself, without agents: for platforms
// whose targets register in the object API and have no VM for an agent.
//
// Decisions are taken by the state machines of module core (sched, fleet, quota, retry, guard) under one
// lock; this package moves bytes and tells them what happened.
package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/cells"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/retry"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/store"
)

// Catalogue reads the objects that the platform keeps in its store.
type Catalogue interface {
	// Config names the object that holds the configuration.
	ConfigObject() (sort, name string)
	// Targets names the kind under which targets register.
	TargetKind() (sort string)
	// Plan decodes the configuration.
	DecodeTable(o store.Object) (*route.Table, error)
	// Target decodes a registration. An error means that the entry names no target to use.
	DecodeTarget(o store.Object) (fleet.Target, error)
	// Moves names the kind under which operators order moves.
	RolloutKind() (sort string)
	// Order decodes an order, and the state that is recorded for it; the state is empty if none is.
	DecodeRollout(o store.Object) (moves.Request, moves.State, error)
	// Mark encodes the state of an order for its object.
	EncodeState(o moves.Request, s moves.State) []byte
}

// Dialect reads and writes the headers that the platform's callers and targets use.
type Dialect interface {
	// Call reads the headers of a caller's request.
	Call(h http.Header) Call
	// Forward sets the system's own headers on a request for a target and removes the caller's.
	SetForwardHeaders(h http.Header, f Forward)
	// Answer reads the head of a target's answer.
	Answer(status int, h http.Header) Answer
}

// Call is what a caller states in the headers of a request.
type Call struct {
	ID  ident.RequestID
	Key string
	// Deadline is the time that the caller waits; zero if it states none.
	Timeout time.Duration
	// Sized is true when the caller states token counts. Prompt is the length of the prompt, Output the
	// largest length of the answer, and Hint the caller's estimate of it, zero if it has none.
	HasTokenCounts                bool
	Prompt, MaxOutput, OutputHint ident.Tokens
}

// Forward is what the system states to a target.
type Forward struct {
	// Left is the time in which the answer is of use.
	Remaining time.Duration
	Target    ident.TargetID
	Account   ident.AccountID
	// After is the id of the last event that the caller has; empty at the first target.
	LastEventID string
}

// Answer is what the head of a target's answer states.
type Answer struct {
	// ID is the request that is answered; empty if the target does not say.
	ID ident.RequestID
	// NotRun is true when the target states that it has not run the request and will not.
	NotRun bool
	// Other is true when another target has the address; the request has not run.
	Misdirected bool
}

const (
	// deadlineDefault is used for callers and routes without a time limit.
	defaultTimeout = 30 * time.Second
	// tickEvery is the interval at which waiting requests are looked at without an event.
	tickInterval = 20 * time.Millisecond
)

// Router is the process. Its methods are safe for concurrent use.
type Router struct {
	cfg         conf.Direct
	boot        ident.Boot
	store       store.StatusStore
	catalogue   Catalogue
	dialect     Dialect
	log         *event.Logger
	asyncWriter *event.AsyncWriter
	meter       *meter.Meter
	regions     map[ident.DataCentre]ident.Region
	conns       *connPool
	table       atomic.Pointer[route.Table]
	// listed is true once the targets were read. A shutdown begins with stopping; after rotated the balancer
	// sends no new connections while others serve; after closing nothing is taken.
	targetsListed, stopping, outOfRotation, closing atomic.Bool
	// linked is true while the registrations of targets are read from the store.
	storeReachable atomic.Bool
	activeRequests atomic.Int64
	// announced is true once the router was ready; began is the start of the process.
	readyLogged atomic.Bool
	started     time.Time
	// end is the end of the shutdown; nil before it begins.
	shutdownDeadline atomic.Pointer[time.Time]

	mu        sync.Mutex
	pools     map[ident.Service]*sched.Pool
	decisions map[*sched.Job]chan decision
	fleet     *fleet.Fleet
	targets   map[ident.TargetID]fleet.Target
	// config and objects are the objects of the store as read last, for other routers.
	configObject  store.Object
	targetObjects map[string]store.Object
	limiter       *quota.Replicated
	retryBudgets  map[ident.Service]*retry.Budget
	guard         *guard.Guard
	lostAnswers   map[ident.TargetID][]lostAnswer
	peers         map[ident.ProcessID]*peer
	recentCrashes []observedCrash
	rnd           *rand.Rand
	// moves are the moves of services that run, or that were taken back; see moves.go.
	rollouts map[ident.Service]*rollout
	// versions are the versions that were in use without an order, per service.
	versions map[ident.Service]map[ident.Version]versionState
	// ordered is closed once the orders of moves were read; strange asks for another list of them.
	rolloutsListed chan struct{}
	relist         chan struct{}
	// marks are objects whose status is to be written.
	stateWrites chan store.Object
	// cell is the part of a large deployment that this router works in, near the number of other routers of
	// it; sizes are the numbers of targets of each service. urgent asks for a beacon to all routers.
	cell            cells.Cell
	cellPeers       int
	targetCounts    map[ident.Service]int
	urgentHeartbeat bool
}

// decision is the end of a request's wait.
type decision struct {
	placement sched.Placement
	target    fleet.Target
	refusal   *sched.Refusal
}

// Option sets one property of a Router.
type Option func(*Router)

// WithSpool lets the router report lines that the spool dropped, and run it.
func WithAsyncWriter(s *event.AsyncWriter) Option { return func(r *Router) { r.asyncWriter = s } }

// New returns a router that does not serve yet; see Run.
func New(cfg conf.Direct, st store.StatusStore, c Catalogue, d Dialect, l *event.Logger, m *meter.Meter, opts ...Option) *Router {
	now := time.Now()
	r := &Router{
		cfg: cfg, boot: ident.BootAt(now), started: now, store: st, catalogue: c, dialect: d, log: l, meter: m,
		regions: map[ident.DataCentre]ident.Region{}, conns: newConnPool(),
		pools: map[ident.Service]*sched.Pool{}, decisions: map[*sched.Job]chan decision{}, fleet: fleet.New(fleet.WithRemovalBound(conf.Milliseconds(cfg.DrainMillis))),
		targets: map[ident.TargetID]fleet.Target{}, targetObjects: map[string]store.Object{}, limiter: quota.NewReplicated(),
		retryBudgets: map[ident.Service]*retry.Budget{}, guard: guard.New(),
		lostAnswers: map[ident.TargetID][]lostAnswer{}, peers: map[ident.ProcessID]*peer{},
		rollouts: map[ident.Service]*rollout{}, versions: map[ident.Service]map[ident.Version]versionState{},
		rolloutsListed: make(chan struct{}), relist: make(chan struct{}, 1), stateWrites: make(chan store.Object, stateWritesMax), cell: cells.Cell{Count: 1},
		rnd: rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(cfg.Name)))),
	}
	for _, c := range cfg.Centres {
		r.regions[c.Name] = c.Region
	}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Ready reports whether callers may be sent here.
func (r *Router) Ready() bool {
	return r.table.Load() != nil && r.targetsListed.Load() && !r.stopping.Load()
}

// announceReady writes a line when the router can take callers for the first time.
func (r *Router) logReady() {
	if r.Ready() && !r.readyLogged.Swap(true) {
		r.log.Log(event.Ready, "name", r.cfg.Name, "took", time.Since(r.started))
	}
}

// pool returns the pool of a service; r.mu is held.
func (r *Router) pool(s ident.Service) *sched.Pool {
	p, ok := r.pools[s]
	if !ok {
		p = sched.New(r.cfg.Name, r.cfg.Centre, r.cfg.Region)
		r.pools[s] = p
	}
	return p
}

// wait queues a job and returns the decision on it, or the error of ctx.
func (r *Router) awaitPlacement(ctx context.Context, s ident.Service, j *sched.Job) (decision, error) {
	ch := make(chan decision, 1)
	r.mu.Lock()
	p := r.pool(s)
	r.decisions[j] = ch
	p.Add(j)
	r.schedule(time.Now(), p)
	r.mu.Unlock()
	select {
	case d := <-ch:
		return d, nil
	case <-ctx.Done():
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if p.Remove(j) {
		delete(r.decisions, j)
		return decision{}, ctx.Err()
	}
	return <-ch, nil // the decision was taken at the same time
}

// next hands out the decisions of a pool; r.mu is held.
func (r *Router) schedule(now time.Time, p *sched.Pool) {
	placed, refused := p.Schedule(now)
	for _, d := range placed {
		r.decisions[d.Job] <- decision{placement: d, target: r.targets[d.Target]}
		delete(r.decisions, d.Job)
	}
	for _, d := range refused {
		r.decisions[d.Job] <- decision{refusal: &d}
		delete(r.decisions, d.Job)
	}
}

// first records the first event of an answer.
func (r *Router) recordFirstEvent(s ident.Service, t ident.TargetID, j *sched.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(s).FirstEvent(time.Now(), t, j)
}

// done records the end of a request at a target.
func (r *Router) recordOutcome(s ident.Service, t ident.TargetID, j *sched.Job, o sched.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now, p := time.Now(), r.pool(s)
	p.Done(now, t, j, o)
	if o.Unreachable {
		r.confirmCrashes(now, t)
	}
	r.schedule(now, p)
}

// tick looks at waiting requests, and at registrations that did not come back.
func (r *Router) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var second time.Time
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		r.mu.Lock()
		for _, p := range r.pools {
			if p.Waiting() > 0 {
				r.schedule(now, p)
			}
		}
		events := r.fleet.Expire(now)
		r.applyFleetEvents(events)
		r.judgeRollouts(now)
		whole := now.Sub(second) >= time.Second
		if whole {
			second = now
			for _, p := range r.pools {
				p.ExpireReports(now)
			}
			r.guard.Expire(now)
			r.assignCells(now)
			r.updateTargetCounts()
		}
		r.mu.Unlock()
		r.logFleetEvents(events)
		if whole {
			r.conns.closeExpired(now)
			if r.asyncWriter != nil {
				if n := r.asyncWriter.Dropped(); n > 0 {
					r.log.Log(event.LinesDropped, "lines", n)
				}
			}
		}
	}
}
