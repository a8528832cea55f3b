package cores_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"hickoryvane.example/agent/node"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

const (
	stepTime = 20 * time.Millisecond
	// lostAfter is the shortest outage after which a router may suspect an agent: the silence timeout of 3 s, less 1 s
	// between two reports, less 1 s for which the router itself may be paused, less transmission delays.
	lostAfter = 900 * time.Millisecond
	// operatorPeer is the peer that sends a new agent its configuration.
	operatorPeer = answer.Peer(1 << 40)
)

// world connects the cores of routers and agents. All times are virtual.
type world struct {
	now      time.Time
	rnd      *rand.Rand
	cfg      conf.Config
	routers  [2]*proc[*entry.Core]
	agents   [3]*proc[*node.Core]
	engines  [3]*engine
	conns    [2][3]*conn
	links    map[links.ID]*conn
	lastID   uint64
	store    claimStore
	checker  checker
	injected injectedFault
}

// injectedFault is a fault that a check has to detect.
type injectedFault struct {
	// rewriteFrame rewrites a message in transit; a nil result drops it.
	rewriteFrame func(w *world, m wire.Message) wire.Message
	// writeTwice makes an agent write each request twice; acceptAllClaims makes the object API accept every claim.
	writeTwice, acceptAllClaims bool
	// reportNotRun tells each caller without a complete answer that its request did not run.
	reportNotRun bool
}

// input is an input of a core, due at a given time.
type input[C any] struct {
	at    time.Time
	apply func(C)
}

// proc is a simulated process with its pending inputs in the order of arrival.
type proc[C any] struct {
	core      C
	boot      ident.Boot
	downUntil time.Time
	paused    bool
	draining  bool
	inbox     []input[C]
}

func (p *proc[C]) enqueue(at time.Time, apply func(C)) {
	p.inbox = append(p.inbox, input[C]{at, apply})
}

// applyDue applies the inputs that are due.
func (p *proc[C]) applyDue(now time.Time) {
	pending := p.inbox[:0:0]
	due := p.inbox
	p.inbox = nil
	for _, e := range due {
		if e.at.After(now) {
			pending = append(pending, e)
			continue
		}
		e.apply(p.core)
	}
	p.inbox = append(pending, p.inbox...)
}

// conn is the connection of a router and an agent. Frames stay in order in each direction.
type conn struct {
	router, agent int
	id            links.ID
	open          bool
	stalled       bool
	closedAt      time.Time
	lastUsable    time.Time
	delay         time.Duration
	// toRouter and toAgent are the frames in transit.
	toRouter, toAgent []frame
}

type frame struct {
	at      time.Time
	message wire.Message
}

func newWorld(seed uint64, layout string, p injectedFault) *world {
	w := &world{
		now: time.Unix(1_800_000_000, 0), rnd: rand.New(rand.NewPCG(seed, 1)), cfg: config(layout), injected: p,
		links: make(map[links.ID]*conn), store: claimStore{claims: make(map[ident.RequestID]entry.Claim)}, checker: newChecker(),
	}
	for i := range w.routers {
		w.routers[i] = &proc[*entry.Core]{}
		w.startRouter(i)
	}
	for j := range w.agents {
		w.agents[j], w.engines[j] = &proc[*node.Core]{}, &engine{plain: layout[j] == 's'}
		w.startAgent(j)
		for i := range w.routers {
			w.conns[i][j] = &conn{router: i, agent: j, lastUsable: w.now}
		}
	}
	return w
}

// config returns a configuration with an engine ('m') or a plain service ('s') beside each agent.
func config(layout string) conf.Config {
	c := conf.Config{
		Generation: 1, Deployment: "d",
		Regions:  []conf.Region{{Name: "west", Centres: []ident.DataCentre{"west-a"}}},
		Tiers:    []conf.Tier{{Name: "low", Rank: 1, Wait: 5000}},
		Accounts: []conf.Account{{Name: "acme", Keys: []string{ident.HashKey("key")}, Weight: 1, Tier: "low", Tiers: []string{"low"}}},
		Services: []conf.Service{
			{Name: "m", Kind: conf.ModelService, Versions: []ident.Version{"m1"}, Current: "m1", Routes: []conf.Route{{Name: "chat", Method: "POST", Path: "/c"}}},
			{Name: "s", Kind: conf.PlainService, Versions: []ident.Version{"s1"}, Current: "s1", Routes: []conf.Route{{Name: "order", Method: "POST", Path: "/o"}, {Name: "read", Method: "GET", Path: "/r", Idempotent: true}}},
		},
		Limits: conf.Limits{ClaimsPerSecond: 100, LinkBytesPerSecond: 1 << 20, LoadsPerMinute: 60},
	}
	c.Services = slices.DeleteFunc(c.Services, func(s conf.Service) bool { return !strings.Contains(layout, string(s.Name)) })
	for j, s := range layout {
		c.Targets = append(c.Targets, conf.Target{
			Name: ident.TargetID(fmt.Sprint("t", j)), VM: processID("a", j), Centre: "west-a", Service: ident.Service(string(s)),
			Version: ident.Version(string(s) + "1"), Class: "x",
		})
	}
	return c
}

