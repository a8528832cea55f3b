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

const noWaitingTier = queue.NoneWaiting

// refusalRetryDelay is the time for which routers skip an agent that refuses all new requests.
const refusalRetryDelay = time.Second

// agent models the agent process of a target.
type agent struct {
	policy  *lateBinding
	engine  *engine
	id      ident.ProcessID
	queue   *queue.Queue
	ledger  *ledger.Ledger
	guard   *guard.Guard
	routers []*router
	// routerOf is the router of each request that waits or runs at this agent.
	routerOf map[*job]*router
	jobs     map[ident.RequestID]*job
	// sentAt holds the time of dispatch of each request that runs at the engine.
	sentAt map[*job]time.Time
	// timeToFirstToken is counted from the dispatch of the body; it goes into the rollout evidence.
	timeToFirstToken map[*job]time.Duration
	reportSeq        ident.Seq
	// cachedBlocks are the blocks cached at the engine according to its cache events; lastCacheSeq is the highest
	// sequence number of these events.
	cachedBlocks map[ident.Block]bool
	lastCacheSeq ident.Seq
	rollout      *agentRollout
}

func newAgent(l *lateBinding, e *engine) *agent {
	return &agent{
		policy: l, engine: e, id: agentID(e.Name), queue: queue.New(), ledger: ledger.New(ident.BootAt(epoch)),
		guard: guard.New(), routerOf: map[*job]*router{}, jobs: map[ident.RequestID]*job{},
		sentAt: map[*job]time.Time{}, timeToFirstToken: map[*job]time.Duration{}, cachedBlocks: map[ident.Block]bool{},
	}
}

func (a *agent) latencyTo(r *router) time.Duration { return r.latencyTo(a) }

func (a *agent) refuse(r *router, j *job, f *fault.Error) {
	delete(a.routerOf, j)
	delete(a.jobs, j.ID)
	a.policy.w.after(a.latencyTo(r), func() { r.handleRefusal(j, a, f) })
}

func (a *agent) handleOffer(r *router, j *job) {
	now := a.policy.w.now
	if f := a.refusal(j); f != nil {
		a.refuse(r, j, f)
		return
	}
	o := &wire.Offer{
		ID: j.ID, Account: j.Account, Service: j.Service, Version: j.version, Route: j.Route, Tier: j.Tier,
		WaitMillis: j.deadline.Sub(now).Milliseconds(), Prompt: j.Prompt, ExpectedOutput: j.Output, Fingerprint: j.Fingerprint, Blocks: j.blocks,
	}
	it := queue.ItemFromOffer(now, o, r.Name, a.accountWeight(j.Account), a.guard.Check(now, j.Fingerprint) == guard.Isolated)
	it.Cached = a.cachedTokens(j)
	a.routerOf[j], a.jobs[j.ID] = r, j
	evicted, err := a.queue.Push(now, it)
	a.refuseAll(evicted)
	if err != nil {
		a.refuse(r, j, err)
		return
	}
	a.grant()
}

// refusal returns the reason for which the agent refuses an offer of the request, or nil if it accepts one.
func (a *agent) refusal(j *job) *fault.Error {
	var f *fault.Error
	switch {
	case a.engine.down:
		f = fault.NotRunf(fault.Target, "target is down")
	case a.rollout != nil && a.rollout.local.Refuses():
		f = fault.NotRunf(fault.BadVersion, "version is bad")
	case a.guard.Check(a.policy.w.now, j.Fingerprint) == guard.Blocked:
		return fault.NotRunf(fault.Crashes, "request crashes targets")
	default:
		return nil
	}
	f.RetryAfter = refusalRetryDelay
	return f
}

func (a *agent) accountWeight(id ident.AccountID) int {
	for _, x := range a.policy.w.h.Accounts {
		if x.Name == id {
			return x.Weight
		}
	}
	return 1
}

func (a *agent) refuseAll(list []queue.Refusal) {
	for _, x := range list {
		if j := a.jobs[x.Item.ID]; j != nil {
			a.refuse(a.routerOf[j], j, x.Fault)
		}
	}
}

// grant grants queued offers while the window has room.
func (a *agent) grant() {
	for !a.engine.down {
		it, refused, ok := a.queue.Next(a.policy.w.now)
		a.refuseAll(refused)
		if !ok {
			return
		}
		j := a.jobs[it.ID]
		t, err := a.ledger.Grant(a.policy.w.now, it.ID)
		if j == nil || err != nil {
			a.queue.Remove(a.policy.w.now, it.ID)
			continue
		}
		r := a.routerOf[j]
		a.policy.w.after(a.latencyTo(r), func() { r.handleGrant(j, a, t) })
	}
}

func (a *agent) handleDecline(j *job, t ident.Ticket) {
	a.ledger.Decline(j.ID, t)
	a.handleWithdraw(j)
}

func (a *agent) handleWithdraw(j *job) {
	if _, runs := a.sentAt[j]; runs {
		return
	}
	a.ledger.Revoke(a.policy.w.now, j.ID)
	a.queue.Remove(a.policy.w.now, j.ID)
	delete(a.routerOf, j)
	delete(a.jobs, j.ID)
	a.grant()
}

func (a *agent) handleBody(r *router, j *job, t ident.Ticket) {
	now := a.policy.w.now
	if a.refusal(j) != nil || a.ledger.Dispatch(now, j.ID, t) != nil || !a.queue.Started(now, j.ID) {
		a.queue.Remove(now, j.ID)
		a.refuse(r, j, fault.NotRunf(fault.Expired, "grant has lapsed"))
		return
	}
	a.sentAt[j] = now
	if !a.engine.submit(j, a) {
		a.release(j, queue.Outcome{Failed: true})
	}
}

// handleCancel handles a client disconnect after the request was granted.
func (a *agent) handleCancel(j *job) {
	if _, runs := a.sentAt[j]; !runs {
		a.handleWithdraw(j)
		return
	}
	a.engine.cancel(j)
	a.release(j, queue.Outcome{Failed: true})
}

// release frees the state of a dispatched request.
func (a *agent) release(j *job, o queue.Outcome) {
	now := a.policy.w.now
	a.queue.Finished(now, j.ID, o)
	a.ledger.RecordEnd(now, j.ID)
	delete(a.routerOf, j)
	delete(a.jobs, j.ID)
	delete(a.sentAt, j)
	delete(a.timeToFirstToken, j)
	a.grant()
}

func (a *agent) tick() {
	refused, expired := a.queue.Expire(a.policy.w.now)
	a.refuseAll(refused)
	for _, x := range expired {
		a.ledger.Revoke(a.policy.w.now, x.ID)
		if j := a.jobs[x.ID]; j != nil {
			a.refuse(a.routerOf[j], j, fault.NotRunf(fault.Expired, "grant has lapsed"))
		}
	}
	a.ledger.ExpireGrants(a.policy.w.now)
	a.grant()
}
