package entry

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
)

// claimHomes records a keyed model request at its two homes before it is offered, and learns whether an
// earlier send of it exists.
func (c *Core) claimHomes(now time.Time, k *call) {
	k.phase, k.waitUntil = claiming, now.Add(claimTime)
	c.askHomes(now, k)
}

// askHomes claims the present attempt at its homes. Until a grant was taken the claim names no agent. Every
// home has to confirm it: two sends that each reach only one of the homes would not learn of each other. A
// home that cannot be reached is waited for until it is suspected, and then it is a home no more.
func (c *Core) askHomes(now time.Time, k *call) {
	k.homes = c.member.ClaimOwners(k.key, c.poolAgents(k.Service.Name))
	k.held = make(map[ident.ProcessID]bool, len(k.homes))
	c.keep(now, k.homes)
	for _, h := range k.homes {
		c.ask(k, h)
	}
}

// ask sends a claim to one home if it is connected.
func (c *Core) ask(k *call, home ident.ProcessID) {
	m := &wire.Claim{ID: k.key, Account: k.Account.Name, Attempt: k.attempt}
	if k.phase == confirming {
		m.Agent, m.Boot = k.agent, k.boot
	}
	if !c.tell(home, m) {
		return
	}
	p := c.peers[c.byID[home]]
	p.asked[k.key] = append(p.asked[k.key], k.attempt)
	if !slices.Contains(k.asked, home) {
		k.asked = append(k.asked, home)
	}
}

// answered returns the call whose claim a peer answers, or nil if it does not wait for it any more.
func (c *Core) answered(p *peer, key ident.RequestID) *call {
	asked := p.asked[key]
	if len(asked) == 0 {
		return nil
	}
	if p.asked[key] = asked[1:]; len(asked) == 1 {
		delete(p.asked, key)
	}
	k := c.byReq[asked[0]]
	if k == nil || k.key != key || (k.phase != claiming && k.phase != confirming) {
		return nil
	}
	return k
}

// claimed takes in the answer of a home.
func (c *Core) claimed(now time.Time, p *peer, m *wire.ClaimReply) {
	k := c.answered(p, m.ID)
	switch {
	case k == nil || !slices.Contains(k.homes, p.hello.Process):
	case m.Attempt != k.attempt:
		c.duplicate(now, k, m.Attempt, m.Agent, m.Boot)
	case k.phase == claiming || m.Agent == k.agent && m.Boot == k.boot:
		k.held[p.hello.Process] = true
		c.proceed(now, k)
	}
}

// proceed goes on when every home has confirmed the claim.
func (c *Core) proceed(now time.Time, k *call) {
	switch {
	case len(k.homes) == 0 || len(k.held) < len(k.homes):
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
		c.limit.SetLimitAt(now, c.claimRate())
		if !c.limit.AllowN(now, 1) {
			c.expire(now, k)
			return
		}
		c.act(Create{Call: k.id, ID: k.key, Claim: c.claimOf(now, k), Replace: k.replace})
		return
	}
	c.askHomes(now, k)
}

func (c *Core) claimOf(now time.Time, k *call) Claim {
	return Claim{Attempt: k.attempt, Account: k.Account.Name, Agent: k.agent, Boot: k.boot, At: now.Unix()}
}

// claimRate is this router's part of the rate of claims in the object API.
func (c *Core) claimRate() rate.Limit {
	x := c.force.Index()
	if x == nil {
		return 0
	}
	routers := max(1, len(c.member.Live(member.Router, "")))
	return rate.Limit(float64(x.Config().Limits.Claims) / float64(routers))
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
		k.replace = attempt // if it does not run after all
		c.commit(now, k)
	case res == Held:
		k.stale = now.Unix()-held.At >= int64(trustTime.Seconds())
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
	if agent == "" { // it waits for a target, or two sends hold one home each
		c.rename(k)
		c.hold(now, k, nil)
		return
	}
	c.look(now, k, attempt, agent, boot, 0)
}

// look attaches a call to an answer of an earlier send.
func (c *Core) look(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	delete(c.byReq, k.attempt)
	k.attempt, k.agent, k.boot, k.target, k.sent, k.last = attempt, agent, boot, "", time.Time{}, now
	if other := c.byReq[attempt]; other != nil && other != k {
		k.attempt = ""
		c.hold(now, k, &earlier{attempt: attempt, agent: agent, boot: boot, after: after})
		return
	}
	c.byReq[attempt] = k
	k.replace = attempt
	k.phase, k.waitUntil = attaching, now.Add(lostTime)
	k.reader = answer.NewReader(attempt, boot, after)
	c.keep(now, []ident.ProcessID{agent})
	c.tell(agent, k.reader.Attach(k.Account.Name, creditMax)) // or when the agent is connected
}

