// Package direct implements a router that sends requests to targets itself, without agents, for platforms
// whose targets register in the object API and have no VM for an agent. Command platform runs it and supplies
// the Catalogue and the Dialect of its platform.
//
// Decisions are taken by the state machines of module core (sched, fleet, quota, retry, poison, moves) under one
// lock; this package owns that lock, the connections of callers and targets and the heartbeats between routers,
// transfers the bytes, and reports events to the state machines.
package direct

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hickoryvane.example/core/accept"
	"hickoryvane.example/core/admit"
	"hickoryvane.example/core/avail"
	"hickoryvane.example/core/block"
	"hickoryvane.example/core/budget"
	"hickoryvane.example/core/cells"
	"hickoryvane.example/core/comeback"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/retry"
	"hickoryvane.example/core/route"
	"hickoryvane.example/core/sched"
	"hickoryvane.example/core/scout"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/dial"
	"hickoryvane.example/router/follow"
	"hickoryvane.example/router/relay"
	"hickoryvane.example/router/state"
)

// Catalogue reads the objects that the platform keeps in its store.
type Catalogue interface {
	// ConfigObject returns the kind and name of the object that holds the configuration.
	ConfigObject() (kind, name string)
	// TargetKind returns the kind under which targets register.
	TargetKind() (kind string)
	// DecodeTable decodes the configuration into a routing table.
	DecodeTable(o store.Object) (*route.Table, error)
	// DecodeTarget decodes a registration. An error means that the object describes no usable target.
	DecodeTarget(o store.Object) (fleet.Target, error)
	// RolloutKind returns the kind under which operators request rollouts.
	RolloutKind() (kind string)
	// DecodeRollout decodes a rollout request and its recorded state, which is empty if none is recorded.
	DecodeRollout(o store.Object) (moves.Request, moves.State, error)
	// EvacuationKind returns the kind under which operators request evacuations of data centres.
	EvacuationKind() (kind string)
	// DecodeEvacuation returns the data centre of an evacuation.
	DecodeEvacuation(o store.Object) (ident.DataCentre, error)
	// EncodeState encodes the state of a rollout for the status of its object.
	EncodeState(req moves.Request, s moves.State) []byte
}

// Dialect reads and writes the headers that the platform's callers and targets use.
type Dialect interface {
	// Call parses the headers of a caller's request.
	Call(h http.Header) Call
	// SetForwardHeaders sets the router's headers on a request for a target and removes those meant for the
	// router only.
	SetForwardHeaders(h http.Header, f Forward)
	// Answer parses the status and headers of a target's answer.
	Answer(status int, h http.Header) Answer
	state.Dialect
}

// Call holds what a caller states in the headers of a request.
type Call struct {
	ID  ident.RequestID
	Key string
	// Timeout is the time that the caller waits; zero if it states none.
	Timeout time.Duration
	// HasTokenCounts is true when the caller states token counts. Prompt is the length of the prompt,
	// MaxOutput the maximum length of the answer, and OutputHint the caller's estimate of its length, zero if
	// it states none.
	HasTokenCounts                bool
	Prompt, MaxOutput, OutputHint ident.Tokens
	// Parts are the parts of the prompt that other requests may have in common, in their order.
	Parts []prefix.Part
}

// Forward holds what the router states to a target in the headers of a request.
type Forward struct {
	// Remaining is the time until the deadline of the request.
	Remaining time.Duration
	Target    ident.TargetID
	Account   ident.AccountID
	// LastEventID is the id of the last event that the caller has received; empty at the first target.
	LastEventID string
}

// Answer holds what the status and headers of a target's answer state.
type Answer struct {
	// ID is the request that is answered; empty if the target does not state it.
	ID ident.RequestID
	// NotRun is true when the target states that it has not run the request and will not.
	NotRun bool
	// Misdirected is true when the address belongs to another target now; the request has not run.
	Misdirected bool
	// HasRate is true when the target states how many requests it takes from all routers together, Rate a second.
	HasRate bool
	Rate    float64
	// Cold is the time for which the target states that it is cold; zero if it states none.
	Cold time.Duration
	// Leaving is true when the target states that it leaves; it wants no more requests.
	Leaving bool
	// Pause is the time for which the target wants no requests from this router; zero if it asks for none. OddPause is
	// a value that states no such time.
	Pause    time.Duration
	OddPause string
}

const (
	// defaultTimeout applies to callers and routes without a time limit.
	defaultTimeout = 30 * time.Second
	// tickInterval is the interval at which waiting requests are scheduled again without an event.
	tickInterval = 20 * time.Millisecond
)

