// Package entry implements the router on an entry VM: it reads calls of callers, offers them to agents, and
// returns to every caller the complete answer to its own call. Command router runs it.
//
// Core makes all decisions: it owns the calls, the claims, the view of peers and the rollouts, and does no I/O.
// Router drives it, and owns the connections, the HTTP server and the calls of the object API.
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
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/retry"
	"hickoryvane.example/core/wire"
)

const (
	// minPause is the time without any input after which the router assumes that it was paused itself; it gets a
	// tick at least every 50 ms.
	minPause = time.Second
	// creditMax is the number of answer bytes that an agent may send ahead of what the caller has read.
	creditMax ident.Bytes = 256 << 10
	// reattachTimeout is the time for which an answer is looked for after its agent was lost.
	reattachTimeout = 10 * time.Second
	// claimTimeout limits the wait for the owners of a keyed request; after it the owners are chosen again.
	claimTimeout = time.Second
	// confirmTimeout limits the wait for a claim after a grant; it is shorter than the lifetime of a grant's
	// ticket.
	confirmTimeout = 800 * time.Millisecond
	// A further pair of offers is sent after each 1/widenFraction of the wait, widenMax times. Without further
	// offers, requests waited until their deadline at two slow agents when traces were replayed.
	widenFraction = 5
	widenMax      = 3
	// reofferPause is the pause before targets that refused are offered a call again.
	reofferPause = 50 * time.Millisecond
	// refusalBackoff is the time for which a target that refused is not picked for other calls.
	refusalBackoff = 100 * time.Millisecond
	// shedRetryAfter is the Retry-After that callers get when their call was shed.
	shedRetryAfter = time.Second
	// demandInterval is the interval between two announcements of demand.
	demandInterval = quota.AnnounceInterval
	// heartbeatInterval is the interval between two heartbeats to other routers; a third of member.SuspectAfter.
	heartbeatInterval = time.Second
	// idleTimeout is the time for which a connection outside the subset is kept after its last use.
	idleTimeout = 30 * time.Second
	// claimTrustMax is the age of a claim up to which an agent's statement that it never dispatched the request is
	// trusted. It is shorter than ledger.Retention by more than the clock skew.
	claimTrustMax = 10 * time.Minute
	// claimBurst is the number of claims that may be made in the object API at once.
	claimBurst = 10
	// silenceTimeout is the time without any chunk after which a dispatched request is considered lost.
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
	poison      *poison.Detector
	gossipTable *facts.Gossiper
	members     *member.Membership
	rollouts    *active.RolloutSet
	lease       *lease.Machine
	meter       Meter

	peers         map[links.ID]*peer
	linkByProcess map[ident.ProcessID]links.ID
	// lastBoots holds the last boot of each agent that was connected.
	lastBoots map[ident.ProcessID]ident.Boot
	calls     map[CallID]*call
	// callByAttempt finds the call to which a frame belongs, by its current attempt.
	callByAttempt map[ident.RequestID]*call
	bounds        conf.RouterBounds
	seedAddresses []string

	choosers          map[ident.Rollout]*moves.Chooser
	conclusionWriters map[ident.Rollout]*moves.ConclusionWriter
	commands          *orders.Planner
	periodic          periodicState
	// claimLimiter limits the rate of claims in the object API.
	claimLimiter *rate.Limiter
	drainStart   time.Time
	// lastInput is the time of the last input.
	lastInput time.Time
	// actions are those emitted since the last TakeActions; choices is a buffer that is reused between picks.
	actions []Action
	choices []pick.Choice
}

// periodicState holds the state of periodic work. The fields of type time.Time are the times of its last run.
type periodicState struct {
	lastGossip     time.Time
	lastDemand     time.Time
	lastHeartbeat  time.Time
	lastSecondTick time.Time
	lastSweep      time.Time
	// readyLogged is true once the router was ready; loggedShares holds the shares of rollouts that were logged.
	readyLogged       bool
	loggedShares      map[ident.Rollout]float64
	lastRolloutUpdate time.Time
	// rolloutsChanged is true when gossip entries about rollouts changed after lastRolloutUpdate.
	rolloutsChanged bool
	watchingStore   bool
	wantedAddresses map[string]bool
	// lastUsed holds the time of the last use of processes, which may be outside the subset.
	lastUsed map[ident.ProcessID]time.Time
	// monitored holds the processes whose silence is taken as a sign of their loss.
	monitored map[ident.ProcessID]bool
	// publishedList is the list of VMs that this router published last.
	publishedList string
	// newestListMillis is the time of the newest list that a watcher published, in Unix milliseconds.
	newestListMillis int64
}

