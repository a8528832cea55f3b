// Package node is the agent beside one target: the queue of its target, dispatch, kept answers and the
// agent's part in the coordination of the deployment. Core makes all decisions; Agent drives it.
package node

import (
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/active"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

const (
	// reportInterval is the longest time between two load reports; half of member.SuspectAfter.
	reportIntervalMax = 1500 * time.Millisecond
	// reportPause is the shortest time between two load reports.
	reportSpacing = 100 * time.Millisecond
	// orphanTime is the time for which a request without a key runs on after its router was lost.
	orphanTimeout = 30 * time.Second
	// drainKeep is the time for which ended answers are kept for their readers during a stop.
	drainRetention = 10 * time.Second
	// failStatus is the least HTTP status that counts as a failure of the target.
	failureStatusMin = 500
	// usualPrompt is the prompt length up to which the time to the first byte is taken as it is;
	// longer prompts are scaled to it.
	referencePromptTokens = 512
)

// Core is the state machine of an agent. It is not safe for concurrent use.
type Core struct {
	self ident.ProcessID
	boot ident.Boot
	// decl is the declaration of the target; ok is false until a configuration names this VM.
	decl       conf.Target
	configured bool
	config     *conf.Holder
	queue      *queue.Queue
	ledger     *ledger.Ledger
	claims     *ledger.Claims
	// keep holds the answers of dispatched requests.
	answers     *answer.Store
	guard       *guard.Guard
	gossipTable *facts.Gossiper
	fence       *lease.CommandGate
	peers       map[answer.Peer]*peer
	// byID finds the peer of a process; the newest connection wins.
	peerByProcess map[ident.ProcessID]answer.Peer
	// offers holds each offer from its receipt until its end.
	offers map[ident.RequestID]*offer
	// resuming holds the answers that are read back from the target.
	readBacks map[ident.RequestID]*readBack
	// waiting holds orders until the lease was read.
	waitingCommands []pendingCommand
	// given holds the peers that wait for the result of an order.
	commandPeers map[ident.RequestID]answer.Peer
	report       reportState
	rollout      rolloutState
	// loaded is the version that the target reports; empty if it does not tell.
	reportedVersion ident.Version
	// up is false while the target does not answer.
	targetUp  bool
	vmLeaving bool
	// ready is true after the agent was ready once.
	wasReady bool
	// listAt is the time of the newest list of VMs, in Unix milliseconds.
	vmListMillis int64
	drainStart   time.Time
	// lastEnd is the time at which the newest answer ended.
	lastAnswerEnd time.Time
	nextGossip    time.Time
	actions       []Action
}

// peer is a connected process.
type peer struct {
	hello wire.Hello
	// claims are the claims of the peer that name no agent yet.
	claims map[ident.RequestID]ident.RequestID
}

// Phase of an offer.
type phase uint8

const (
	queued phase = iota
	granted
	running
)

// offer is a request that this agent queues or runs.
type offer struct {
	wire.Offer
	peer  answer.Peer
	phase phase
	// began is the time of the dispatch, first the time of the first part; zero before.
	dispatchedAt time.Time
	firstPartAt  time.Time
	// status is the HTTP status of the answer; zero before its first part.
	status int
	// last is the time of the newest part.
	lastPartAt time.Time
	tokens     ident.Tokens
	// ahead counts the prompt tokens that the engine read before the request's own; set at its end.
	promptAhead ident.Tokens
	// left is true when the caller left; its outcome is no evidence about the target.
	abandoned bool
	// readers are the connections on which the answer is read. A request without a key is stopped when
	// the last of them is gone, not when one of several callers leaves.
	readers map[answer.Peer]bool
	// adopted is true when an earlier run of this agent dispatched the request.
	adopted bool
	// cut is true when a part of the answer could not be kept; the answer is not whole then.
	truncated bool
	// orphan is the time when the last router of the request was lost; zero while there is one.
	orphanedAt time.Time
}

// resume is an answer that is read back from the target. It lasts until the target has answered, even when no
// reader is left, because the answer is numbered from its first part.
type readBack struct {
	account ident.AccountID
	// waiting are the readers whose position has not been read back yet.
	waitingReaders []pendingAttach
}

type pendingAttach struct {
	peer answer.Peer
	msg  wire.Attach
}

func (r *readBack) remove(p answer.Peer) {
	r.waitingReaders = slices.DeleteFunc(r.waitingReaders, func(a pendingAttach) bool { return a.peer == p })
}

type pendingCommand struct {
	peer answer.Peer
	msg  wire.Command
}

// Option changes a Core.
type Option func(*Core)

// WithAnswers bounds the kept answers and the time for which they are kept.
func WithAnswerBounds(n ident.Bytes, keep time.Duration) Option {
	return func(c *Core) { c.answers = answer.New(c.boot, answer.WithBytesMax(n), answer.WithRetention(keep)) }
}

// WithQueue replaces the queue.
func WithQueue(q *queue.Queue) Option { return func(c *Core) { c.queue = q } }

// New returns the core of the agent self, started as boot.
func New(self ident.ProcessID, boot ident.Boot, deployment string, rnd *rand.Rand, opts ...Option) *Core {
	c := &Core{
		self:          self,
		boot:          boot,
		config:        conf.NewHolder(deployment),
		queue:         queue.New(),
		ledger:        ledger.New(boot),
		claims:        ledger.NewClaims(),
		answers:       answer.New(boot),
		guard:         guard.New(),
		gossipTable:   active.NewTable(self, boot, rnd),
		fence:         lease.NewCommandGate(false),
		peers:         make(map[answer.Peer]*peer),
		peerByProcess: make(map[ident.ProcessID]answer.Peer),
		offers:        make(map[ident.RequestID]*offer),
		readBacks:     make(map[ident.RequestID]*readBack),
		targetUp:      true,
		rollout:       rolloutState{rollouts: active.New()},
	}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Take returns the actions since the last call.
func (c *Core) TakeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// Opened takes in a new connection.
func (c *Core) HandleConnect(p answer.Peer, h wire.Hello) {
	c.peers[p] = &peer{hello: h, claims: make(map[ident.RequestID]ident.RequestID)}
	c.peerByProcess[h.Process] = p
	c.log(event.PeerUp, "peer", h.Process)
	c.report.due = true
	c.sendCache(p)
	if f, ok := c.gossipTable.Get(facts.KindConfig, conf.ConfigName); ok && h.Generation < c.config.Generation() {
		c.send(p, &wire.Gossip{Entries: []wire.GossipEntry{f}}) // a router that starts while the object API is down
	}
}

// Closed takes in the loss of a connection. Offers that wait are forgotten, because their router
// treats them as not run; requests that run go on.
func (c *Core) HandleDisconnect(now time.Time, p answer.Peer) {
	gone, ok := c.peers[p]
	if !ok {
		return
	}
	delete(c.peers, p)
	if c.peerByProcess[gone.hello.Process] == p {
		delete(c.peerByProcess, gone.hello.Process)
	}
	for id, attempt := range gone.claims {
		c.claims.Release(&wire.Release{ID: id, Attempt: attempt})
	}
	c.answers.ClosePeer(p)
	c.forgetCommands(p)
	for id, o := range c.offers {
		c.handleRouterLoss(now, p, id, o)
	}
	for _, r := range c.readBacks {
		r.remove(p)
	}
	c.log(event.PeerDown, "peer", gone.hello.Process)
	c.grant(now)
}

func (c *Core) handleRouterLoss(now time.Time, p answer.Peer, id ident.RequestID, o *offer) {
	if o.phase == running {
		if o.readers[p] {
			delete(o.readers, p)
			o.orphanedAt = now
		}
		return
	}
	if o.peer != p {
		return
	}
	c.queue.Remove(now, id)
	c.ledger.Revoke(now, id)
	delete(c.offers, id)
}

// Message takes in a message of a peer.
func (c *Core) HandleMessage(now time.Time, p answer.Peer, m wire.Message) {
	if c.peers[p] == nil {
		return
	}
	switch m := m.(type) {
	case *wire.Offer:
		c.handleOffer(now, p, m)
	case *wire.Withdraw:
		c.withdraw(now, p, m.ID)
	case *wire.Decline:
		c.handleDecline(now, p, m)
	case *wire.Body:
		c.handleBody(now, p, m)
	case *wire.Cancel:
		c.handleCancel(now, p, m.ID)
	case *wire.Credit:
		c.answers.AddCredit(p, m.ID, m.Bytes)
		c.flush(p)
	case *wire.Attach:
		c.handleAttach(now, p, m)
	default:
		c.handleControl(now, p, m)
	}
}

// control takes in messages that do not belong to one request's path.
func (c *Core) handleControl(now time.Time, p answer.Peer, m wire.Message) {
	switch m := m.(type) {
	case *wire.Claim:
		c.handleClaim(now, p, m)
	case *wire.Release:
		c.claims.Release(m)
		delete(c.peers[p].claims, m.ID)
	case *wire.Gossip:
		c.handleGossip(now, p, m)
	case *wire.Command:
		c.handleCommand(now, p, m)
	}
}

// Tick applies the passing of time; it is called at least every 50 ms.
func (c *Core) Tick(now time.Time) {
	refused, lapsed := c.queue.Expire(now)
	c.refuseAll(refused)
	for _, it := range lapsed {
		c.ledger.Revoke(now, it.ID)
		delete(c.offers, it.ID)
	}
	for _, l := range c.ledger.ExpireGrants(now) {
		c.queue.Remove(now, l.ID)
		if o := c.offers[l.ID]; o != nil && o.phase == granted {
			delete(c.offers, l.ID)
		}
	}
	_, wake := c.answers.Sweep(now)
	c.flushAll(wake)
	c.cancelOrphans(now)
	c.config.Tick(now)
	c.gossipTick(now)
	c.rolloutTick(now)
	c.grant(now)
	c.reportTick(now)
	if c.Ready() && !c.wasReady {
		c.wasReady = true
		c.log(event.Ready, "generation", c.config.Generation())
	}
}

func (c *Core) cancelOrphans(now time.Time) {
	for id, o := range c.offers {
		if o.phase == running && !o.abandoned && !o.Keyed && len(o.readers) == 0 && !o.orphanedAt.IsZero() && now.Sub(o.orphanedAt) >= orphanTimeout {
			o.abandoned = true
			c.act(Stop{ID: id})
		}
	}
}

// Ready reports whether the agent serves.
func (c *Core) Ready() bool { return c.configured && c.targetUp && c.drainStart.IsZero() }

// Generation returns the generation of the configuration in force.
func (c *Core) Generation() ident.Generation { return c.config.Generation() }

func (c *Core) act(a Action) { c.actions = append(c.actions, a) }

func (c *Core) send(p answer.Peer, m wire.Message) {
	if c.peers[p] != nil {
		c.act(Send{Peer: p, Message: m})
	}
}

func (c *Core) log(id event.ID, pairs ...any) { c.act(Log{Event: id, Pairs: pairs}) }

// requestOf returns what is written to the target.
func (c *Core) requestOf(o *offer, m *wire.Body) target.Request {
	r := target.Request{ID: o.ID, Method: m.Method, Path: m.Path, ContentType: m.ContentType, Data: m.Data, IdempotencyKey: m.IdempotencyKey}
	if x := c.config.Index(); x != nil {
		if s, ok := x.Service(o.Service); ok {
			for _, route := range s.Routes {
				r.Idempotent = r.Idempotent || route.Name == o.Route && route.Idempotent
			}
		}
	}
	return r
}
