package member

import (
	"cmp"
	"slices"

	"hickoryvane.example/core/ident"
)

const (
	// StoreWatcherCount is the number of processes per region that watch the store.
	StoreWatcherCount = 2
	// LinkRouterCount is the number of processes per region that gossip over the region link.
	LinkRouterCount = 2
	// SubsetMax is the largest number of agents per pool that a router usually connects to.
	SubsetMax = 12
	// ClaimOwnerCount is the number of agents that hold the claim of a keyed request.
	ClaimOwnerCount = 2
)

// topByWeight returns the n members with the highest rendezvous weight for key, highest first.
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

func vmsOf(members []Member) []ident.ProcessID {
	out := make([]ident.ProcessID, len(members))
	for i, member := range members {
		out[i] = member.VM
	}
	return out
}

// StoreWatchers returns the routers of a region that watch the store. Processes that see different members may
// together choose more than StoreWatcherCount routers; this costs additional store calls and has no other
// effect.
func (m *Membership) StoreWatchers(region ident.Region) []ident.ProcessID {
	return vmsOf(topByWeight("watch", m.Live(Router, region), StoreWatcherCount))
}

// LinkRouters returns the routers of a region that gossip over the region link; the second is the backup.
func (m *Membership) LinkRouters(region ident.Region) []ident.ProcessID {
	return vmsOf(topByWeight("link", m.Live(Router, region), LinkRouterCount))
}

// Counterparts returns the processes of other regions with which this process gossips: none unless it is a link
// router of its region. backup is true on the second link router.
func (m *Membership) Counterparts() (peers []ident.ProcessID, backup bool) {
	ownRegion := m.regions[m.self.Centre]
	i := slices.Index(m.LinkRouters(ownRegion), m.self.VM)
	if i < 0 {
		return nil, false
	}
	var others []ident.Region
	for _, region := range m.regions {
		if region != ownRegion && !slices.Contains(others, region) {
			others = append(others, region)
		}
	}
	slices.Sort(others)
	for _, region := range others {
		if routers := m.LinkRouters(region); len(routers) > 0 {
			peers = append(peers, routers[min(i, len(routers)-1)])
		}
	}
	return peers, i > 0
}

// Subset returns the agents of a pool that this router connects to, those of its own region first. pool lists
// the agents of the service; agents that are not live are omitted. Within the region, the agents assigned to
// this router come first: each agent is assigned to one live router, because an agent without a connection gets
// no configuration. There are more than n of them only when a region has too few routers; otherwise the result
// is filled up to n. If each router chose independently, (1-n/N)^R of N agents would have a connection from
// none of R routers.
func (m *Membership) Subset(service ident.Service, pool []ident.ProcessID, n int) []ident.ProcessID {
	ownRegion := m.regions[m.self.Centre]
	routers := m.Live(Router, ownRegion)
	var assigned, sameRegion, otherRegions []Member
	for _, id := range pool {
		r := m.records[id]
		if r == nil || r.state != Live {
			continue
		}
		switch member := m.member(r); {
		case member.Region != ownRegion:
			otherRegions = append(otherRegions, member)
		case m.isAssigned(routers, id):
			assigned = append(assigned, member)
		default:
			sameRegion = append(sameRegion, member)
		}
	}
	key := "subset\x00" + string(m.self.VM) + "\x00" + string(service)
	out := topByWeight(key, assigned, len(assigned))
	out = append(out, topByWeight(key, sameRegion, max(0, n-len(out)))...)
	return vmsOf(append(out, topByWeight(key, otherRegions, max(0, n-len(out)))...))
}

// isAssigned reports whether this router is the one that an agent is assigned to.
func (m *Membership) isAssigned(routers []Member, agent ident.ProcessID) bool {
	key := "cover\x00" + string(agent)
	ownWeight := ident.RendezvousWeight(key, string(m.self.VM))
	selfLive := false
	for _, router := range routers {
		weight := ident.RendezvousWeight(key, string(router.VM))
		if weight > ownWeight || weight == ownWeight && router.VM < m.self.VM {
			return false
		}
		selfLive = selfLive || router.VM == m.self.VM
	}
	return selfLive
}

// ClaimOwners returns the agents that hold the claim of a keyed request: the ClaimOwnerCount live agents of
// pool with the highest rendezvous weight.
func (m *Membership) ClaimOwners(id ident.RequestID, pool []ident.ProcessID) []ident.ProcessID {
	var live []Member
	for _, p := range pool {
		if r := m.records[p]; r != nil && r.state == Live {
			live = append(live, m.member(r))
		}
	}
	return vmsOf(topByWeight("home\x00"+string(id), live, ClaimOwnerCount))
}
