package trace

import (
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// baseline implements the baseline policies: the router chooses an engine for each request at once, and the
// request waits in the queue of that engine.
type baseline struct {
	w *world
	// choose returns an engine and the time that choosing it takes.
	choose  func(j *job, all []*engine) (*engine, time.Duration)
	engines map[ident.Service][]*engine
	// reportedTokens is the load of each engine in tokens as last reported; nextIndex is the position of each router
	// in its round robin.
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
	if !ok { // each router starts at a random position
		i = p.w.rnd.IntN(len(all))
	}
	p.nextIndex[j.Router] = i + 1
	return all[i%len(all)], 0
}

func (p *baseline) leastLoad(_ *job, all []*engine) (*engine, time.Duration) {
	start := p.w.rnd.IntN(len(all)) // breaks ties between equal reports at random
	best := all[start]
	for i := range all {
		if e := all[(start+i)%len(all)]; p.reportedTokens[e] < p.reportedTokens[best] {
			best = e
		}
	}
	return best, 0
}

// twoChoices probes two random engines and chooses the one with fewer tokens. The probes take a round trip.
func (p *baseline) twoChoices(j *job, all []*engine) (*engine, time.Duration) {
	a, b := all[p.w.rnd.IntN(len(all))], all[p.w.rnd.IntN(len(all))]
	roundTrip := 2 * max(p.latencyTo(j, a), p.latencyTo(j, b))
	_, aTokens := a.load()
	_, bTokens := b.load()
	if bTokens < aTokens {
		return b, roundTrip
	}
	return a, roundTrip
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
	available := slices.DeleteFunc(slices.Clone(p.engines[j.Service]), func(e *engine) bool { return e.down })
	if len(available) == 0 {
		p.w.refuse(j, fault.NotRunf(fault.Config, "no target"))
		return
	}
	e, delay := p.choose(j, available)
	p.w.after(delay+p.latencyTo(j, e), func() {
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

func (p *baseline) finished(j *job, complete bool, _ ident.Tokens) {
	p.w.after(p.latencyTo(j, j.engine)+callerLatency, func() { p.w.finish(j, complete) })
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