func processID(kind string, i int) ident.ProcessID { return ident.ProcessID(fmt.Sprint(kind, i)) }

func (w *world) encodedConfig() []byte {
	b, err := conf.Encode(w.cfg)
	if err != nil {
		w.checker.report("configuration: %v", err)
	}
	return b
}

func (w *world) startRouter(i int) {
	p, self := w.routers[i], member.Entry{VM: processID("r", i), Role: member.Router, Centre: "west-a"}
	p.boot++
	p.inbox, p.paused, p.draining = nil, false, false
	p.core = entry.New(self, "west", p.boot, "d", rand.New(rand.NewPCG(w.rnd.Uint64(), 1)))
	p.core.HandleConfigRead(w.now, w.encodedConfig())
	var list []member.Entry
	for j := range w.agents {
		list = append(list, member.Entry{VM: processID("a", j), Address: fmt.Sprint("127.0.0.1:", j+1), Role: member.Agent, Centre: "west-a"})
	}
	p.core.ApplyList(w.now, list)
}

func (w *world) startAgent(j int) {
	p := w.agents[j]
	p.boot++
	p.inbox, p.paused, p.draining = nil, false, false
	p.core = node.New(processID("a", j), p.boot, "d", rand.New(rand.NewPCG(w.rnd.Uint64(), 1)))
	p.core.HandleConnect(operatorPeer, wire.Hello{Process: "op", Role: "operator"})
	f := facts.NewRankedEntry(facts.KindConfig, conf.ConfigName, "op", 1, w.encodedConfig())
	p.core.HandleMessage(w.now, operatorPeer, &wire.Gossip{Entries: []wire.GossipEntry{f}})
	p.core.HandleDisconnect(w.now, operatorPeer)
	if p.core.Generation() == 0 {
		w.checker.report("an agent did not apply the configuration")
	}
}

// crashRouter restarts a router after a random downtime. Its callers lose their connections.
func (w *world) crashRouter(i int) {
	for _, c := range w.conns[i] {
		w.drop(c)
	}
	w.checker.disconnect(i)
	w.routers[i].downUntil = w.now.Add(time.Duration(w.rnd.IntN(2000)) * time.Millisecond)
	w.startRouter(i)
}

func (w *world) crashAgent(j int) {
	for i := range w.conns {
		w.drop(w.conns[i][j])
	}
	w.checker.lastLost[j] = w.now
	w.agents[j].downUntil = w.now.Add(time.Duration(w.rnd.IntN(2000)) * time.Millisecond)
	w.startAgent(j)
}

// drop breaks a connection and discards the frames in transit. The two sides notice at different times.
func (w *world) drop(c *conn) {
	if !c.open {
		return
	}
	id := c.id
	w.routers[c.router].enqueue(w.afterRandomDelay(), func(k *entry.Core) { k.HandleDisconnect(w.now, id) })
	w.agents[c.agent].enqueue(w.afterRandomDelay(), func(k *node.Core) { k.HandleDisconnect(w.now, answer.Peer(id)) })
	delete(w.links, id)
	c.open, c.closedAt, c.toRouter, c.toAgent = false, w.now, nil, nil
}

func (w *world) afterRandomDelay() time.Time {
	return w.now.Add(time.Duration(w.rnd.IntN(400)) * time.Millisecond)
}