// Router accepts requests of callers and sends them to targets. Its methods are safe for concurrent use.
type Router struct {
	cfg       conf.Direct
	boot      ident.Boot
	store     store.StatusStore
	catalogue Catalogue
	dialect   Dialect
	// states asks targets for their state.
	states      *state.Client
	log         *event.Logger
	asyncWriter *event.AsyncWriter
	meter       *meter.Meter
	regions     map[ident.DataCentre]ident.Region
	// memoryLimited is true if targets terminate beyond their memory.
	memoryLimited bool
	callers       *accept.Server
	conns         *dial.Pool
	snapshots     *relay.Client
	blocks        *block.Recorder
	memory        *budget.Budget
	table         atomic.Pointer[route.Table]
	// joined is true once the configuration was compared with those of the other routers, at the start; see join.
	joined atomic.Bool
	// targetsListed is true once the list of targets was read. A shutdown sets stopping first, and later closing,
	// after which all new requests are refused.
	targetsListed, stopping, closing atomic.Bool
	// storeReachable is true while the registrations of targets can be read from the store.
	storeReachable atomic.Bool
	// withdrawn is true while this router reports not ready for a shortage.
	withdrawn      atomic.Bool
	activeRequests atomic.Int64
	// requestsEnded ends when endRequests is called, at the end of a shutdown; running requests are answered then.
	requestsEnded context.Context
	endRequests   context.CancelFunc
	// readyLogged is true once the router has been ready; started is the start of the process.
	readyLogged atomic.Bool
	started     time.Time
	// shutdownDeadline is the end of the shutdown; nil before the shutdown begins.
	shutdownDeadline atomic.Pointer[time.Time]

	// mu guards the fields below, except for the channels, and the limits in cfg that Reload changes.
	mu    sync.Mutex
	pools map[ident.Service]*sched.Pool
	// stopAt is the end of the shutdown once the load balancer sends no new connections as long as other routers are
	// ready; zero before.
	stopAt time.Time
	// decisions holds the channel on which each waiting request gets its decision.
	decisions map[*sched.Job]chan decision
	fleet     *fleet.Fleet
	// targets holds the registered targets as the fleet last reported them.
	targets map[ident.TargetID]fleet.Target
	// configObject and targetObjects are the objects of the store as last read, for snapshots to other routers.
	configObject  store.Object
	targetObjects map[string]store.Object
	// behindSince is the time since which a peer has had a newer configuration; zero if none has.
	behindSince time.Time
	// failedSources holds, by admin address, when a snapshot of a peer could not be read.
	failedSources map[string]time.Time
	limiter       *quota.Replicated
	retryBudgets  map[ident.Service]*retry.Budget
	poison        *poison.Detector
	docket        *poison.Docket
	// comebacks tells retries of callers from first attempts.
	comebacks *comeback.Detector
	// lostAnswers are lost answers that may turn out to be crashes, by target; recentCrashes are the crashes that
	// are sent to other routers. partNames are the ids of parts of prompts by their features.
	lostAnswers map[ident.TargetID][]lostAnswer
	// unanswered are the requests to which their targets have sent nothing yet, by target.
	unanswered map[ident.TargetID]map[*attempt]*unanswered
	// reportedRates are the rates of targets as last reported.
	reportedRates map[ident.TargetID]reportedRate
	// toVerify receives the targets that lost an answer.
	toVerify chan fleet.Target
	// activity holds the time of the last event of each target.
	activity map[ident.TargetID]*targetActivity
	// targetKeys are the targets by their keys in heartbeats; empty for a key that two targets have in common.
	targetKeys map[wire.TargetKey]ident.TargetID
	// reportedUsage is the use of accounts as last reported.
	reportedUsage map[ident.AccountID]reportedUsage
	peers         map[ident.ProcessID]*peer
	recentCrashes []reportedCrash
	partNames     map[ident.Fingerprint]ident.PromptPart
	rnd           *rand.Rand
	// rollouts are the rollouts of services that are running or were rolled back; see rollouts.go.
	rollouts map[ident.Service]*rollout
	// finished holds the last rollout of each service that was done and is not in rollouts any more.
	finished map[ident.Service]pastRollout
	// versions holds, by service, the versions that are not being rolled out.
	versions map[ident.Service]map[ident.Version]versionState
	// rolloutsListed is closed once the rollout requests were read; a value on relist makes the router list
	// them again.
	rolloutsListed chan struct{}
	relist         chan struct{}
	// evacuations is what is known of evacuations, evacuated the data centres of those in force. evacuationsListed is
	// closed once they were read from the store.
	evacuations       *avail.Evacuations
	evacuated         []ident.DataCentre
	evacuationsListed chan struct{}
	evacuationsOnce   sync.Once
	// stateWrites are objects whose status is to be written.
	stateWrites chan store.Object
	// ownAddress is the address under which the store has this router registered; registered gets whether that is
	// its present one, each time the routers were listed.
	ownAddress string
	// routersListed is true once the routers were listed.
	routersListed bool
	registered    chan bool
	// cell is the cell of this router in a large deployment, cellPeers the number of other routers in it;
	// targetCounts are the numbers of targets of each service. urgentHeartbeats is the number of next heartbeats that
	// go to all routers.
	cell             cells.Cell
	cellPeers        int
	targetCounts     map[ident.Service]int
	urgentHeartbeats int
	// busyUntil is the time until which heartbeats are more frequent because requests wait.
	busyUntil time.Time
	// pacer is nil if the store has no modes. targetRev is the newest revision seen of a registration of a target; see
	// scouts.go.
	pacer     follow.Pacer
	follower  *follow.Follower
	targetRev store.Rev
	feed      scout.Feed
	// admission decides whether this router is withdrawn, since withdrawnAt, for a shortage; see short.go.
	admission   admit.Admission
	withdrawnAt time.Time
}