// hold lets a call wait for an earlier send of its request. With of, another call of this router reads the
// answer, and this one reads it after that call; without, the claim is tried again. The pause differs between
// calls, so that two sends do not hinder each other again and again.
func (c *Core) hold(now time.Time, k *call, of *earlier) {
	k.phase, k.of = holding, of
	c.again(now, k, againTime+time.Duration(c.rnd.Int64N(int64(againTime))))
}

func (c *Core) tickHolding(now time.Time, k *call) {
	switch {
	case now.Before(k.next):
	case k.of != nil:
		c.look(now, k, k.of.attempt, k.of.agent, k.of.boot, k.of.after)
	case now.Before(k.deadline):
		c.claimHomes(now, k)
	default:
		c.fail(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "an earlier send of this request is waiting", Retry: shedRetry})
	}
}

// takeOver runs a keyed call whose earlier send was claimed but certainly never dispatched.
func (c *Core) takeOver(now time.Time, k *call) {
	switch {
	case k.resumed: // the token of an answer is given out with its first byte
		c.fail(now, k, &fault.Error{Run: fault.Ran, Reason: fault.Gone, Detail: "the answer is not kept any more"})
		return
	case k.stale: // the agent may have forgotten that it ran the request
		c.fail(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the request was claimed before and its answer is not kept any more"})
		return
	}
	old := k.attempt
	c.rename(k)
	if k.inStore() {
		c.spread(now, k)
		return
	}
	for _, h := range k.homes {
		c.tell(h, &wire.Release{ID: k.key, Attempt: old})
	}
	c.claimHomes(now, k)
}

// expire ends the wait for a claim or for an answer. The claim of a model request is tried again until the
// deadline of the call, because the choice of homes follows the live agents.
func (c *Core) expire(now time.Time, k *call) {
	if k.phase == attaching {
		c.expireAttach(now, k)
		return
	}
	if k.phase == confirming {
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	if !k.inStore() && now.Before(k.deadline) {
		c.unclaim(k)
		c.picker.Withdrawn(k.target, k.attempt)
		c.rename(k)
		c.claimHomes(now, k)
		return
	}
	c.failClaim(now, k)
}

func (c *Core) failClaim(now time.Time, k *call) {
	e := fault.NotRunf(fault.Store, "the claim of the request could not be recorded")
	e.Retry = shedRetry
	c.fail(now, k, e)
}

// expireAttach gives up an answer whose agent cannot be reached. A connected agent is waited for, because an
// answer may begin late.
func (c *Core) expireAttach(now time.Time, k *call) {
	if _, up := c.byID[k.agent]; up && now.Sub(k.last) < silentTime {
		k.waitUntil = now.Add(lostTime)
		return
	}
	c.fail(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "the agent that holds the answer cannot be reached"})
}

// unclaim releases the claim of a call that was not dispatched.
func (c *Core) unclaim(k *call) {
	if !k.keyed() {
		return
	}
	c.releaseHomes(k)
}

func (c *Core) releaseHomes(k *call) {
	for _, h := range k.homes { // also those that named an earlier send which did not run
		if !slices.Contains(k.asked, h) {
			k.asked = append(k.asked, h)
		}
	}
	for _, h := range k.asked {
		c.tell(h, &wire.Release{ID: k.key, Attempt: k.attempt})
	}
	k.asked = nil
}

// refuseClaim takes in that a home cannot record a claim. The call is refused, because a second send of it
// would not be recognised there.
func (c *Core) refuseClaim(now time.Time, p *peer, m *wire.Refuse) {
	k := c.answered(p, m.ID)
	if k == nil {
		return
	}
	if k.phase == confirming {
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	c.failClaim(now, k)
}

// Resume takes in a call that asks for a kept answer after a chunk that its caller has.
func (c *Core) Resume(now time.Time, id CallID, r Request, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	k := &call{Request: r, id: id, resumed: true, began: now, deadline: now.Add(lostTime), open: make(map[ident.ProcessID]ident.TargetID)}
	if !c.drainAt.IsZero() {
		// The request may have run; only the answer is not read here.
		c.reject(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Draining, Detail: "this router is stopping"})
		return
	}
	c.calls[id] = k
	c.look(now, k, attempt, agent, boot, after)
}
