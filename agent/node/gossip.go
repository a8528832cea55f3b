package node

import (
	"encoding/json"
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
)

// gossip merges facts of a peer and answers it.
func (c *Core) gossip(now time.Time, p answer.Peer, m *wire.Gossip) {
	c.sendFacts(c.facts.Handle(now, c.peers[p].hello.Process, m))
	c.absorb(now)
}

// gossipTick starts a round of gossip when it is due.
func (c *Core) gossipTick(now time.Time) {
	c.sendFacts(c.facts.PushUrgent(now))
	if now.Before(c.nextFact) {
		return
	}
	c.nextFact = now.Add(facts.RoundInterval)
	if !c.ok { // a configured agent sends load reports instead
		c.broadcast(&wire.Gossip{})
	}
	near := make([]ident.ProcessID, 0, len(c.byID))
	for id, p := range c.byID {
		if c.peers[p].hello.Role == string(member.Router) {
			near = append(near, id)
		}
	}
	c.sendFacts(c.facts.Tick(now, facts.Peers{SameRegion: near}))
	c.guard.Expire(now)
}

func (c *Core) sendFacts(sends []facts.Envelope) {
	for _, s := range sends {
		if p, ok := c.byID[s.To]; ok {
			c.send(p, s.Message)
		}
	}
}

// absorb takes in what gossip brought.
func (c *Core) absorb(now time.Time) {
	for _, f := range c.facts.TakeChanged() {
		switch f.Kind {
		case facts.KindConfig:
			c.configure(now, f)
		case facts.KindBlock:
			c.mergeGuard(now, f)
		case active.SortList:
			c.listed(now, f)
		case facts.KindFence:
			c.learnFence(f)
		case facts.KindBadVersion, facts.KindConclusion, facts.KindEvidence, active.SortRecord:
			c.verdict.dirty = true
		}
	}
}

func (c *Core) configure(now time.Time, f wire.GossipEntry) {
	cfg, err := conf.Decode(f.Value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	v, problems := c.force.FromPeer(now, f.Origin, cfg)
	if len(problems) > 0 {
		c.log(event.ConfigInvalid, "generation", cfg.Generation, "problem", problems[0].String(), "problems", len(problems))
	}
	if v != conf.Accepted {
		return
	}
	c.log(event.ConfigInForce, "generation", cfg.Generation)
	c.decl, c.ok = c.force.Index().ByVM(c.self)
	c.publish(now, c.verdict.moves.Configure(now, cfg))
	c.verdict.dirty = true
	c.report.due = true
}

// listed takes the platform's list of VMs, as a router spread it, and looks for its own VM.
func (c *Core) listed(now time.Time, f wire.GossipEntry) {
	l, err := active.DecodeList(f.Value)
	if err != nil || l.At < c.listAt {
		return
	}
	c.listAt = l.At
	for _, e := range l.List {
		if e.VM == c.self {
			c.Leaving(now, e.Leaving)
		}
	}
}

// learnFence takes the highest fencing number of a lease.
func (c *Core) learnFence(f wire.GossipEntry) {
	var n ident.Fence
	if err := json.Unmarshal(f.Value, &n); err == nil {
		c.fence.Learn(f.Key, n)
	}
}

// publishGuard spreads a fact about a fingerprint.
func (c *Core) publishGuard(now time.Time, f guard.Fact) {
	b, err := json.Marshal(f)
	if err != nil {
		return
	}
	c.facts.Set(now, facts.KindBlock, f.Key(), b)
	if f.Sort == guard.Block {
		c.log(event.Blocked, "print", f.Print)
	}
	c.sendFacts(c.facts.PushUrgent(now))
}

func (c *Core) mergeGuard(now time.Time, f wire.GossipEntry) {
	if f.Origin == c.self {
		return
	}
	var g guard.Fact
	if err := json.Unmarshal(f.Value, &g); err != nil {
		return
	}
	for _, more := range c.guard.Merge(now, g) {
		c.publishGuard(now, more)
	}
}