// decision is the result of waiting for a target: a placement or a refusal.
type decision struct {
	placement sched.Placement
	target    fleet.Target
	refusal   *sched.Refusal
	// spareRetries are retries that were reserved in case the target refuses the request.
	spareRetries int
}

// Option sets one property of a Router.
type Option func(*Router)

// WithAsyncWriter makes the router run the asynchronous writer of the log and report lines that it dropped.
func WithAsyncWriter(w *event.AsyncWriter) Option { return func(r *Router) { r.asyncWriter = w } }

// WithLimitedMemory makes the router place requests only where they fit into the memory that the configuration states for
// targets, for platforms whose targets terminate beyond it.
func WithLimitedMemory(limited bool) Option { return func(r *Router) { r.memoryLimited = limited } }

// New returns a router that is not serving yet; see Run.
func New(cfg conf.Direct, st store.StatusStore, c Catalogue, d Dialect, l *event.Logger, m *meter.Meter, opts ...Option) *Router {
	now := time.Now()
	r := &Router{
		cfg: cfg, boot: ident.BootAt(now), started: now, store: st, catalogue: c, dialect: d, states: state.NewClient(d), log: l, meter: m,
		regions: map[ident.DataCentre]ident.Region{}, conns: dial.New(), snapshots: relay.NewClient(), failedSources: map[string]time.Time{}, memory: budget.New(cfg.MemoryMB*(1<<20), cfg.Files), activity: map[ident.TargetID]*targetActivity{},
		targetKeys: map[wire.TargetKey]ident.TargetID{}, reportedUsage: map[ident.AccountID]reportedUsage{},
		pools: map[ident.Service]*sched.Pool{}, decisions: map[*sched.Job]chan decision{}, fleet: fleet.New(fleet.WithRemovalBound(conf.Milliseconds(cfg.DrainMillis))),
		targets: map[ident.TargetID]fleet.Target{}, targetObjects: map[string]store.Object{}, limiter: quota.NewReplicated(),
		retryBudgets: map[ident.Service]*retry.Budget{}, poison: poison.New(), docket: poison.NewDocket(cfg.Name), comebacks: comeback.New(), partNames: map[ident.Fingerprint]ident.PromptPart{},
		lostAnswers: map[ident.TargetID][]lostAnswer{}, unanswered: map[ident.TargetID]map[*attempt]*unanswered{}, reportedRates: map[ident.TargetID]reportedRate{}, toVerify: make(chan fleet.Target, verifyWaitingMax), peers: map[ident.ProcessID]*peer{},
		rollouts: map[ident.Service]*rollout{}, finished: map[ident.Service]pastRollout{}, versions: map[ident.Service]map[ident.Version]versionState{},
		evacuations: avail.NewEvacuations(), evacuationsListed: make(chan struct{}), rolloutsListed: make(chan struct{}), relist: make(chan struct{}, 1), registered: make(chan bool, 1), stateWrites: make(chan store.Object, stateWritesMax), cell: cells.Cell{Count: 1},
		rnd: rand.New(rand.NewPCG(uint64(now.UnixNano()), uint64(len(cfg.Name)))),
	}
	r.blocks = block.NewRecorder(st, l, recordedBlocks{r})
	r.requestsEnded, r.endRequests = context.WithCancel(context.Background())
	for _, c := range cfg.Centres {
		r.regions[c.Name] = c.Region
	}
	for _, o := range opts {
		o(r)
	}
	r.admission.Self = cfg.Name
	r.follower = follow.New(st, l, r.pacer)
	if r.pacer != nil {
		r.pacer.SetSeed(c.TargetKind(), r.seedTargets)
	}
	r.callers = accept.New(&http.Server{
		Handler: r, ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: headerMax, DisableGeneralOptionsHandler: true, ConnContext: withCallerConn,
	}, accept.WithIdleTime(r.idleTimeout), accept.WithClosed(r.logClosed), accept.WithBudget(r.memory), accept.WithHeaderMax(r.headerMax), accept.WithHeaderTime(r.headerTime), accept.WithLimited(r.countLimited, r.logLimited))
	return r
}

