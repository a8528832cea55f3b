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
	pauseTime = time.Second
	// creditMax is the number of answer bytes that an agent may send ahead of the caller's reading.
	creditMax ident.Bytes = 256 << 10
	// lostTime is the time in which an answer is looked for after its agent was lost.
	lostTime = 10 * time.Second
	// claimTime bounds the wait for the homes of a keyed request; after it the homes are chosen again.
	claimTime = time.Second
	// confirmTime bounds the wait for a claim after a grant; it is shorter than a grant's ticket.
	confirmTime = 800 * time.Millisecond
	// widenPart is the part of the wait after which a further pair of offers is sent, widenMax times. In the
	// replay, without further offers, requests waited for their whole deadline at two slow agents.
	widenPart = 5
	widenMax  = 3
	// againTime is the pause before targets that refused are asked again.
	againTime = 50 * time.Millisecond
	// refusedTime is the time for which a target that refused is not picked for other calls.
	refusedTime = 100 * time.Millisecond
	// shedRetry is told to callers whose call was shed.
	shedRetry = time.Second
	// demandTime is the time between two announcements of demand.
	demandTime = quota.Round
	// beatTime is the time between two signs of life to other routers; a third of member.SuspectAfter.
	beatTime = time.Second
	// idleTime is the time for which a connection outside the subset is kept after its last use.
	idleTime = 30 * time.Second
	// trustTime is the age of a claim up to which an agent's statement that it never dispatched the request
	// is believed. It is shorter than ledger.Retention by more than clocks differ.
	trustTime = 10 * time.Minute
	// claimBurst is the number of claims in the object API that may be made at once.
	claimBurst = 10
	// silentTime is the time without any chunk after which a dispatched request counts as lost.
	silentTime = 15 * time.Minute
)

// Core is the state machine of a router. It is not safe for concurrent use.
type Core struct {
	self   ident.ProcessID
	region ident.Region
	boot   ident.Boot
	rnd    *rand.Rand
	force  *conf.Force
	picker *pick.Picker
	quota  *quota.Quota
	retry  *retry.Retry
	guard  *guard.Guard
	facts  *facts.Gossiper
	member *member.Membership
	moves  *active.Set
	lease  *lease.Machine
	meter  Meter

	peers map[links.ID]*peer
	byID  map[ident.ProcessID]links.ID
	// boots holds the last run of each agent that was connected.
	boots map[ident.ProcessID]ident.Boot
	calls map[CallID]*call
	// byReq finds the call of a frame.
	byReq  map[ident.RequestID]*call
	bounds conf.RouterBounds
	seeds  []string

	choosers map[ident.Move]*moves.Chooser
	enders   map[ident.Move]*moves.Ender
	orders   *orders.Machine
	tasks    tasks
	// limit bounds the claims in the object API.
	limit   *rate.Limiter
	drainAt time.Time
	// awake is the time of the last input.
	awake   time.Time
	acts    []Action
	choices []pick.Choice
}

// tasks holds the times of recurring work.
type tasks struct {
	facts  time.Time
	demand time.Time
	beat   time.Time
	second time.Time
	sweep  time.Time
	// ready is true after the router was ready once; shares holds the shares that were logged.
	ready    bool
	shares   map[ident.Move]float64
	absorbed time.Time
	// dirty is true when facts about moves changed since absorbed.
	dirty    bool
	watching bool
	want     map[string]bool
	// used holds the last use of agents outside the subset.
	used map[ident.ProcessID]time.Time
	// watched holds the processes whose silence is taken as a sign of their loss.
	watched map[ident.ProcessID]bool
	// list is the list of VMs that this router spread last.
	list string
	// listAt is the time of the newest list that a watcher spread, in Unix milliseconds.
	listAt int64
}

// peer is a connected process.
type peer struct {
	hello  wire.Hello
	target ident.TargetID
	// asked lists, by key, the attempts whose claims the peer has not answered yet, in the order of sending.
	// An answer names the attempt that holds the claim, not the one that asked.
	asked map[ident.RequestID][]ident.RequestID
}

// Meter records measurements of finished calls.
type Meter interface {
	// Called records a call that ended: the wait until its dispatch, the time to its first byte, its whole
	// time, its output tokens, and the reason of its refusal or empty.
	Called(m Measure)
	// Gap records the time between two tokens of a call.
	Gap(a ident.AccountID, s ident.Service, t ident.Tier, d time.Duration)
}

// Measure is what is known of a call at its end.
type Measure struct {
	Account ident.AccountID
	Service ident.Service
	Tier    ident.Tier
	// Queued, First and Total are zero when the call did not get that far.
	Queued, First, Total time.Duration
	Prompt, Output       ident.Tokens
	// Good is true for a whole answer whose first byte came in time.
	Good bool
	// Wasted counts prompt tokens that were processed without a whole answer.
	Wasted ident.Tokens
	// Reason is empty for a whole answer.
	Reason string
	// Link counts bytes over the region link.
	Link ident.Bytes
}

