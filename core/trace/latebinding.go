package trace

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/pick"
)

const (
	// gossipTime is the time in which a gossip entry reaches the other processes: two rounds of gossip.
	gossipTime = time.Second
	// tickInterval is the interval at which agents expire offers and grants.
	tickInterval = 100 * time.Millisecond
	// poolConnectionsMax is the largest number of agents of one pool to which a router connects (design, section 7).
	poolConnectionsMax = 12
)

// lateBinding is the product's policy: offers wait at agents, and the body is sent to the agent that grants first.
// The routers and agents of the replay only pass messages; all decisions are made by the decision packages.
type lateBinding struct {
	w             *world
	routers       []*router
	routerByID    map[ident.ProcessID]*router
	agents        []*agent
	agentByTarget map[ident.TargetID]*agent
	// currentVersion is the version of each service without a running rollout, sessionVersion the version to which
	// each session is bound.
	currentVersion map[ident.Service]ident.Version
	sessionVersion map[string]ident.Version
	rollouts       []*rollout
}

func newLateBinding(w *world) *lateBinding {
	l := &lateBinding{
		w: w, routerByID: map[ident.ProcessID]*router{}, agentByTarget: map[ident.TargetID]*agent{},
		currentVersion: map[ident.Service]ident.Version{}, sessionVersion: map[string]ident.Version{},
	}
	for i, e := range w.engines {
		a := newAgent(l, e)
		l.agents = append(l.agents, a)
		l.agentByTarget[e.Name] = a
		if _, ok := l.currentVersion[e.Service]; !ok {
			l.currentVersion[e.Service] = e.Version
		}
		// The reports and ticks of the agents are spread evenly over the interval.
		start := w.h.ReportInterval.Duration() * time.Duration(i) / time.Duration(len(w.engines))
		w.every(start, w.h.ReportInterval.Duration(), w.running, a.sendReport)
		w.every(start%tickInterval, tickInterval, w.running, a.tick)
	}
	for i, x := range w.h.Routers {
		r := newRouter(l, x, rand.New(rand.NewPCG(w.h.Seed, uint64(i)+100)))
		l.routers = append(l.routers, r)
		l.routerByID[x.Name] = r
		w.every(time.Second, time.Second, w.running, r.announceDemand)
	}
	w.every(time.Second, time.Second, w.running, l.tickRollouts)
	return l
}

// selectAgents returns the agents to which a router connects: up to poolConnectionsMax per service and version,
// agents of the router's region first, then in the order of the rendezvous hash.
func (l *lateBinding) selectAgents(name ident.ProcessID, region ident.Region) (list []*agent) {
	type pool struct {
		service ident.Service
		version ident.Version
	}
	all, count := slices.Clone(l.agents), map[pool]int{}
	weight := func(a *agent) uint64 { return ident.RendezvousWeight(string(name), string(a.engine.Name)) }
	slices.SortStableFunc(all, func(a, b *agent) int {
		if sameRegion := a.engine.region == region; sameRegion != (b.engine.region == region) {
			return map[bool]int{true: -1, false: 1}[sameRegion]
		}
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	for _, a := range all {
		p := pool{a.engine.Service, a.engine.Version}
		if count[p]++; count[p] <= poolConnectionsMax {
			list = append(list, a)
		}
	}
	return list
}

func (l *lateBinding) arrive(j *job)     { l.routerByID[j.Router].arrive(j) }
func (l *lateBinding) disconnect(j *job) { l.routerByID[j.Router].disconnect(j) }

func (l *lateBinding) cacheEvent(e *engine, seq ident.Seq, reset bool, added, removed []ident.Block) {
	l.agentByTarget[e.Name].handleCacheEvent(seq, reset, added, removed)
}

func (l *lateBinding) engineStopped(e *engine)   { l.agentByTarget[e.Name].handleEngineStop() }
func (l *lateBinding) engineRestarted(e *engine) { l.agentByTarget[e.Name].handleEngineRestart() }

// gossip delivers gossip entries about fingerprints to all other processes after gossipTime.
func (l *lateBinding) gossip(from *guard.Guard, entries []guard.Entry) {
	if len(entries) == 0 {
		return
	}
	l.w.after(gossipTime, func() {
		for _, g := range l.guards() {
			if g == from {
				continue
			}
			for _, f := range entries {
				l.gossip(g, g.Merge(l.w.now, f))
			}
		}
	})
}

func (l *lateBinding) guards() (list []*guard.Guard) {
	for _, r := range l.routers {
		list = append(list, r.guard)
	}
	for _, a := range l.agents {
		list = append(list, a.guard)
	}
	return list
}

// lowerTierWaits reports whether an offer of a lower tier waits in the pool of the region.
func (l *lateBinding) lowerTierWaits(j *job, region ident.Region) bool {
	for _, a := range l.agents {
		lowest := a.queue.Load().LowestWaitingTier
		if a.engine.Service == j.Service && a.engine.Version == j.version && a.engine.region == region && !a.engine.down &&
			lowest != noWaitingTier && lowest > j.Tier {
			return true
		}
	}
	return false
}

func pickTarget(a *agent) pick.Target {
	return pick.Target{
		ID: a.engine.Name, Agent: a.id, Region: a.engine.region, Service: a.engine.Service, Version: a.engine.Version,
		Class: a.engine.Class,
	}
}

func agentID(t ident.TargetID) ident.ProcessID { return ident.ProcessID(fmt.Sprintf("vm-%s", t)) }
