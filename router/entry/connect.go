package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// dialedRoutersMax limits the other routers of the region that a router dials; its gossip needs no more.
const dialedRoutersMax = 3

// recordInput records the time of an input, which shows that the router itself is running. After a pause of the
// router itself, the silence of others is no sign of their loss: they get the full time again before they are
// suspected, because the owners of keyed requests follow the live agents.
func (c *Core) recordInput(now time.Time) {
	if !c.lastInput.IsZero() && now.Sub(c.lastInput) >= minPause {
		for id := range c.periodic.monitored {
			if st := c.members.State(id); st == member.Live {
				c.members.StopMonitoring(now, id)
				c.members.StartMonitoring(now, id)
			}
		}
	}
	c.lastInput = now
}

// updateConnections chooses the processes to which this router maintains connections: a bounded number of agents
// per pool, a few routers of its region, its counterparts in other regions, and those used recently.
func (c *Core) updateConnections(now time.Time) {
	addresses, all := make(map[string]bool), make(map[ident.ProcessID]member.Member)
	for _, m := range c.members.Members() {
		all[m.VM] = m
	}
	add := func(id ident.ProcessID) {
		m, known := all[id]
		if !known || m.Address == "" || id == c.self || (m.State == member.Gone && !m.Listed) {
			return
		}
		addresses[m.Address] = true
		c.periodic.monitored[id] = true
		c.members.StartMonitoring(now, id)
	}
	if x := c.config.Index(); x != nil {
		for _, s := range x.Config().Services {
			for _, id := range c.members.Subset(s.Name, c.poolAgents(s.Name), c.subsetSize()) {
				add(id)
			}
		}
	}
	for id := range c.linkByProcess { // a silent or leaving process may still hold answers
		if st := c.members.State(id); st == member.Suspected || st == member.Leaving {
			add(id)
		}
	}
	routers := c.nextRouters()
	for _, id := range routers {
		add(id)
	}
	if len(routers) == 0 {
		for _, addr := range c.seedAddresses {
			addresses[addr] = true
		}
	}
	counterparts, _ := c.members.Counterparts()
	for _, id := range counterparts {
		add(id)
	}
	for id, at := range c.periodic.lastUsed {
		if now.Sub(at) >= idleTimeout && !c.isNeeded(id) {
			delete(c.periodic.lastUsed, id)
			continue
		}
		add(id)
	}
	c.stopMonitoringUnneeded(now, all, addresses, add)
	c.setAddresses(addresses)
}

// stopMonitoringUnneeded stops monitoring live processes to which no connection is needed any more: their silence
// means nothing, and they remain owners of keyed requests. A silent process is dialled as long as the platform lists it.
func (c *Core) stopMonitoringUnneeded(now time.Time, all map[ident.ProcessID]member.Member, addresses map[string]bool, add func(ident.ProcessID)) {
	for id := range c.periodic.monitored {
		m, known := all[id]
		switch {
		case !known:
			delete(c.periodic.monitored, id)
		case m.Listed && (m.State == member.Suspected || m.State == member.Gone):
			add(id)
		case m.State == member.Live && !addresses[m.Address]:
			c.members.StopMonitoring(now, id)
			delete(c.periodic.monitored, id)
		}
	}
}

func (c *Core) setAddresses(addresses map[string]bool) {
	if len(addresses) == len(c.periodic.wantedAddresses) {
		same := true
		for a := range addresses {
			same = same && c.periodic.wantedAddresses[a]
		}
		if same {
			return
		}
	}
	c.periodic.wantedAddresses = addresses
	sorted := make([]string, 0, len(addresses))
	for a := range addresses {
		sorted = append(sorted, a)
	}
	slices.Sort(sorted)
	c.emit(SetPeers{Addresses: sorted})
}

// isNeeded reports whether a call needs the connection to a process.
func (c *Core) isNeeded(id ident.ProcessID) bool {
	for _, k := range c.calls {
		if k.agent == id || k.openOffers[id] != "" || slices.Contains(k.owners, id) {
			return true
		}
	}
	return false
}

// keepConnected records the use of processes, so that the router connects to them and stays connected for
// idleTimeout even if they are outside the subset.
func (c *Core) keepConnected(now time.Time, ids []ident.ProcessID) {
	for _, id := range ids {
		c.periodic.lastUsed[id] = now
		if _, connected := c.linkByProcess[id]; !connected {
			c.updateConnections(now)
		}
	}
}

// nextRouters returns the routers that follow this one in the order of names, so that all routers of a region are
// connected.
func (c *Core) nextRouters() (out []ident.ProcessID) {
	all := c.members.Live(member.Router, c.region)
	i := slices.IndexFunc(all, func(m member.Member) bool { return m.VM == c.self })
	for n := 1; n <= min(dialedRoutersMax, len(all)-1); n++ {
		out = append(out, all[(i+n+len(all))%len(all)].VM)
	}
	return out
}

func (c *Core) subsetSize() int {
	if c.bounds.Agents > 0 {
		return c.bounds.Agents
	}
	return member.SubsetMax
}