// Option changes a Core.
type Option func(*Core)

// WithMeter sets the receiver of measurements.
func WithMeter(m Meter) Option { return func(c *Core) { c.meter = m } }

// WithSeeds sets the addresses that the router connects to until it knows other routers.
func WithSeeds(addrs []string) Option { return func(c *Core) { c.seeds = addrs } }

// WithBounds sets what the router holds at most.
func WithBounds(b conf.RouterBounds) Option { return func(c *Core) { c.bounds = b } }

// New returns the core of a router.
func New(self member.Entry, region ident.Region, boot ident.Boot, deployment string, rnd *rand.Rand, opts ...Option) *Core {
	id := self.VM
	c := &Core{
		self: id, region: region, boot: boot, rnd: rnd,
		force:    conf.NewForce(deployment),
		picker:   pick.New(rnd, region),
		quota:    quota.New(id),
		retry:    retry.New(rnd),
		guard:    guard.New(),
		facts:    active.NewTable(id, boot, rnd),
		member:   member.New(self, member.Regions{self.Centre: region}),
		moves:    active.New(),
		lease:    lease.New(controlLease, id, boot),
		orders:   orders.New(controlLease),
		meter:    noMeter{},
		peers:    make(map[links.ID]*peer),
		byID:     make(map[ident.ProcessID]links.ID),
		boots:    make(map[ident.ProcessID]ident.Boot),
		calls:    make(map[CallID]*call),
		byReq:    make(map[ident.RequestID]*call),
		limit:    rate.NewLimiter(0, claimBurst),
		choosers: make(map[ident.Move]*moves.Chooser),
		enders:   make(map[ident.Move]*moves.Ender),
		tasks:    tasks{want: make(map[string]bool), shares: make(map[ident.Move]float64), used: make(map[ident.ProcessID]time.Time), watched: make(map[ident.ProcessID]bool)},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

type noMeter struct{}

func (noMeter) Called(Measure) {}

func (noMeter) Gap(ident.AccountID, ident.Service, ident.Tier, time.Duration) {}

// Take returns the actions since the last call.
func (c *Core) Take() []Action {
	acts := c.acts
	c.acts = nil
	return acts
}

// Index returns the configuration in force; nil if there is none.
func (c *Core) Index() *conf.Index { return c.force.Index() }

// Ready reports whether the router takes calls.
func (c *Core) Ready() bool { return c.force.Ready() && c.force.Index() != nil && c.drainAt.IsZero() }

// Drain begins a graceful shutdown: no new call is taken, and the present ones end.
func (c *Core) Drain(now time.Time) {
	if c.drainAt.IsZero() {
		c.drainAt = now
		c.lease.Release()
		c.log(event.Stopping, "calls", len(c.calls))
		for l := range c.peers {
			c.send(l, &wire.Leave{Detail: "graceful shutdown"})
		}
	}
}

// Drained reports whether a shutdown is complete.
func (c *Core) Drained() bool { return !c.drainAt.IsZero() && len(c.calls) == 0 }

// Tick applies the passing of time; it is called at least every 50 ms.
func (c *Core) Tick(now time.Time) {
	c.wake(now)
	for _, k := range c.calls {
		c.tickCall(now, k)
	}
	c.force.Tick(now)
	c.moveTick(now)
	c.gossipTick(now)
	if now.Sub(c.tasks.second) >= time.Second {
		c.tasks.second = now
		c.changed(now, c.member.Tick(now))
		c.guard.Expire(now)
		c.duty()
		c.note()
		c.connect(now)
		c.forget()
	}
}

// forget drops what is held about agents and moves that are gone.
func (c *Core) forget() {
	maps.DeleteFunc(c.boots, func(id ident.ProcessID, _ ident.Boot) bool {
		_, up := c.byID[id]
		return !up && c.member.State(id) == member.Gone
	})
	running := make(map[ident.Move]bool)
	if x := c.force.Index(); x != nil {
		for _, s := range x.Config().Services {
			if m := c.moves.Running(s.Name); m != nil {
				running[m.Move().Name] = true
			}
		}
	}
	maps.DeleteFunc(c.choosers, func(m ident.Move, _ *moves.Chooser) bool { return !running[m] })
}

func (c *Core) act(a Action) { c.acts = append(c.acts, a) }

func (c *Core) send(l links.ID, m wire.Message) {
	if c.peers[l] != nil {
		c.act(Send{Link: l, Message: m})
	}
}

// tell sends a message to a process and reports whether it is connected.
func (c *Core) tell(id ident.ProcessID, m wire.Message) bool {
	l, ok := c.byID[id]
	if ok {
		c.send(l, m)
	}
	return ok
}

func (c *Core) log(id event.ID, pairs ...any) { c.act(Log{Event: id, Pairs: pairs}) }
