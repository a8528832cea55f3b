package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// peersMax bounds the other routers of the region that a router dials; its gossip needs no more.
const dialedRoutersMax = 3

// wake notes that the router runs. After a pause the silence of others is its own: they are given the time
// to be heard before they are suspected, because the homes of keyed requests follow the live agents.
func (c *Core) recordInput(now time.Time) {
	if !c.lastInput.IsZero() && now.Sub(c.lastInput) >= minPause {
		for id := range c.periodic.watched {
			if st := c.members.State(id); st == member.Live {
				c.members.StopMonitoring(now, id)
				c.members.StartMonitoring(now, id)
			}
		}
	}
	c.lastInput = now
}

// connect chooses the processes that this router keeps connections to: a bounded number of agents per pool,
// a few routers of its region, its counterparts in other regions, and those used a short time ago.
func (c *Core) updateConnections(now time.Time) {
	want, all := make(map[string]bool), make(map[ident.ProcessID]member.Member)
	for _, m := range c.members.Members() {
		all[m.VM] = m
	}
	add := func(id ident.ProcessID) {
		m, known := all[id]
		if !known || m.Address == "" || id == c.self || (m.State == member.Gone && !m.Listed) {
			return
		}
		want[m.Address] = true
		c.periodic.watched[id] = true
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
	others := c.nextRouters()
	for _, id := range others {
		add(id)
	}
	if len(others) == 0 {
		for _, addr := range c.seedAddresses {
			want[addr] = true
		}
	}
	far, _ := c.members.Counterparts()
	for _, id := range far {
		add(id)
	}
	for id, at := range c.periodic.lastUsed {
		if now.Sub(at) >= idleTimeout && !c.isNeeded(id) {
			delete(c.periodic.lastUsed, id)
			continue
		}
		add(id)
	}
	c.endWatches(now, all, want, add)
	c.setAddresses(want)
}

// unwatch ends the watch of live processes to which no connection is wanted any more: their silence means
// nothing, and they stay homes of keyed requests. A silent one is dialled as long as the platform lists it.
func (c *Core) endWatches(now time.Time, all map[ident.ProcessID]member.Member, want map[string]bool, add func(ident.ProcessID)) {
	for id := range c.periodic.watched {
		m, known := all[id]
		switch {
		case !known:
			delete(c.periodic.watched, id)
		case m.Listed && (m.State == member.Suspected || m.State == member.Gone):
			add(id)
		case m.State == member.Live && !want[m.Address]:
			c.members.StopMonitoring(now, id)
			delete(c.periodic.watched, id)
		}
	}
}

func (c *Core) setAddresses(want map[string]bool) {
	if len(want) == len(c.periodic.wantedAddresses) {
		same := true
		for a := range want {
			same = same && c.periodic.wantedAddresses[a]
		}
		if same {
			return
		}
	}
	c.periodic.wantedAddresses = want
	addrs := make([]string, 0, len(want))
	for a := range want {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	c.emit(SetPeers{Addresses: addrs})
}

// busy reports whether a call needs the connection to a process.
func (c *Core) isNeeded(id ident.ProcessID) bool {
	for _, k := range c.calls {
		if k.agent == id || k.openOffers[id] != "" || slices.Contains(k.owners, id) {
			return true
		}
	}
	return false
}

// keep asks for connections to processes outside the subset.
func (c *Core) keepConnected(now time.Time, ids []ident.ProcessID) {
	for _, id := range ids {
		c.periodic.lastUsed[id] = now
		if _, ok := c.linkByProcess[id]; !ok {
			c.updateConnections(now)
		}
	}
}

// nextRouters returns the routers after this one in the order of names, which connects all of a region.
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