// Ready reports whether the load balancer may send callers to this router.
func (r *Router) Ready() bool {
	return r.table.Load() != nil && r.targetsListed.Load() && r.joined.Load() && !r.stopping.Load() && !r.withdrawn.Load()
}

// logReady logs that the router is ready, the first time that it is.
func (r *Router) logReady() {
	if r.Ready() && !r.readyLogged.Swap(true) {
		r.log.Log(event.Ready, "name", r.cfg.Name, "took", time.Since(r.started))
	}
}

// pool returns the pool of a service and creates it if needed; r.mu is held.
func (r *Router) pool(s ident.Service) *sched.Pool {
	p, ok := r.pools[s]
	if !ok {
		var opts []sched.Option
		if r.cfg.Prefix {
			opts = append(opts, sched.WithPrefixes())
		}
		p = sched.New(r.cfg.Name, r.cfg.Centre, r.cfg.Region, opts...)
		p.SetSharers(r.nearRouters(time.Now()))
		p.UseConnections(targetConns{r})
		r.pools[s] = p
		p.StopAt(r.stopAt)
		p.SetEvacuated(time.Now(), r.evacuated)
		r.updateColdLimits(s, p)
	}
	return p
}

// awaitPlacement queues a job and returns the decision on it, or the error of ctx.
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
	return <-ch, nil // the decision was taken just before ctx ended
}

// schedule lets a pool place or refuse waiting jobs and sends the decisions to the waiting requests; r.mu is held.
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

// recordFirstEvent reports the first event of an answer to the pool.
func (r *Router) recordFirstEvent(s ident.Service, t ident.TargetID, j *sched.Job) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(s).FirstEvent(time.Now(), t, j)
}

// recordEventGap reports the times between events of a running answer to the pool.
func (r *Router) recordEventGap(s ident.Service, t ident.TargetID, o sched.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pool(s).EventGap(t, o)
}

// recordOutcome reports the end of a request at a target to the pool.
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

// tick periodically schedules waiting requests, expires registrations that did not reappear, judges rollouts, and
// does the housekeeping that is due once a second.
func (r *Router) tick(ctx context.Context) error {
	t := time.NewTicker(tickInterval)
	defer t.Stop()
	var lastSecond, lastScouting time.Time
	last, delay := time.Now(), time.Duration(0)
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
		}
		now := time.Now()
		delay, last = max(delay, now.Sub(last)-tickInterval), now
		r.mu.Lock()
		for _, p := range r.pools {
			if p.Waiting() > 0 {
				r.schedule(now, p)
			}
		}
		events := r.fleet.Expire(now)
		r.applyFleetEvents(events)
		r.judgeRollouts(now)
		r.reportSilences(now)
		r.updateBlocks(now)
		if now.Sub(lastScouting) >= follow.ScoutInterval {
			lastScouting = now
			r.followScouts(now)
			r.withdraw(now)
		}
		everySecond := now.Sub(lastSecond) >= time.Second
		if everySecond {
			lastSecond = now
			for _, p := range r.pools {
				p.ExpireReports(now)
			}
			r.expireLostAnswers(now)
			r.applyEvacuations(now, "hold")
			r.assignCells(now)
			r.updateTargetCounts()
			r.limitIdle(now)
			r.observeResources(now, delay)
			delay = 0
			r.recordTargets(now)
		}
		r.mu.Unlock()
		r.logFleetEvents(events)
		if everySecond {
			r.conns.CloseExpired(now)
			if r.asyncWriter != nil {
				if n := r.asyncWriter.Dropped(); n > 0 {
					r.log.Log(event.LinesDropped, "lines", n)
				}
			}
		}
	}
}
