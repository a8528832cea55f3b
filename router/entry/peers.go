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

// Opened takes in a new connection.
func (c *Core) Opened(now time.Time, l links.ID, h wire.Hello, dialed string) {
	c.wake(now)
	old, again := c.byID[h.Process]
	if again && c.peers[old].hello.Boot > h.Boot {
		return // an old process that is about to end
	}
	if again { // what was sent on the old connection may be lost
		c.Closed(now, old)
	}
	c.peers[l] = &peer{hello: h, asked: make(map[ident.RequestID][]ident.RequestID)}
	c.byID[h.Process] = l
	c.log(event.PeerUp, "peer", h.Process, "role", h.Role)
	c.force.Ask(h.Process)
	c.send(l, c.newer(h))
	c.heard(now, l, dialed, false)
	if h.Role != string(member.Agent) {
		return
	}
	c.declare(now, h.Process)
	if boot := c.boots[h.Process]; boot != 0 && boot != h.Boot {
		c.picker.Restarted(now, c.peers[l].target)
	}
	c.boots[h.Process] = h.Boot
	c.reattach(now, h.Process)
}

// reattach asks a process that is connected again for the answers that it holds, and for claims.
func (c *Core) reattach(now time.Time, id ident.ProcessID) {
	for _, k := range c.calls {
		if k.agent == id && (k.phase == committed || k.phase == attaching) {
			k.lostUntil, k.last = time.Time{}, now
			c.tell(id, k.reader.Attach(k.Account.Name, creditMax))
		}
		if k.phase == claiming && slices.Contains(k.homes, id) && !k.held[id] {
			c.ask(k, id)
		}
	}
}

// Closed takes in the loss of a connection.
func (c *Core) Closed(now time.Time, l links.ID) {
	p := c.peers[l]
	if p == nil {
		return
	}
	delete(c.peers, l)
	id := p.hello.Process
	c.log(event.PeerDown, "peer", id)
	if c.byID[id] != l {
		return
	}
	delete(c.byID, id)
	c.force.Unanswered(now, id)
	if p.target != "" {
		c.picker.Suspect(now, p.target, true)
	}
	for _, k := range c.calls {
		c.lost(now, k, id)
	}
}

// lost takes in that the connection to an agent is gone. Only a call whose body was written is in doubt.
func (c *Core) lost(now time.Time, k *call, id ident.ProcessID) {
	if target, out := k.open[id]; out {
		delete(k.open, id)
		k.tried = append(k.tried, target)
		c.picker.Withdrawn(target, k.attempt)
		if len(k.open) == 0 && k.phase == offering {
			c.spread(now, k)
		}
	}
	if k.phase == claiming { // a home that starts anew has to be asked again
		delete(k.held, id)
	}
	if k.agent == id && k.phase == committed {
		k.lostUntil = now.Add(lostTime)
	}
}

// Message takes in a message of a peer.
func (c *Core) Message(now time.Time, l links.ID, m wire.Message) {
	c.wake(now)
	p := c.peers[l]
	if p == nil {
		return
	}
	switch m := m.(type) {
	case *wire.Grant:
		c.grant(now, l, m)
	case *wire.Refuse:
		c.refuse(now, l, m)
	case *wire.Chunk:
		c.chunk(now, l, m)
	case *wire.End:
		c.end(now, l, m)
	case *wire.ClaimReply:
		c.claimed(now, p, m)
	case *wire.Load:
		c.load(now, l, m)
	case *wire.Cache:
		if m.Target == p.target {
			c.picker.Cache(m)
		}
	case *wire.Gossip:
		c.heard(now, l, "", false)
		c.gossip(now, p.hello.Process, m)
	case *wire.CommandReply:
		c.ordered(m)
	case *wire.Leave:
		c.heard(now, l, "", true)
	}
}

// load takes in a load report; it is a sign of life as well.
func (c *Core) load(now time.Time, l links.ID, m *wire.Load) {
	p := c.peers[l]
	if m.Target != p.target {
		return
	}
	c.heard(now, l, "", m.Draining)
	c.picker.Load(now, m)
	c.picker.Suspect(now, p.target, m.Draining || c.member.State(p.hello.Process) != member.Live)
}

// heard notes a sign of life.
func (c *Core) heard(now time.Time, l links.ID, addr string, leaving bool) {
	h := c.peers[l].hello
	if h.Role != string(member.Router) && h.Role != string(member.Agent) {
		return // an operator's command
	}
	e := member.Entry{VM: h.Process, Address: addr, Role: member.Role(h.Role), Centre: h.Centre}
	c.changed(now, c.member.RecordMessage(now, e, h.Boot, leaving))
}

// changed takes in new states of members.
func (c *Core) changed(now time.Time, changes []member.Change) {
	for _, ch := range changes {
		l, ok := c.byID[ch.Member.VM]
		if !ok || c.peers[l].target == "" {
			continue
		}
		c.picker.Suspect(now, c.peers[l].target, ch.Member.State != member.Live)
	}
	if len(changes) > 0 {
		c.quota.SetRouters(max(1, len(c.member.Live(member.Router, ""))))
	}
}

// Listed takes in a version of the platform's list of VMs.
func (c *Core) Listed(now time.Time, list []member.Entry) {
	c.wake(now)
	c.changed(now, c.member.ApplyList(now, list))
	c.connect(now)
}

// poolAgents returns the agents of a service's targets.
func (c *Core) poolAgents(s ident.Service) []ident.ProcessID {
	x := c.force.Index()
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

// declare gives the picker the declaration of a connected agent's target.
func (c *Core) declare(now time.Time, id ident.ProcessID) {
	x, l := c.force.Index(), c.byID[id]
	p := c.peers[l]
	if x == nil || p == nil {
		return
	}
	t, ok := x.ByVM(id)
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
	c.picker.Suspect(now, t.Name, c.member.State(id) != member.Live)
}
