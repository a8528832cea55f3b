package entry

import (
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// claimHomes records a keyed model request at its two homes before it is offered, and learns whether an
// earlier send of it exists.
func (c *Core) claimHomes(now time.Time, k *call) {
	k.phase, k.waitUntil = claiming, now.Add(claimTime)
	k.homes = c.member.Homes(k.key, c.poolAgents(k.Service.Name))
	c.keep(now, k.homes)
	c.askHomes(k, "", 0)
}

// askHomes sends a claim to the homes that are connected. An empty agent means that none was chosen yet.
func (c *Core) askHomes(k *call, agent ident.ProcessID, boot ident.Boot) {
	k.confirms, k.held = make(map[ident.ProcessID]bool, len(k.homes)), 0
	c.waitFor(k)
	for _, h := range k.homes {
		if c.tell(h, &wire.Claim{ID: k.key, Account: k.Account.Name, Attempt: k.attempt, Agent: agent, Boot: boot}) {
			k.confirms[h] = true
		}
	}
}

func (c *Core) waitFor(k *call) {
	if c.claims[k.key] == nil {
		c.claims[k.key] = make(map[CallID]*call)
	}
	c.claims[k.key][k.id] = k
}

func (c *Core) forgetClaim(k *call) {
	delete(c.claims[k.key], k.id)
	if len(c.claims[k.key]) == 0 {
		delete(c.claims, k.key)
	}
}

// claimed takes in the answer of a home.
func (c *Core) claimed(now time.Time, from ident.ProcessID, m *wire.Claimed) {
	for _, k := range c.claims[m.ID] {
		if !k.confirms[from] || (k.phase != claiming && k.phase != confirming) {
			continue
		}
		delete(k.confirms, from)
		if m.Attempt != k.attempt {
			c.duplicate(now, k, m.Attempt, m.Agent, m.Boot)
			continue
		}
		k.held++
		c.proceed(now, k)
	}
}

// proceed goes on when every home that could be asked has answered.
func (c *Core) proceed(now time.Time, k *call) {
	switch {
	case len(k.confirms) > 0:
	case k.held == 0:
		// The claim could not be recorded; without it a second send would not be recognised.
	case k.phase == claiming:
		c.spread(now, k)
	case k.phase == confirming:
		c.commit(now, k)
	}
}

// confirm records the agent of a grant in the claim, before the body is sent to it.
func (c *Core) confirm(now time.Time, k *call) {
	k.phase, k.waitUntil = confirming, now.Add(confirmTime)
	if k.inStore() {
		c.act(Create{Call: k.id, ID: k.key, Claim: c.claimOf(now, k), Replace: k.replace})
		return
	}
	c.askHomes(k, k.agent, k.boot)
}

func (c *Core) claimOf(now time.Time, k *call) Claim {
	return Claim{Attempt: k.attempt, Account: k.Account.Name, Agent: k.agent, Boot: k.boot, At: now.Unix()}
}

// ClaimResult is the outcome of a Create.
type ClaimResult uint8

// Outcomes of a Create.
const (
	// Won means that the object API holds the claim of this call.
	Won ClaimResult = iota
	// Held means that it holds the claim of an earlier send.
	Held
	// Out means that the object API did not answer; the claim may or may not exist.
	Out
)

// Claimed takes in the result of a Create. held is the claim that the object API holds, when it is known.
func (c *Core) Claimed(now time.Time, id CallID, attempt ident.RequestID, res ClaimResult, held Claim) {
	k := c.calls[id]
	if k == nil || k.phase != confirming || k.attempt != attempt {
		return
	}
	switch {
	case res == Won && now.Before(k.waitUntil):
		c.commit(now, k)
	case res == Held:
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
		c.duplicate(now, k, held.Attempt, held.Agent, held.Boot)
	default:
		c.expire(now, k)
	}
}

// duplicate handles a call whose key was sent before: its caller gets the answer of the first send.
func (c *Core) duplicate(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot) {
	if k.phase == confirming {
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	c.withdraw(k)
	c.releaseHomes(k)
	if agent == "" {
		e := &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "an earlier send of this request is waiting", Retry: shedRetry}
		c.fail(now, k, e)
		return
	}
	c.look(now, k, attempt, agent, boot, 0)
}

// look attaches a call to an answer of an earlier send.
func (c *Core) look(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	delete(c.byReq, k.attempt)
	k.attempt, k.agent, k.boot, k.target = attempt, agent, boot, ""
	if other := c.byReq[attempt]; other != nil && other != k {
		e := &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the answer of this request is being read", Retry: shedRetry}
		k.attempt = ""
		c.fail(now, k, e)
		return
	}
	c.byReq[attempt] = k
	k.phase, k.waitUntil = attaching, now.Add(lostTime)
	k.reader = answer.NewReader(attempt, boot, after)
	c.keep(now, []ident.ProcessID{agent})
	c.tell(agent, k.reader.Attach(k.Account.Name, creditMax)) // or when the agent is connected
}

// takeOver runs a keyed call whose earlier send was claimed but certainly never dispatched.
func (c *Core) takeOver(now time.Time, k *call) {
	if !k.keyed() { // a caller that only asked for a kept answer
		c.fail(now, k, &fault.Error{Run: fault.NotRun, Reason: fault.Gone, Detail: "the request was not run"})
		return
	}
	old := k.attempt
	c.rename(k)
	k.reader, k.agent = nil, ""
	if k.inStore() {
		k.replace = old
		c.spread(now, k)
		return
	}
	for _, h := range k.homes {
		c.tell(h, &wire.Release{ID: k.key, Attempt: old})
	}
	c.claimHomes(now, k)
}

// expire ends the wait for a claim or for an answer.
func (c *Core) expire(now time.Time, k *call) {
	if k.phase == attaching {
		c.fail(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "the agent that holds the answer cannot be reached"})
		return
	}
	if k.phase == confirming {
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	e := fault.NotRunf(fault.Store, "the claim of the request could not be recorded")
	e.Retry = shedRetry
	c.fail(now, k, e)
}

// unclaim releases the claim of a call that was not dispatched.
func (c *Core) unclaim(k *call) {
	if !k.keyed() {
		return
	}
	c.releaseHomes(k)
	c.forgetClaim(k)
}

func (c *Core) releaseHomes(k *call) {
	for _, h := range k.homes {
		c.tell(h, &wire.Release{ID: k.key, Attempt: k.attempt})
	}
}

// refuseClaim takes in that a home refused a claim.
func (c *Core) refuseClaim(now time.Time, from ident.ProcessID, m *wire.Refuse) {
	for _, k := range c.claims[m.ID] {
		if k.confirms[from] {
			delete(k.confirms, from)
			c.proceed(now, k)
		}
	}
}

// Resume takes in a call that asks for a kept answer after a chunk that its caller has.
func (c *Core) Resume(now time.Time, id CallID, r Request, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	k := &call{Request: r, id: id, began: now, deadline: now.Add(lostTime), open: make(map[ident.ProcessID]ident.TargetID)}
	if !c.drainAt.IsZero() {
		c.reject(now, k, fault.NotRunf(fault.Draining, "this router is stopping"))
		return
	}
	c.calls[id] = k
	c.look(now, k, attempt, agent, boot, after)
}
