package trace

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

const noFloor = queue.NoFloor

// refusedRetry is the time for which routers leave out an agent that refuses all new work.
const refusedRetry = time.Second

// agent models the process beside a target.
type agent struct {
	l       *late
	e       *engine
	id      ident.ProcessID
	queue   *queue.Queue
	ledger  *ledger.Ledger
	guard   *guard.Guard
	routers []*router
	// from is the router of each request that waits or runs here.
	from map[*job]*router
	jobs map[ident.RequestID]*job
	sent map[*job]time.Time
	// firsts is the time from the body to the first token, for evidence.
	firsts map[*job]time.Duration
	seq    ident.Seq
	// known are the cached blocks as reported; seen is the last number of their events.
	known map[ident.Block]bool
	seen  ident.Seq
	trial *trialSide
}

func newAgent(l *late, e *engine) *agent {
	return &agent{
		l: l, e: e, id: agentID(e.Name), queue: queue.New(), ledger: ledger.New(ident.BootAt(epoch)),
		guard: guard.New(), from: map[*job]*router{}, jobs: map[ident.RequestID]*job{},
		sent: map[*job]time.Time{}, firsts: map[*job]time.Duration{}, known: map[ident.Block]bool{},
	}
}

func (a *agent) to(r *router) time.Duration { return r.to(a) }

func (a *agent) refuse(r *router, j *job, f *fault.Error) {
	delete(a.from, j)
	delete(a.jobs, j.ID)
	a.l.w.after(a.to(r), func() { r.refused(j, a, f) })
}

func (a *agent) offer(r *router, j *job) {
	now := a.l.w.now
	if f := a.closed(j); f != nil {
		a.refuse(r, j, f)
		return
	}
	o := &wire.Offer{
		ID: j.ID, Account: j.Account, Service: j.Service, Version: j.version, Route: j.Route, Tier: j.Tier,
		WaitMillis: j.deadline.Sub(now).Milliseconds(), Prompt: j.Prompt, ExpectedOutput: j.Output, Fingerprint: j.Print, Blocks: j.blocks,
	}
	it := queue.ItemOf(now, o, r.Name, a.weight(j.Account), a.guard.Check(now, j.Print) == guard.Alone)
	it.Cached = a.cachedTokens(j)
	a.from[j], a.jobs[j.ID] = r, j
	evicted, err := a.queue.Push(now, it)
	a.refuseAll(evicted)
	if err != nil {
		a.refuse(r, j, err)
		return
	}
	a.grant()
}

// closed returns the reason for which the agent takes no such offer.
func (a *agent) closed(j *job) *fault.Error {
	var f *fault.Error
	switch {
	case a.e.down:
		f = fault.NotRunf(fault.Target, "target is down")
	case a.trial != nil && a.trial.local.Refuses():
		f = fault.NotRunf(fault.Bad, "version is bad")
	case a.guard.Check(a.l.w.now, j.Print) == guard.Blocked:
		return fault.NotRunf(fault.Crashes, "request crashes targets")
	default:
		return nil
	}
	f.Retry = refusedRetry
	return f
}

func (a *agent) weight(id ident.AccountID) int {
	for _, x := range a.l.w.h.Accounts {
		if x.Name == id {
			return x.Weight
		}
	}
	return 1
}

func (a *agent) refuseAll(list []queue.Refusal) {
	for _, x := range list {
		if j := a.jobs[x.Item.ID]; j != nil {
			a.refuse(a.from[j], j, x.Fault)
		}
	}
}

// grant gives out the room of the window.
func (a *agent) grant() {
	for !a.e.down {
		it, refused, ok := a.queue.Next(a.l.w.now)
		a.refuseAll(refused)
		if !ok {
			return
		}
		j := a.jobs[it.ID]
		t, err := a.ledger.Grant(a.l.w.now, it.ID)
		if j == nil || err != nil {
			a.queue.Remove(a.l.w.now, it.ID)
			continue
		}
		r := a.from[j]
		a.l.w.after(a.to(r), func() { r.granted(j, a, t) })
	}
}

func (a *agent) declined(j *job, t ident.Ticket) {
	a.ledger.Decline(j.ID, t)
	a.withdrawn(j)
}

func (a *agent) withdrawn(j *job) {
	if _, runs := a.sent[j]; runs {
		return
	}
	a.ledger.Revoke(a.l.w.now, j.ID)
	a.queue.Remove(a.l.w.now, j.ID)
	delete(a.from, j)
	delete(a.jobs, j.ID)
	a.grant()
}

func (a *agent) body(r *router, j *job, t ident.Ticket) {
	now := a.l.w.now
	if a.closed(j) != nil || a.ledger.Dispatch(now, j.ID, t) != nil || !a.queue.Started(now, j.ID) {
		a.queue.Remove(now, j.ID)
		a.refuse(r, j, fault.NotRunf(fault.Lapsed, "grant has lapsed"))
		return
	}
	a.sent[j] = now
	if !a.e.submit(j, a) {
		a.done(j, queue.Outcome{Failed: true})
	}
}

// cancelled handles a caller that left after its request was granted.
func (a *agent) cancelled(j *job) {
	if _, runs := a.sent[j]; !runs {
		a.withdrawn(j)
		return
	}
	a.e.cancel(j)
	a.done(j, queue.Outcome{Failed: true})
}

// done frees all that belongs to a request that was dispatched.
func (a *agent) done(j *job, o queue.Outcome) {
	now := a.l.w.now
	a.queue.Finished(now, j.ID, o)
	a.ledger.End(now, j.ID)
	delete(a.from, j)
	delete(a.jobs, j.ID)
	delete(a.sent, j)
	delete(a.firsts, j)
	a.grant()
}

func (a *agent) tick() {
	refused, lapsed := a.queue.Lapse(a.l.w.now)
	a.refuseAll(refused)
	for _, x := range lapsed {
		a.ledger.Revoke(a.l.w.now, x.ID)
		if j := a.jobs[x.ID]; j != nil {
			a.refuse(a.from[j], j, fault.NotRunf(fault.Lapsed, "grant has lapsed"))
		}
	}
	a.ledger.Lapse(a.l.w.now)
	a.grant()
}
