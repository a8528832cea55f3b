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

// handleGossip merges the gossip entries of a peer and replies to it.
func (c *Core) handleGossip(now time.Time, p answer.Peer, m *wire.Gossip) {
	c.sendEntries(c.gossipTable.Handle(now, c.peers[p].hello.Process, m))
	c.handleEntries(now)
}

// gossipTick starts a round of gossip when it is due.
func (c *Core) gossipTick(now time.Time) {
	c.updateBlocks(now)
	c.sendEntries(c.gossipTable.PushUrgent(now))
	if now.Before(c.nextGossip) {
		return
	}
	c.nextGossip = now.Add(facts.RoundInterval)
	if !c.configured { // a configured agent sends load reports instead
		c.broadcast(&wire.Gossip{})
	}
	near := make([]ident.ProcessID, 0, len(c.peerByProcess))
	for id, p := range c.peerByProcess {
		if c.peers[p].hello.Role == string(member.Router) {
			near = append(near, id)
		}
	}
	c.sendEntries(c.gossipTable.Tick(now, facts.Peers{SameRegion: near}))
	c.guard.Expire(now)
}

func (c *Core) sendEntries(sends []facts.Envelope) {
	for _, s := range sends {
		if p, ok := c.peerByProcess[s.To]; ok {
			c.send(p, s.Message)
		}
	}
}

// handleEntries handles the gossip entries that have changed.
func (c *Core) handleEntries(now time.Time) {
	for _, f := range c.gossipTable.TakeChanged() {
		switch f.Kind {
		case facts.KindConfig:
			c.applyConfig(now, f)
		case facts.KindBlock:
			c.mergeGuardEntry(now, f)
		case facts.KindPoison:
			c.mergePoison(now, f)
		case active.KindVMList:
			c.applyVMList(now, f)
		case facts.KindFence:
			c.learnFence(f)
		case facts.KindBadVersion, facts.KindConclusion, facts.KindEvidence, active.KindRecord:
			c.rollout.dirty = true
		}
	}
}

// applyConfig applies a configuration that arrived by gossip.
func (c *Core) applyConfig(now time.Time, f wire.GossipEntry) {
	cfg, err := conf.Decode(f.Value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	result, problems := c.config.OfferFromPeer(now, f.Origin, cfg)
	if len(problems) > 0 {
		c.log(event.ConfigInvalid, "generation", cfg.Generation, "problem", problems[0].String(), "problems", len(problems))
	}
	if result != conf.Accepted {
		return
	}
	c.log(event.ConfigInForce, "generation", cfg.Generation)
	c.decl, c.configured = c.config.Index().TargetByVM(c.self)
	c.publishActions(now, c.rollout.rollouts.HandleConfig(now, cfg))
	c.rollout.dirty = true
	c.report.due = true
}

// applyVMList looks for the agent's own VM in the platform's list of VMs, which a router published.
func (c *Core) applyVMList(now time.Time, f wire.GossipEntry) {
	l, err := active.DecodeVMList(f.Value)
	if err != nil || l.ReadAtMillis < c.vmListMillis {
		return
	}
	c.vmListMillis = l.ReadAtMillis
	for _, e := range l.VMs {
		if e.VM == c.self {
			c.SetLeaving(now, e.Leaving)
		}
	}
}

// learnFence learns the highest fencing token of a lease that was published.
func (c *Core) learnFence(f wire.GossipEntry) {
	var n ident.Fence
	if err := json.Unmarshal(f.Value, &n); err == nil {
		c.fence.LearnToken(f.Key, n)
	}
}

// publishGuardEntry publishes a gossip entry about a fingerprint.
func (c *Core) publishGuardEntry(now time.Time, f guard.Entry) {
	b, err := json.Marshal(f)
	if err != nil {
		return
	}
	c.gossipTable.Set(now, facts.KindBlock, f.Key(), b)
	if f.Kind == guard.Block {
		c.log(event.FingerprintBlocked, "print", f.Fingerprint)
	}
	c.sendEntries(c.gossipTable.PushUrgent(now))
}

// mergeGuardEntry merges an entry of a peer about a fingerprint, and publishes what follows from it.
func (c *Core) mergeGuardEntry(now time.Time, f wire.GossipEntry) {
	if f.Origin == c.self {
		return
	}
	var g guard.Entry
	if err := json.Unmarshal(f.Value, &g); err != nil {
		return
	}
	for _, more := range c.guard.Merge(now, g) {
		c.publishGuardEntry(now, more)
	}
}
