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
	// spreadTime is the time in which a fact reaches the other processes: two rounds of gossip.
	spreadTime = time.Second
	// tickTime is the interval at which agents let offers lapse.
	tickTime = 100 * time.Millisecond
	// subset bounds the agents of a pool to which a router connects (design, section 7).
	subset = 12
)

// late is the product's policy: offers wait at agents, and bodies go to the agent that grants.
// Routers and agents are thin; the decisions are those of the decision packages.
type late struct {
	w        *world
	routers  []*router
	byRouter map[ident.ProcessID]*router
	agents   []*agent
	byTarget map[ident.TargetID]*agent
	// current is the version of each service outside moves, sessions the version that a session has.
	current  map[ident.Service]ident.Version
	sessions map[string]ident.Version
	rollouts []*rollout
}

func newLate(w *world) *late {
	l := &late{
		w: w, byRouter: map[ident.ProcessID]*router{}, byTarget: map[ident.TargetID]*agent{},
		current: map[ident.Service]ident.Version{}, sessions: map[string]ident.Version{},
	}
	for i, e := range w.engines {
		a := newAgent(l, e)
		l.agents = append(l.agents, a)
		l.byTarget[e.Name] = a
		if _, ok := l.current[e.Service]; !ok {
			l.current[e.Service] = e.Version
		}
		// Agents report at different moments.
		start := w.h.Report.Duration() * time.Duration(i) / time.Duration(len(w.engines))
		w.every(start, w.h.Report.Duration(), w.running, a.report)
		w.every(start%tickTime, tickTime, w.running, a.tick)
	}
	for i, x := range w.h.Routers {
		r := newRouter(l, x, rand.New(rand.NewPCG(w.h.Seed, uint64(i)+100)))
		l.routers = append(l.routers, r)
		l.byRouter[x.Name] = r
		w.every(time.Second, time.Second, w.running, r.announce)
	}
	w.every(time.Second, time.Second, w.running, l.tickMoves)
	return l
}

// connect returns the agents that a router connects to: per pool and version the own region's first,
// by rendezvous hash.
func (l *late) connect(name ident.ProcessID, region ident.Region) (list []*agent) {
	type pool struct {
		s ident.Service
		v ident.Version
	}
	all, count := slices.Clone(l.agents), map[pool]int{}
	weight := func(a *agent) uint64 { return ident.RendezvousWeight(string(name), string(a.e.Name)) }
	slices.SortStableFunc(all, func(a, b *agent) int {
		if own := a.e.region == region; own != (b.e.region == region) {
			return map[bool]int{true: -1, false: 1}[own]
		}
		if weight(a) > weight(b) {
			return -1
		}
		return 1
	})
	for _, a := range all {
		p := pool{a.e.Service, a.e.Version}
		if count[p]++; count[p] <= subset {
			list = append(list, a)
		}
	}
	return list
}

func (l *late) arrive(j *job) { l.byRouter[j.Router].arrive(j) }
func (l *late) leave(j *job)  { l.byRouter[j.Router].leave(j) }

func (l *late) cached(e *engine, seq ident.Seq, reset bool, added, removed []ident.Block) {
	l.byTarget[e.Name].cacheEvent(seq, reset, added, removed)
}

func (l *late) stopped(e *engine)   { l.byTarget[e.Name].stopped() }
func (l *late) restarted(e *engine) { l.byTarget[e.Name].restarted() }

// spread delivers facts about fingerprints to all other processes.
func (l *late) spread(from *guard.Guard, facts []guard.Entry) {
	if len(facts) == 0 {
		return
	}
	l.w.after(spreadTime, func() {
		for _, g := range l.guards() {
			if g == from {
				continue
			}
			for _, f := range facts {
				l.spread(g, g.Merge(l.w.now, f))
			}
		}
	})
}

func (l *late) guards() (list []*guard.Guard) {
	for _, r := range l.routers {
		list = append(list, r.guard)
	}
	for _, a := range l.agents {
		list = append(list, a.guard)
	}
	return list
}

// lowerWaits reports whether an offer of a lower tier waits in the pool of the region.
func (l *late) lowerWaits(j *job, region ident.Region) bool {
	for _, a := range l.agents {
		f := a.queue.Load().LowestWaitingTier
		if a.e.Service == j.Service && a.e.Version == j.version && a.e.region == region && !a.e.down &&
			f != noFloor && f > j.Tier {
			return true
		}
	}
	return false
}

func pickTarget(a *agent) pick.Target {
	return pick.Target{
		ID: a.e.Name, Agent: a.id, Region: a.e.region, Service: a.e.Service, Version: a.e.Version,
		Class: a.e.Class,
	}
}

func agentID(t ident.TargetID) ident.ProcessID { return ident.ProcessID(fmt.Sprintf("vm-%s", t)) }
