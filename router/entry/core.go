// Package entry is the router on an entry VM: it reads calls of callers, offers them to agents, and gives
// every caller its own whole answer. Core makes all decisions; Router drives it.
package entry

import (
	"maps"
	"math/rand/v2"
	"time"

	"golang.org/x/time/rate"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/orders"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/retry"
	"hickoryvane.example/core/wire"
)

const (
	// pauseTime is the time without any input after which the router itself was paused; it gets a tick
	// every 50 ms.
	minPause = time.Second
	// creditMax is the number of answer bytes that an agent may send ahead of the caller's reading.
	creditMax ident.Bytes = 256 << 10
	// lostTime is the time in which an answer is looked for after its agent was lost.
	reattachTimeout = 10 * time.Second
	// claimTime bounds the wait for the homes of a keyed request; after it the homes are chosen again.
	claimTimeout = time.Second
	// confirmTime bounds the wait for a claim after a grant; it is shorter than a grant's ticket.
	confirmTimeout = 800 * time.Millisecond
	// widenPart is the part of the wait after which a further pair of offers is sent, widenMax times. In the
	// replay, without further offers, requests waited for their whole deadline at two slow agents.
	widenFraction = 5
	widenMax      = 3
	// againTime is the pause before targets that refused are asked again.
	reofferPause = 50 * time.Millisecond
	// refusedTime is the time for which a target that refused is not picked for other calls.
	refusalBackoff = 100 * time.Millisecond
	// shedRetry is told to callers whose call was shed.
	shedRetryAfter = time.Second
	// demandTime is the time between two announcements of demand.
	demandInterval = quota.AnnounceInterval
	// beatTime is the time between two signs of life to other routers; a third of member.SuspectAfter.
	heartbeatInterval = time.Second
	// idleTime is the time for which a connection outside the subset is kept after its last use.
	idleTimeout = 30 * time.Second
	// trustTime is the age of a claim up to which an agent's statement that it never dispatched the request
	// is believed. It is shorter than ledger.Retention by more than clocks differ.
	claimTrustMax = 10 * time.Minute
	// claimBurst is the number of claims in the object API that may be made at once.
	claimBurst = 10
	// silentTime is the time without any chunk after which a dispatched request counts as lost.
	silenceTimeout = 15 * time.Minute
)

// Core is the state machine of a router. It is not safe for concurrent use.
type Core struct {
	self        ident.ProcessID
	region      ident.Region
	boot        ident.Boot
	rnd         *rand.Rand
	config      *conf.Holder
	picker      *pick.Picker
	quota       *quota.Quota
	retry       *retry.Budget
	guard       *guard.Guard
	gossipTable *facts.Gossiper
	members     *member.Membership
	rollouts    *active.RolloutSet
	lease       *lease.Machine
	meter       Meter

	peers         map[links.ID]*peer
	linkByProcess map[ident.ProcessID]links.ID
	// boots holds the last run of each agent that was connected.
	lastBoots map[ident.ProcessID]ident.Boot
	calls     map[CallID]*call
	// byReq finds the call of a frame.
	callByAttempt map[ident.RequestID]*call
	bounds        conf.RouterBounds
	seedAddresses []string

	choosers          map[ident.Rollout]*moves.Chooser
	conclusionWriters map[ident.Rollout]*moves.ConclusionWriter
	commands          *orders.Planner
	periodic          periodicState
	// limit bounds the claims in the object API.
	claimLimiter *rate.Limiter
	drainStart   time.Time
	// awake is the time of the last input.
	lastInput time.Time
	actions   []Action
	choices   []pick.Choice
}

// tasks holds the times of recurring work.
type periodicState struct {
	lastGossip     time.Time
	lastDemand     time.Time
	lastHeartbeat  time.Time
	lastSecondTick time.Time
	lastSweep      time.Time
	// ready is true after the router was ready once; shares holds the shares that were logged.
	readyLogged       bool
	loggedShares      map[ident.Rollout]float64
	lastRolloutUpdate time.Time
	// dirty is true when facts about moves changed since absorbed.
	rolloutsChanged bool
	watchingStore   bool
	wantedAddresses map[string]bool
	// used holds the last use of agents outside the subset.
	lastUsed map[ident.ProcessID]time.Time
	// watched holds the processes whose silence is taken as a sign of their loss.
	watched map[ident.ProcessID]bool
	// list is the list of VMs that this router spread last.
	publishedList string
	// listAt is the time of the newest list that a watcher spread, in Unix milliseconds.
	newestListMillis int64
}

// peer is a connected process.
type peer struct {
	hello  wire.Hello
	target ident.TargetID
	// asked lists, by key, the attempts whose claims the peer has not answered yet, in the order of sending.
	// An answer names the attempt that holds the claim, not the one that asked.
	pendingClaims map[ident.RequestID][]ident.RequestID
}

// Meter records measurements of finished calls.
type Meter interface {
	// Called records a call that ended: the wait until its dispatch, the time to its first byte, its whole
	// time, its output tokens, and the reason of its refusal or empty.
	RecordCall(m CallStats)
	// Gap records the time between two tokens of a call.
	RecordTokenGap(a ident.AccountID, s ident.Service, t ident.Tier, d time.Duration)
}