func (w *world) connect(c *conn) {
	r, a := w.routers[c.router], w.agents[c.agent]
	if c.open || c.stalled || w.now.Before(r.downUntil) || w.now.Before(a.downUntil) || w.now.Sub(c.closedAt) < 100*time.Millisecond {
		return
	}
	w.lastID++
	id := links.ID(w.lastID)
	c.id, c.open, c.delay = id, true, stepTime*time.Duration(w.rnd.IntN(3))
	w.links[id] = c
	r.enqueue(w.now, func(k *entry.Core) {
		k.HandleConnect(w.now, id, wire.Hello{Process: processID("a", c.agent), Role: "agent", Boot: a.boot, Centre: "west-a"}, "")
	})
	a.enqueue(w.now, func(k *node.Core) {
		k.HandleConnect(answer.Peer(id), wire.Hello{Process: processID("r", c.router), Role: "router", Boot: r.boot, Centre: "west-a"})
	})
}

// deliver delivers the frames of a connection that are due.
func (w *world) deliver(c *conn) {
	if !c.open || c.stalled {
		return
	}
	id := c.id
	for len(c.toRouter) > 0 && !c.toRouter[0].at.After(w.now) {
		m := c.toRouter[0].message
		c.toRouter = c.toRouter[1:]
		w.routers[c.router].enqueue(w.now, func(k *entry.Core) { k.HandleMessage(w.now, id, m) })
	}
	for len(c.toAgent) > 0 && !c.toAgent[0].at.After(w.now) {
		m := c.toAgent[0].message
		c.toAgent = c.toAgent[1:]
		w.agents[c.agent].enqueue(w.now, func(k *node.Core) { k.HandleMessage(w.now, answer.Peer(id), m) })
	}
}

func (w *world) send(id links.ID, toAgent bool, m wire.Message) {
	c := w.links[id]
	if c == nil {
		return
	}
	if w.injected.rewriteFrame != nil {
		if m = w.injected.rewriteFrame(w, m); m == nil {
			return
		}
	}
	f := frame{w.now.Add(c.delay), m}
	if toAgent {
		c.toAgent = append(c.toAgent, f)
	} else {
		c.toRouter = append(c.toRouter, f)
	}
}

// advance simulates the given number of steps.
func (w *world) advance(steps int) {
	for range steps {
		w.now = w.now.Add(stepTime)
		for i := range w.conns {
			for j, c := range w.conns[i] {
				w.connect(c)
				w.deliver(c)
				if c.open && !c.stalled && !w.agents[j].paused {
					c.lastUsable = w.now
				} else if w.now.Sub(c.lastUsable) >= lostAfter {
					w.checker.lastLost[j] = w.now
				}
			}
		}
		for i := range w.routers {
			w.runRouter(i)
		}
		for j := range w.agents {
			w.runAgent(j)
		}
	}
}

func (w *world) runRouter(i int) {
	p := w.routers[i]
	if p.paused || w.now.Before(p.downUntil) {
		return
	}
	p.applyDue(w.now)
	p.core.Tick(w.now)
	for acts := p.core.TakeActions(); len(acts) > 0; acts = p.core.TakeActions() {
		for _, a := range acts {
			switch a := a.(type) {
			case entry.Send:
				w.send(a.Link, true, a.Message)
			case entry.Reply:
				if f := a.Part.Fault; f != nil && w.injected.reportNotRun {
					a.Part.Fault = fault.NotRunf(f.Reason, "%s", f.Detail)
				}
				w.checker.recordReply(a)
			case entry.CreateClaim:
				w.createClaim(p, a)
			}
		}
	}
	if p.draining && p.core.Drained() {
		w.crashRouter(i)
	}
}

func (w *world) runAgent(j int) {
	p, e := w.agents[j], w.engines[j]
	e.advance(w, j)
	if p.paused || w.now.Before(p.downUntil) {
		return
	}
	p.applyDue(w.now)
	p.core.HandleProbe(w.now, true)
	p.core.Tick(w.now)
	for acts := p.core.TakeActions(); len(acts) > 0; acts = p.core.TakeActions() {
		for _, a := range acts {
			switch a := a.(type) {
			case node.Send:
				w.send(links.ID(a.Peer), false, a.Message)
			case node.Start:
				e.start(w, j, a.Request)
				if w.injected.writeTwice {
					e.start(w, j, a.Request)
				}
			case node.Resume:
				e.resume(w, j, a.ID)
			case node.CancelRequest:
				e.stop(w, j, a.ID)
			}
		}
	}
	if p.draining && p.core.Drained(w.now) {
		w.crashAgent(j)
	}
}
