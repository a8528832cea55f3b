package member

import (
	"cmp"
	"slices"

	"hickoryvane.example/core/ident"
)

const (
	// WatcherCount is the number of processes per region that watch the store.
	StoreWatcherCount = 2
	// LinkCount is the number of processes per region that exchange facts over the region link.
	LinkRouterCount = 2
	// SubsetMax is the largest number of agents per pool that a router connects to.
	SubsetMax = 12
	// HomeCount is the number of agents that hold the claim of a keyed request.
	ClaimOwnerCount = 2
)

// top returns the n members with the highest rendezvous weight for key, the highest first.
func topByWeight(key string, all []Member, n int) []Member {
	all = slices.Clone(all)
	slices.SortFunc(all, func(a, b Member) int {
		return cmp.Or(
			cmp.Compare(ident.RendezvousWeight(key, string(b.VM)), ident.RendezvousWeight(key, string(a.VM))),
			cmp.Compare(a.VM, b.VM),
		)
	})
	return all[:min(n, len(all))]
}

func vmsOf(ms []Member) []ident.ProcessID {
	out := make([]ident.ProcessID, len(ms))
	for i, p := range ms {
		out[i] = p.VM
	}
	return out
}

// Watchers returns the routers of a region that watch the store. Processes that see different
// members may choose more than WatcherCount in all; that costs store calls and is otherwise harmless.
func (m *Membership) StoreWatchers(region ident.Region) []ident.ProcessID {
	return vmsOf(topByWeight("watch", m.Live(Router, region), StoreWatcherCount))
}

// Link returns the routers of a region for the exchange over the region link; the second is the backup.
func (m *Membership) LinkRouters(region ident.Region) []ident.ProcessID {
	return vmsOf(topByWeight("link", m.Live(Router, region), LinkRouterCount))
}

// Counterparts returns the processes of other regions with which this process exchanges facts: none
// unless it is on the pair of its region. backup is true on the second of the pair.
func (m *Membership) Counterparts() (far []ident.ProcessID, backup bool) {
	own := m.regions[m.self.Centre]
	i := slices.Index(m.LinkRouters(own), m.self.VM)
	if i < 0 {
		return nil, false
	}
	var names []ident.Region
	for _, r := range m.regions {
		if r != own && !slices.Contains(names, r) {
			names = append(names, r)
		}
	}
	slices.Sort(names)
	for _, r := range names {
		if pair := m.LinkRouters(r); len(pair) > 0 {
			far = append(far, pair[min(i, len(pair)-1)])
		}
	}
	return far, i > 0
}

// Subset returns the agents of a pool that this router connects to, those of its own region first.
// pool lists the agents of the service; those that are not live are left out. Within the region come
// first the agents that this router has to cover: each agent is assigned to one live router, because
// an agent without a connection gets no configuration. There are more than n of them only when a
// region has too few routers; otherwise the result is filled up to n. Independent choices would leave
// (1-n/N)^R of N agents without any of R routers.
func (m *Membership) Subset(service ident.Service, pool []ident.ProcessID, n int) []ident.ProcessID {
	own := m.regions[m.self.Centre]
	routers := m.Live(Router, own)
	var cover, near, far []Member
	for _, id := range pool {
		r := m.records[id]
		if r == nil || r.state != Live {
			continue
		}
		switch p := m.member(r); {
		case p.Region != own:
			far = append(far, p)
		case m.isAssigned(routers, id):
			cover = append(cover, p)
		default:
			near = append(near, p)
		}
	}
	key := "subset\x00" + string(m.self.VM) + "\x00" + string(service)
	out := topByWeight(key, cover, len(cover))
	out = append(out, topByWeight(key, near, max(0, n-len(out)))...)
	return vmsOf(append(out, topByWeight(key, far, max(0, n-len(out)))...))
}

// covers reports whether this router is the one assigned to an agent.
func (m *Membership) isAssigned(routers []Member, agent ident.ProcessID) bool {
	key := "cover\x00" + string(agent)
	mine := ident.RendezvousWeight(key, string(m.self.VM))
	found := false
	for _, r := range routers {
		w := ident.RendezvousWeight(key, string(r.VM))
		if w > mine || w == mine && r.VM < m.self.VM {
			return false
		}
		found = found || r.VM == m.self.VM
	}
	return found
}

// Homes returns the agents that hold the claim of a keyed request, the first two by rendezvous hash
// over the live agents of pool.
func (m *Membership) ClaimOwners(id ident.RequestID, pool []ident.ProcessID) []ident.ProcessID {
	var live []Member
	for _, p := range pool {
		if r := m.records[p]; r != nil && r.state == Live {
			live = append(live, m.member(r))
		}
	}
	return vmsOf(topByWeight("home\x00"+string(id), live, ClaimOwnerCount))
}