// Measure is what is known of a call at its end.
type CallStats struct {
	Account ident.AccountID
	Service ident.Service
	Tier    ident.Tier
	// Queued, First and Total are zero when the call did not get that far.
	QueueTime, TimeToFirstByte, TotalTime time.Duration
	Prompt, Output                        ident.Tokens
	// Good is true for a whole answer whose first byte came in time.
	Goodput bool
	// Wasted counts prompt tokens that were processed without a whole answer.
	WastedPrompt ident.Tokens
	// Reason is empty for a whole answer.
	Reason string
	// Link counts bytes over the region link.
	LinkBytes ident.Bytes
}

// Option changes a Core.
type Option func(*Core)

// WithMeter sets the receiver of measurements.
func WithMeter(m Meter) Option { return func(c *Core) { c.meter = m } }

// WithSeeds sets the addresses that the router connects to until it knows other routers.
func WithSeeds(addrs []string) Option { return func(c *Core) { c.seedAddresses = addrs } }

// WithBounds sets what the router holds at most.
func WithBounds(b conf.RouterBounds) Option { return func(c *Core) { c.bounds = b } }

// New returns the core of a router.
func New(self member.Entry, region ident.Region, boot ident.Boot, deployment string, rnd *rand.Rand, opts ...Option) *Core {
	id := self.VM
	c := &Core{
		self: id, region: region, boot: boot, rnd: rnd,
		config:            conf.NewHolder(deployment),
		picker:            pick.New(rnd, region),
		quota:             quota.New(id),
		retry:             retry.New(rnd),
		guard:             guard.New(),
		gossipTable:       active.NewTable(id, boot, rnd),
		members:           member.New(self, member.Regions{self.Centre: region}),
		rollouts:          active.New(),
		lease:             lease.New(controlLease, id, boot),
		commands:          orders.New(controlLease),
		meter:             noMeter{},
		peers:             make(map[links.ID]*peer),
		linkByProcess:     make(map[ident.ProcessID]links.ID),
		lastBoots:         make(map[ident.ProcessID]ident.Boot),
		calls:             make(map[CallID]*call),
		callByAttempt:     make(map[ident.RequestID]*call),
		claimLimiter:      rate.NewLimiter(0, claimBurst),
		choosers:          make(map[ident.Rollout]*moves.Chooser),
		conclusionWriters: make(map[ident.Rollout]*moves.ConclusionWriter),
		periodic:          periodicState{wantedAddresses: make(map[string]bool), loggedShares: make(map[ident.Rollout]float64), lastUsed: make(map[ident.ProcessID]time.Time), watched: make(map[ident.ProcessID]bool)},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

type noMeter struct{}

func (noMeter) RecordCall(CallStats) {}

func (noMeter) RecordTokenGap(ident.AccountID, ident.Service, ident.Tier, time.Duration) {}

// Take returns the actions since the last call.
func (c *Core) TakeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// Index returns the configuration in force; nil if there is none.
func (c *Core) Index() *conf.Index { return c.config.Index() }

// Ready reports whether the router takes calls.
func (c *Core) Ready() bool {
	return c.config.Ready() && c.config.Index() != nil && c.drainStart.IsZero()
}

// Drain begins a graceful shutdown: no new call is taken, and the present ones end.
func (c *Core) Drain(now time.Time) {
	if c.drainStart.IsZero() {
		c.drainStart = now
		c.lease.Release()
		c.log(event.Stopping, "calls", len(c.calls))
		for l := range c.peers {
			c.send(l, &wire.Leave{Detail: "graceful shutdown"})
		}
	}
}

// Drained reports whether a shutdown is complete.
func (c *Core) Drained() bool { return !c.drainStart.IsZero() && len(c.calls) == 0 }

// Tick applies the passing of time; it is called at least every 50 ms.
func (c *Core) Tick(now time.Time) {
	c.recordInput(now)
	for _, k := range c.calls {
		c.tickCall(now, k)
	}
	c.config.Tick(now)
	c.rolloutTick(now)
	c.gossipTick(now)
	if now.Sub(c.periodic.lastSecondTick) >= time.Second {
		c.periodic.lastSecondTick = now
		c.applyMemberChanges(now, c.members.Tick(now))
		c.guard.Expire(now)
		c.updateStoreWatch()
		c.logStatus()
		c.updateConnections(now)
		c.dropStaleState()
	}
}

// forget drops what is held about agents and moves that are gone.
func (c *Core) dropStaleState() {
	maps.DeleteFunc(c.lastBoots, func(id ident.ProcessID, _ ident.Boot) bool {
		_, up := c.linkByProcess[id]
		return !up && c.members.State(id) == member.Gone
	})
	running := make(map[ident.Rollout]bool)
	if x := c.config.Index(); x != nil {
		for _, s := range x.Config().Services {
			if m := c.rollouts.Running(s.Name); m != nil {
				running[m.Rollout().Name] = true
			}
		}
	}
	maps.DeleteFunc(c.choosers, func(m ident.Rollout, _ *moves.Chooser) bool { return !running[m] })
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) send(l links.ID, m wire.Message) {
	if c.peers[l] != nil {
		c.emit(Send{Link: l, Message: m})
	}
}

// tell sends a message to a process and reports whether it is connected.
func (c *Core) sendTo(id ident.ProcessID, m wire.Message) bool {
	l, ok := c.linkByProcess[id]
	if ok {
		c.send(l, m)
	}
	return ok
}

func (c *Core) log(id event.ID, pairs ...any) { c.emit(Log{Event: id, Pairs: pairs}) }
