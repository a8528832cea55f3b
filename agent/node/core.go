// Package node implements the agent beside one target: the queue of the target, dispatch, stored answers, and
// gossip, rollouts and commands with the other processes of the deployment. Core is the state machine that makes
// all decisions; Agent performs its input and output.
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
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

const (
	// reportIntervalMax is the longest time between two load reports; half of member.SuspectAfter.
	reportIntervalMax = 1500 * time.Millisecond
	// reportSpacing is the shortest time between two load reports.
	reportSpacing = 100 * time.Millisecond
	// orphanTimeout is the time for which a request without a key continues to run after its last router
	// disconnected.
	orphanTimeout = 30 * time.Second
	// drainRetention is the time for which ended answers are kept for their readers during a graceful shutdown.
	drainRetention = 10 * time.Second
	// failureStatusMin is the lowest HTTP status that counts as a failure of the target.
	failureStatusMin = 500
	// referencePromptTokens is the prompt length up to which the time to the first byte is taken as measured;
	// times of longer prompts are scaled down to this length.
	referencePromptTokens = 512
)

// Core is the state machine of an agent. It is not safe for concurrent use.
type Core struct {
	self ident.ProcessID
	boot ident.Boot
	// decl is the declaration of the target; configured is false until a configuration names this VM.
	decl       conf.Target
	configured bool
	config     *conf.Holder
	queue      *queue.Queue
	ledger     *ledger.Ledger
	claims     *ledger.Claims
	// answers holds the answers of dispatched requests.
	answers     *answer.Store
	guard       *guard.Guard
	poison      *poison.Detector
	gossipTable *facts.Gossiper
	fence       *lease.CommandGate
	peers       map[answer.Peer]*peer
	// peerByProcess maps a process to its newest connection.
	peerByProcess map[ident.ProcessID]answer.Peer
	// offers holds each offer from its receipt until its request ends.
	offers map[ident.RequestID]*offer
	// readBacks holds the answers that are read back from the target.
	readBacks map[ident.RequestID]*readBack
	// waitingCommands holds commands until their lease has been read.
	waitingCommands []pendingCommand
	// commandPeers holds, by command, the peer that waits for the result.
	commandPeers map[ident.RequestID]answer.Peer
	report       reportState
	rollout      rolloutState
	// reportedVersion is the version that the target reports; empty if it reports none.
	reportedVersion ident.Version
	// targetUp is false while the target does not answer.
	targetUp  bool
	vmLeaving bool
	// wasReady is true once the agent has been ready.
	wasReady bool
	// vmListMillis is the time of the newest list of VMs, in Unix milliseconds.
	vmListMillis int64
	drainStart   time.Time
	// lastAnswerEnd is the time at which the newest answer ended.
	lastAnswerEnd time.Time
	nextGossip    time.Time
	actions       []Action
}

// peer is a connected process.
type peer struct {
	hello wire.Hello
	// claims maps the id of each request that the peer has claimed without naming an agent yet to its attempt.
	claims map[ident.RequestID]ident.RequestID
}

// phase is the state of an offer.
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
	// dispatchedAt is the time of the dispatch, firstPartAt the time of the first part; zero before.
	dispatchedAt time.Time
	firstPartAt  time.Time
	// status is the HTTP status of the answer; zero before its first part.
	status int
	// lastPartAt is the time of the newest part.
	lastPartAt time.Time
	tokens     ident.Tokens
	// promptAhead counts the prompt tokens that the engine read before the request's own; set when it ends.
	promptAhead ident.Tokens
	// abandoned is true when the request was stopped because its client disconnected or its answer could not
	// be stored; its outcome is no evidence about the target.
	abandoned bool
	// readers are the connections on which the answer is read. A request without a key is stopped when
	// the last of them disconnects, not when one of several callers does.
	readers map[answer.Peer]bool
	// adopted is true when an earlier incarnation of this agent dispatched the request.
	adopted bool
	// truncated is true when a part of the answer could not be stored, so that the answer is incomplete.
	truncated bool
	// orphanedAt is the time of the latest disconnect of a reader; zero if none has disconnected. It counts only
	// while readers is empty.
	orphanedAt time.Time
}

// readBack is an answer that is read back from the target. It is kept until the target has answered, even when
// all readers have disconnected, because the parts of the answer are numbered from the first.
type readBack struct {
	account ident.AccountID
	// waitingReaders are the readers whose position has not been read back yet.
	waitingReaders []pendingAttach
}

// pendingAttach is an Attach whose position has not been read back yet.
type pendingAttach struct {
	peer answer.Peer
	msg  wire.Attach
}

func (r *readBack) remove(p answer.Peer) {
	r.waitingReaders = slices.DeleteFunc(r.waitingReaders, func(a pendingAttach) bool { return a.peer == p })
}

// pendingCommand is a command that waits until its lease has been read.
type pendingCommand struct {
	peer answer.Peer
	msg  wire.Command
}

// Option changes a Core.
type Option func(*Core)

// WithAnswerBounds bounds the memory of stored answers and the time for which they are kept.
func WithAnswerBounds(n ident.Bytes, retention time.Duration) Option {
	return func(c *Core) { c.answers = answer.New(c.boot, answer.WithBytesMax(n), answer.WithRetention(retention)) }
}

// WithQueue replaces the queue.
func WithQueue(q *queue.Queue) Option { return func(c *Core) { c.queue = q } }

// New returns the core of the agent self, whose incarnation is boot.
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
		poison:        poison.New(),
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

// TakeActions returns and clears the actions that were requested since the last call.
func (c *Core) TakeActions() []Action {
	acts := c.actions
	c.actions = nil
	return acts
}

// HandleConnect records a new connection. It sends the peer the contents of the prefix cache, and the configuration
// if that of the peer is older.
func (c *Core) HandleConnect(p answer.Peer, h wire.Hello) {
	c.peers[p] = &peer{hello: h, claims: make(map[ident.RequestID]ident.RequestID)}
	c.peerByProcess[h.Process] = p
	c.log(event.PeerUp, "peer", h.Process)
	c.report.due = true
	c.sendCache(p)
	if f, ok := c.gossipTable.Get(facts.KindConfig, conf.ConfigName); ok && h.Generation < c.config.Generation() {
		c.send(p, &wire.Gossip{Entries: []wire.GossipEntry{f}}) // a router that starts while the object API is unreachable
	}
}

// HandleDisconnect removes a connection that was lost. Offers that are not dispatched are dropped, because their
// router treats them as not run; running requests continue.
func (c *Core) HandleDisconnect(now time.Time, p answer.Peer) {
	closed, ok := c.peers[p]
	if !ok {
		return
	}
	delete(c.peers, p)
	if c.peerByProcess[closed.hello.Process] == p {
		delete(c.peerByProcess, closed.hello.Process)
	}
	for id, attempt := range closed.claims {
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
	c.log(event.PeerDown, "peer", closed.hello.Process)
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

// HandleMessage handles a message of a peer.
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

// handleControl handles messages other than those of a request's dispatch and answer.
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

// Tick runs everything that depends on the time; it is called at least every 50 ms.
func (c *Core) Tick(now time.Time) {
	refused, expired := c.queue.Expire(now)
	c.refuseAll(refused)
	for _, it := range expired {
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
			c.act(CancelRequest{ID: id})
		}
	}
}

// Ready reports whether the agent is configured, its target answers, and no shutdown has begun.
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

// requestOf returns the request to write to the target.
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