// peer is a connected process.
type peer struct {
	hello  wire.Hello
	target ident.TargetID
	// pendingClaims lists, by claim id, the attempts whose claims the peer has not answered yet, in the order of
	// sending. An answer names the attempt that holds the claim, not the one that requested it.
	pendingClaims map[ident.RequestID][]ident.RequestID
}

// Meter records measurements of finished calls.
type Meter interface {
	// RecordCall records a call that ended.
	RecordCall(m CallStats)
	// RecordTokenGap records the time between two tokens of a call.
	RecordTokenGap(a ident.AccountID, s ident.Service, t ident.Tier, d time.Duration)
}

// CallStats holds the measurements of a call at its end.
type CallStats struct {
	Account ident.AccountID
	Service ident.Service
	Tier    ident.Tier
	// QueueTime, the wait until the dispatch, TimeToFirstByte and TotalTime are zero when the call did not get
	// that far.
	QueueTime, TimeToFirstByte, TotalTime time.Duration
	Prompt, Output                        ident.Tokens
	// Goodput is true for a complete answer whose first byte arrived in time.
	Goodput bool
	// WastedPrompt counts prompt tokens that were processed without a complete answer.
	WastedPrompt ident.Tokens
	// Reason is the reason of the refusal or failure; empty for a complete answer.
	Reason string
	// LinkBytes counts bytes sent over the region link.
	LinkBytes ident.Bytes
}

// Option configures a Core.
type Option func(*Core)

// WithMeter sets the receiver of measurements.
func WithMeter(m Meter) Option { return func(c *Core) { c.meter = m } }

// WithSeeds sets the addresses that the router dials until it knows other routers.
func WithSeeds(addrs []string) Option { return func(c *Core) { c.seedAddresses = addrs } }

// WithBounds limits what the router holds.
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
		poison:            poison.New(),
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
		periodic:          periodicState{wantedAddresses: make(map[string]bool), loggedShares: make(map[ident.Rollout]float64), lastUsed: make(map[ident.ProcessID]time.Time), monitored: make(map[ident.ProcessID]bool)},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

type noMeter struct{}

func (noMeter) RecordCall(CallStats) {}

func (noMeter) RecordTokenGap(ident.AccountID, ident.Service, ident.Tier, time.Duration) {}

// TakeActions returns the actions emitted since the last call.
func (c *Core) TakeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// Index returns the configuration in force; nil if there is none.
func (c *Core) Index() *conf.Index { return c.config.Index() }

// Ready reports whether the router accepts calls.
func (c *Core) Ready() bool {
	return c.config.Ready() && c.config.Index() != nil && c.drainStart.IsZero()
}

// Drain starts a graceful shutdown: no new call is accepted, and calls in progress are finished.
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

// Drained reports whether a graceful shutdown is complete.
func (c *Core) Drained() bool { return !c.drainStart.IsZero() && len(c.calls) == 0 }

// Tick advances the time; it is called at least every 50 ms.
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
		c.poison.Step(now) // agents publish the blocks
		c.updateStoreWatch()
		c.logStatus()
		c.updateConnections(now)
		c.dropStaleState()
	}
}

// dropStaleState deletes state about agents that are gone and rollouts that no longer run.
func (c *Core) dropStaleState() {
	maps.DeleteFunc(c.lastBoots, func(id ident.ProcessID, _ ident.Boot) bool {
		_, connected := c.linkByProcess[id]
		return !connected && c.members.State(id) == member.Gone
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

// sendTo sends a message to a process and reports whether it is connected.
func (c *Core) sendTo(id ident.ProcessID, m wire.Message) bool {
	l, connected := c.linkByProcess[id]
	if connected {
		c.send(l, m)
	}
	return connected
}

func (c *Core) log(id event.ID, pairs ...any) { c.emit(Log{Event: id, Pairs: pairs}) }
