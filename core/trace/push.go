package trace

import (
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// push is the common part of the baselines: the router sends each request at once to an engine that
// it chooses, and the request waits there.
type baseline struct {
	w *world
	// choose returns an engine and the time that the choice took.
	choose  func(j *job, all []*engine) (*engine, time.Duration)
	engines map[ident.Service][]*engine
	// reports are the loads in tokens as last reported.
	reportedTokens map[*engine]ident.Tokens
	nextIndex      map[ident.ProcessID]int
}

func newBaseline(w *world, name Policy) *baseline {
	p := &baseline{
		w: w, engines: map[ident.Service][]*engine{}, reportedTokens: map[*engine]ident.Tokens{},
		nextIndex: map[ident.ProcessID]int{},
	}
	for _, e := range w.engines {
		p.engines[e.Service] = append(p.engines[e.Service], e)
	}
	switch name {
	case RoundRobin:
		p.choose = p.roundRobin
	case LeastLoad:
		p.choose = p.leastLoad
		w.every(0, w.h.ReportInterval.Duration(), w.running, p.collectReports)
	case TwoChoices:
		p.choose = p.twoChoices
	default:
		p.choose = p.random
	}
	return p
}

func (p *baseline) random(_ *job, all []*engine) (*engine, time.Duration) {
	return all[p.w.rnd.IntN(len(all))], 0
}

func (p *baseline) roundRobin(j *job, all []*engine) (*engine, time.Duration) {
	i, ok := p.nextIndex[j.Router]
	if !ok { // routers start at different places
		i = p.w.rnd.IntN(len(all))
	}
	p.nextIndex[j.Router] = i + 1
	return all[i%len(all)], 0
}

func (p *baseline) leastLoad(_ *job, all []*engine) (*engine, time.Duration) {
	start := p.w.rnd.IntN(len(all)) // equal reports are chosen evenly
	best := all[start]
	for i := range all {
		if e := all[(start+i)%len(all)]; p.reportedTokens[e] < p.reportedTokens[best] {
			best = e
		}
	}
	return best, 0
}

// twoChoices probes two engines; the probes cost a round trip.
func (p *baseline) twoChoices(j *job, all []*engine) (*engine, time.Duration) {
	a, b := all[p.w.rnd.IntN(len(all))], all[p.w.rnd.IntN(len(all))]
	trip := 2 * max(p.latencyTo(j, a), p.latencyTo(j, b))
	_, la := a.load()
	_, lb := b.load()
	if lb < la {
		return b, trip
	}
	return a, trip
}

func (p *baseline) collectReports() {
	for _, e := range p.w.engines {
		_, n := e.load()
		p.w.after(p.w.reportLag, func() { p.reportedTokens[e] = n })
	}
}

func (p *baseline) latencyTo(j *job, e *engine) time.Duration {
	return p.w.latency(p.w.regionOf(j.Router), e.region)
}

func (p *baseline) arrive(j *job) {
	up := slices.DeleteFunc(slices.Clone(p.engines[j.Service]), func(e *engine) bool { return e.down })
	if len(up) == 0 {
		p.w.refuse(j, fault.NotRunf(fault.Config, "no target"))
		return
	}
	e, took := p.choose(j, up)
	p.w.after(took+p.latencyTo(j, e), func() {
		if !j.ended && !e.submit(j, p) {
			p.w.refuse(j, fault.NotRunf(fault.Target, "connection refused"))
		}
	})
}

func (p *baseline) disconnect(j *job) {
	if e := j.engine; e != nil {
		p.w.after(p.latencyTo(j, e), func() { e.cancel(j) })
	}
}

func (p *baseline) firstToken(j *job) {
	p.w.after(p.latencyTo(j, j.engine)+callerLatency, func() { p.w.recordFirstByte(j) })
}

func (p *baseline) nextToken(*job) {}

func (p *baseline) finished(j *job, whole bool, _ ident.Tokens) {
	p.w.after(p.latencyTo(j, j.engine)+callerLatency, func() { p.w.finish(j, whole) })
}

func (p *baseline) crashed(_ *engine, lost []*job) {
	for _, j := range lost {
		p.w.finish(j, false)
	}
}

func (*baseline) cacheEvent(*engine, ident.Seq, bool, []ident.Block, []ident.Block) {}
func (*baseline) engineStopped(*engine)                                             {}
func (*baseline) engineRestarted(*engine)                                           {}
func (*baseline) startRollout(Event)                                                {}
func (*baseline) setStoreOutage(bool)                                               {}
func (*baseline) rolloutRunning() bool                                              { return false }

func (*baseline) rolloutSummaries() []RolloutSummary { return nil }
