package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
)

// peersMax bounds the other routers of the region that a router dials; its gossip needs no more.
const peersMax = 3

// wake notes that the router runs. After a pause the silence of others is its own: they are given the time
// to be heard before they are suspected, because the homes of keyed requests follow the live agents.
func (c *Core) wake(now time.Time) {
	if !c.awake.IsZero() && now.Sub(c.awake) >= pauseTime {
		for id := range c.tasks.watched {
			if st := c.member.State(id); st == member.Live {
				c.member.StopMonitoring(now, id)
				c.member.StartMonitoring(now, id)
			}
		}
	}
	c.awake = now
}

// connect chooses the processes that this router keeps connections to: a bounded number of agents per pool,
// a few routers of its region, its counterparts in other regions, and those used a short time ago.
func (c *Core) connect(now time.Time) {
	want, all := make(map[string]bool), make(map[ident.ProcessID]member.Member)
	for _, m := range c.member.Members() {
		all[m.VM] = m
	}
	add := func(id ident.ProcessID) {
		m, known := all[id]
		if !known || m.Address == "" || id == c.self || (m.State == member.Gone && !m.Listed) {
			return
		}
		want[m.Address] = true
		c.tasks.watched[id] = true
		c.member.StartMonitoring(now, id)
	}
	if x := c.force.Index(); x != nil {
		for _, s := range x.Config().Services {
			for _, id := range c.member.Subset(s.Name, c.poolAgents(s.Name), c.subset()) {
				add(id)
			}
		}
	}
	for id := range c.byID { // a silent or leaving process may still hold answers
		if st := c.member.State(id); st == member.Suspected || st == member.Leaving {
			add(id)
		}
	}
	others := c.nextRouters()
	for _, id := range others {
		add(id)
	}
	if len(others) == 0 {
		for _, addr := range c.seeds {
			want[addr] = true
		}
	}
	far, _ := c.member.Counterparts()
	for _, id := range far {
		add(id)
	}
	for id, at := range c.tasks.used {
		if now.Sub(at) >= idleTime && !c.busy(id) {
			delete(c.tasks.used, id)
			continue
		}
		add(id)
	}
	c.unwatch(now, all, want, add)
	c.want(want)
}

// unwatch ends the watch of live processes to which no connection is wanted any more: their silence means
// nothing, and they stay homes of keyed requests. A silent one is dialled as long as the platform lists it.
func (c *Core) unwatch(now time.Time, all map[ident.ProcessID]member.Member, want map[string]bool, add func(ident.ProcessID)) {
	for id := range c.tasks.watched {
		m, known := all[id]
		switch {
		case !known:
			delete(c.tasks.watched, id)
		case m.Listed && (m.State == member.Suspected || m.State == member.Gone):
			add(id)
		case m.State == member.Live && !want[m.Address]:
			c.member.StopMonitoring(now, id)
			delete(c.tasks.watched, id)
		}
	}
}

func (c *Core) want(want map[string]bool) {
	if len(want) == len(c.tasks.want) {
		same := true
		for a := range want {
			same = same && c.tasks.want[a]
		}
		if same {
			return
		}
	}
	c.tasks.want = want
	addrs := make([]string, 0, len(want))
	for a := range want {
		addrs = append(addrs, a)
	}
	slices.Sort(addrs)
	c.act(Want{Addresses: addrs})
}

// busy reports whether a call needs the connection to a process.
func (c *Core) busy(id ident.ProcessID) bool {
	for _, k := range c.calls {
		if k.agent == id || k.open[id] != "" || slices.Contains(k.homes, id) {
			return true
		}
	}
	return false
}

// keep asks for connections to processes outside the subset.
func (c *Core) keep(now time.Time, ids []ident.ProcessID) {
	for _, id := range ids {
		c.tasks.used[id] = now
		if _, ok := c.byID[id]; !ok {
			c.connect(now)
		}
	}
}

// nextRouters returns the routers after this one in the order of names, which connects all of a region.
func (c *Core) nextRouters() (out []ident.ProcessID) {
	all := c.member.Live(member.Router, c.region)
	i := slices.IndexFunc(all, func(m member.Member) bool { return m.VM == c.self })
	for n := 1; n <= min(peersMax, len(all)-1); n++ {
		out = append(out, all[(i+n+len(all))%len(all)].VM)
	}
	return out
}

func (c *Core) subset() int {
	if c.bounds.Agents > 0 {
		return c.bounds.Agents
	}
	return member.SubsetMax
}
