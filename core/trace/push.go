package trace

import (
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// push is the common part of the baselines: the router sends each request at once to an engine that
// it chooses, and the request waits there.
type push struct {
	w *world
	// choose returns an engine and the time that the choice took.
	choose func(j *job, all []*engine) (*engine, time.Duration)
	pools  map[ident.Service][]*engine
	// reports are the loads in tokens as last reported.
	reports map[*engine]ident.Tokens
	next    map[ident.ProcessID]int
}

func newPush(w *world, name Policy) *push {
	p := &push{
		w: w, pools: map[ident.Service][]*engine{}, reports: map[*engine]ident.Tokens{},
		next: map[ident.ProcessID]int{},
	}
	for _, e := range w.engines {
		p.pools[e.Service] = append(p.pools[e.Service], e)
	}
	switch name {
	case RoundRobin:
		p.choose = p.roundRobin
	case LeastLoad:
		p.choose = p.leastLoad
		w.every(0, w.h.Report.Duration(), w.running, p.report)
	case TwoChoices:
		p.choose = p.twoChoices
	default:
		p.choose = p.random
	}
	return p
}

func (p *push) random(_ *job, all []*engine) (*engine, time.Duration) {
	return all[p.w.rnd.IntN(len(all))], 0
}

func (p *push) roundRobin(j *job, all []*engine) (*engine, time.Duration) {
	i, ok := p.next[j.Router]
	if !ok { // routers start at different places
		i = p.w.rnd.IntN(len(all))
	}
	p.next[j.Router] = i + 1
	return all[i%len(all)], 0
}

func (p *push) leastLoad(_ *job, all []*engine) (*engine, time.Duration) {
	start := p.w.rnd.IntN(len(all)) // equal reports are chosen evenly
	best := all[start]
	for i := range all {
		if e := all[(start+i)%len(all)]; p.reports[e] < p.reports[best] {
			best = e
		}
	}
	return best, 0
}

// twoChoices probes two engines; the probes cost a round trip.
func (p *push) twoChoices(j *job, all []*engine) (*engine, time.Duration) {
	a, b := all[p.w.rnd.IntN(len(all))], all[p.w.rnd.IntN(len(all))]
	trip := 2 * max(p.distance(j, a), p.distance(j, b))
	_, la := a.load()
	_, lb := b.load()
	if lb < la {
		return b, trip
	}
	return a, trip
}

func (p *push) report() {
	for _, e := range p.w.engines {
		_, n := e.load()
		p.w.after(p.w.lag, func() { p.reports[e] = n })
	}
}

func (p *push) distance(j *job, e *engine) time.Duration {
	return p.w.latency(p.w.regionOf(j.Router), e.region)
}

func (p *push) arrive(j *job) {
	up := slices.DeleteFunc(slices.Clone(p.pools[j.Service]), func(e *engine) bool { return e.down })
	if len(up) == 0 {
		p.w.refuse(j, fault.NotRunf(fault.Config, "no target"))
		return
	}
	e, took := p.choose(j, up)
	p.w.after(took+p.distance(j, e), func() {
		if !j.ended && !e.submit(j, p) {
			p.w.refuse(j, fault.NotRunf(fault.Target, "connection refused"))
		}
	})
}

func (p *push) leave(j *job) {
	if e := j.target; e != nil {
		p.w.after(p.distance(j, e), func() { e.cancel(j) })
	}
}

func (p *push) first(j *job) {
	p.w.after(p.distance(j, j.target)+callerLatency, func() { p.w.firstByte(j) })
}

func (p *push) token(*job) {}

func (p *push) finished(j *job, whole bool, _ ident.Tokens) {
	p.w.after(p.distance(j, j.target)+callerLatency, func() { p.w.answered(j, whole) })
}

func (p *push) crashed(_ *engine, lost []*job) {
	for _, j := range lost {
		p.w.answered(j, false)
	}
}

func (*push) cached(*engine, ident.Seq, bool, []ident.Block, []ident.Block) {}
func (*push) stopped(*engine)                                               {}
func (*push) restarted(*engine)                                             {}
func (*push) declared(Event)                                                {}
func (*push) outage(bool)                                                   {}
func (*push) busy() bool                                                    { return false }
func (*push) ends() []MoveEnd                                               { return nil }
