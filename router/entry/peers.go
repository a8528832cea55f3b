package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

// HandleConnect handles a new connection.
func (c *Core) HandleConnect(now time.Time, l links.ID, h wire.Hello, dialed string) {
	c.recordInput(now)
	old, reconnected := c.linkByProcess[h.Process]
	if reconnected && c.peers[old].hello.Boot > h.Boot {
		return // an old process that is about to end
	}
	if reconnected { // messages sent on the old connection may be lost
		c.HandleDisconnect(now, old)
	}
	c.peers[l] = &peer{hello: h, pendingClaims: make(map[ident.RequestID][]ident.RequestID)}
	c.linkByProcess[h.Process] = l
	c.log(event.PeerUp, "peer", h.Process, "role", h.Role)
	c.config.RecordAsked(h.Process)
	c.send(l, c.newerConfig(h))
	c.recordSeen(now, l, dialed, false)
	if h.Role != string(member.Agent) {
		return
	}
	c.declareTarget(now, h.Process)
	if boot := c.lastBoots[h.Process]; boot != 0 && boot != h.Boot {
		c.picker.RecordRestart(now, c.peers[l].target)
	}
	c.lastBoots[h.Process] = h.Boot
	c.reattach(now, h.Process)
}

// reattach requests from a process that reconnected the answers that it holds, and sends it again the claims that
// it has not confirmed.
func (c *Core) reattach(now time.Time, id ident.ProcessID) {
	for _, k := range c.calls {
		if k.agent == id && (k.phase == committed || k.phase == attaching) {
			k.reattachUntil, k.lastProgressAt = time.Time{}, now
			c.sendTo(id, k.reader.AttachMessage(k.Account.Name, creditMax))
		}
		if k.phase == claiming && slices.Contains(k.owners, id) && !k.confirmedOwners[id] {
			c.sendClaim(k, id)
		}
	}
}

// HandleDisconnect handles the loss of a connection.
func (c *Core) HandleDisconnect(now time.Time, l links.ID) {
	p := c.peers[l]
	if p == nil {
		return
	}
	delete(c.peers, l)
	id := p.hello.Process
	c.log(event.PeerDown, "peer", id)
	if c.linkByProcess[id] != l {
		return
	}
	delete(c.linkByProcess, id)
	c.config.RecordNoAnswer(now, id)
	if p.target != "" {
		c.picker.SetSuspected(now, p.target, true)
	}
	for _, k := range c.calls {
		c.handleAgentLoss(now, k, id)
	}
}

// handleAgentLoss is called when the connection to an agent was lost. Only for a call whose body was sent is it
// unknown whether it ran.
func (c *Core) handleAgentLoss(now time.Time, k *call, id ident.ProcessID) {
	if target, offered := k.openOffers[id]; offered {
		delete(k.openOffers, id)
		k.triedTargets = append(k.triedTargets, target)
		c.picker.RecordWithdrawal(target, k.attempt)
		if len(k.openOffers) == 0 && k.phase == offering {
			c.sendOffers(now, k)
		}
	}
	if k.phase == claiming { // an owner that restarts has to be asked again
		delete(k.confirmedOwners, id)
	}
	if k.agent == id && k.phase == committed {
		k.reattachUntil = now.Add(reattachTimeout)
	}
}

// HandleMessage handles a message of a peer.
func (c *Core) HandleMessage(now time.Time, l links.ID, m wire.Message) {
	c.recordInput(now)
	p := c.peers[l]
	if p == nil {
		return
	}
	switch m := m.(type) {
	case *wire.Grant:
		c.handleGrant(now, l, m)
	case *wire.Refuse:
		c.handleRefuse(now, l, m)
	case *wire.Chunk:
		c.handleChunk(now, l, m)
	case *wire.End:
		c.handleEnd(now, l, m)
	case *wire.ClaimReply:
		c.handleClaimed(now, p, m)
	case *wire.Load:
		c.applyLoad(now, l, m)
	case *wire.Cache:
		if m.Target == p.target {
			c.picker.ApplyCache(m)
		}
	case *wire.Gossip:
		c.recordSeen(now, l, "", false)
		c.handleGossip(now, p.hello.Process, m)
	case *wire.CommandReply:
		c.handleCommandResult(m)
	case *wire.Leave:
		c.recordSeen(now, l, "", true)
	}
}

// applyLoad applies a load report, which also counts as a heartbeat.
func (c *Core) applyLoad(now time.Time, l links.ID, m *wire.Load) {
	p := c.peers[l]
	if m.Target != p.target {
		return
	}
	c.recordSeen(now, l, "", m.Draining)
	c.picker.ApplyLoad(now, m)
	c.picker.SetSuspected(now, p.target, m.Draining || c.members.State(p.hello.Process) != member.Live)
}

// recordSeen records in the membership that a message of a process arrived.
func (c *Core) recordSeen(now time.Time, l links.ID, addr string, leaving bool) {
	h := c.peers[l].hello
	if h.Role != string(member.Router) && h.Role != string(member.Agent) {
		return // an operator's command
	}
	e := member.Entry{VM: h.Process, Address: addr, Role: member.Role(h.Role), Centre: h.Centre}
	c.applyMemberChanges(now, c.members.RecordMessage(now, e, h.Boot, leaving))
}

// applyMemberChanges applies changed states of members.
func (c *Core) applyMemberChanges(now time.Time, changes []member.Change) {
	for _, ch := range changes {
		l, connected := c.linkByProcess[ch.Member.VM]
		if !connected || c.peers[l].target == "" {
			continue
		}
		c.picker.SetSuspected(now, c.peers[l].target, ch.Member.State != member.Live)
	}
	if len(changes) > 0 {
		c.quota.SetRouterCount(max(1, len(c.members.Live(member.Router, ""))))
	}
}

// ApplyList applies a version of the platform's list of VMs.
func (c *Core) ApplyList(now time.Time, list []member.Entry) {
	c.recordInput(now)
	c.applyMemberChanges(now, c.members.ApplyList(now, list))
	c.updateConnections(now)
}

// poolAgents returns the agents of a service's targets.
func (c *Core) poolAgents(s ident.Service) []ident.ProcessID {
	x := c.config.Index()
	if x == nil {
		return nil
	}
	pool := x.Pool(s)
	out := make([]ident.ProcessID, len(pool))
	for i, t := range pool {
		out[i] = t.VM
	}
	return out
}

// declareTarget gives the picker the declaration of a connected agent's target.
func (c *Core) declareTarget(now time.Time, id ident.ProcessID) {
	x, l := c.config.Index(), c.linkByProcess[id]
	p := c.peers[l]
	if x == nil || p == nil {
		return
	}
	t, ok := x.TargetByVM(id)
	if p.target != "" && (!ok || t.Name != p.target) {
		c.picker.Drop(p.target)
		p.target = ""
	}
	if !ok {
		return
	}
	region, _ := x.Region(t.Centre)
	p.target = t.Name
	c.picker.Put(now, pick.Target{ID: t.Name, Agent: id, Region: region, Service: t.Service, Version: t.Version, Class: t.Class})
	c.picker.SetSuspected(now, t.Name, c.members.State(id) != member.Live)
}
