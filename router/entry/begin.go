package entry

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
)

// BeginCall starts a call. Its answer is returned in Reply actions with the same id.
func (c *Core) BeginCall(now time.Time, id CallID, r Request) {
	c.recordInput(now)
	k := &call{
		Request: r, id: id, attempt: ident.NewRequestID(), phase: offering,
		start: now, deadline: now.Add(r.Wait), openOffers: make(map[ident.ProcessID]ident.TargetID),
	}
	if e := c.admit(now, k); e != nil {
		c.reject(now, k, e)
		return
	}
	if e := c.quota.Take(now, r.Account.Name, r.Prompt+r.Output); e != nil {
		c.reject(now, k, e)
		return
	}
	if e := c.makeRoom(now, k); e != nil {
		c.quota.Adjust(now, r.Account.Name, -r.Prompt-r.Output)
		c.reject(now, k, e)
		return
	}
	c.calls[id] = k
	c.callByAttempt[k.attempt] = k
	c.retry.RecordRequest(now)
	c.assignVersion(k)
	if k.isKeyed() {
		k.claimID = ident.KeyedRequestID(r.Account.Name, r.Service.Name, r.Key)
	}
	if k.isKeyed() && !k.claimsInStore() {
		c.claimAtOwners(now, k)
		return
	}
	c.sendOffers(now, k)
}

// admit returns the reason for which a call is rejected, or nil.
func (c *Core) admit(now time.Time, k *call) *fault.Error {
	switch {
	case !c.drainStart.IsZero():
		return fault.NotRunf(fault.Draining, "this router is stopping")
	case c.guard.Check(now, k.Fingerprint) == guard.Blocked || c.blocked(now, k):
		return fault.NotRunf(fault.Crashes, "this request crashed several targets and is blocked for a while")
	}
	return nil
}

// makeRoom makes room for a call, or returns the reason why there is none. It runs after the quota check, so that
// a call over the quota of its account does not evict a call of another account.
func (c *Core) makeRoom(now time.Time, k *call) *fault.Error {
	if c.bounds.Requests == 0 || len(c.calls) < c.bounds.Requests || c.evict(now, k.Tier.Rank) {
		return nil
	}
	e := fault.NotRunf(fault.Shed, "too many requests wait at this router")
	e.RetryAfter = shedRetryAfter
	return e
}

// evict ends a waiting call of the lowest tier below rank; of several, the one with the latest deadline. The
// higher the rank, the lower the tier.
func (c *Core) evict(now time.Time, rank ident.Tier) bool {
	var worst *call
	for _, k := range c.calls {
		if (k.phase != offering && k.phase != claiming && (k.phase != awaitingEarlier || k.earlier != nil)) || k.Tier.Rank <= rank {
			continue
		}
		if worst == nil || k.Tier.Rank > worst.Tier.Rank ||
			k.Tier.Rank == worst.Tier.Rank && k.deadline.After(worst.deadline) {
			worst = k
		}
	}
	if worst == nil {
		return false
	}
	e := fault.NotRunf(fault.Shed, "a request of a higher tier took the place")
	e.RetryAfter = shedRetryAfter
	c.failCall(now, worst, e)
	return true
}

// reject answers a call that was not admitted.
func (c *Core) reject(now time.Time, k *call, e *fault.Error) {
	c.emit(Reply{Call: k.id, Part: ReplyPart{Fault: e}})
	c.recordStats(now, k, string(e.Reason))
}

// assignVersion chooses the version that serves a call.
func (c *Core) assignVersion(k *call) {
	k.version, k.canary = c.rollouts.CurrentVersion(k.Service), false
	machine := c.rollouts.Running(k.Service.Name)
	if machine == nil {
		return
	}
	rollout := machine.Rollout()
	chooser := c.choosers[rollout.Name]
	if chooser == nil {
		chooser = moves.NewChooser(machine, c.rnd)
		c.choosers[rollout.Name] = chooser
	}
	k.version = chooser.Assign(k.Account.Name, k.Session, k.Route.Name, k.Version)
	if k.canary = k.version == rollout.To; k.canary {
		k.unproven = machine.UnprovenClasses(k.Route.Name)
	}
}

// useOldVersion reassigns a call that was refused at the new version of a running rollout to the old version.
func (c *Core) useOldVersion(k *call) {
	machine := c.rollouts.Running(k.Service.Name)
	if machine == nil {
		k.version, k.canary = c.rollouts.CurrentVersion(k.Service), false
		k.lowerTierTargets, k.refusal = k.lowerTierTargets[:0], nil
		return
	}
	if k.version == machine.Rollout().To {
		k.version, k.canary, k.unproven = machine.Rollout().From, false, nil
		k.triedTargets, k.lowerTierTargets, k.refusal = k.triedTargets[:0], k.lowerTierTargets[:0], nil
	}
}

// HandleClientDisconnect ends a call whose caller closed its connection or reads its answer too slowly.
func (c *Core) HandleClientDisconnect(now time.Time, id CallID) {
	k := c.calls[id]
	if k == nil {
		return
	}
	c.releaseAgents(k)
	c.finishCall(now, k, string(fault.ClientDisconnected))
}
