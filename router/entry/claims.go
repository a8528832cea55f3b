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
func (c *Core) claimAtOwners(now time.Time, k *call) {
	k.phase, k.waitUntil = claiming, now.Add(claimTimeout)
	c.sendClaims(now, k)
}

// askHomes claims the present attempt at its homes. Until a grant was taken the claim names no agent. Every
// home has to confirm it: two sends that each reach only one of the homes would not learn of each other. A
// home that cannot be reached is waited for until it is suspected, and then it is a home no more.
func (c *Core) sendClaims(now time.Time, k *call) {
	k.owners = c.members.ClaimOwners(k.claimID, c.poolAgents(k.Service.Name))
	k.confirmedOwners = make(map[ident.ProcessID]bool, len(k.owners))
	c.keepConnected(now, k.owners)
	for _, h := range k.owners {
		c.sendClaim(k, h)
	}
}

// ask sends a claim to one home if it is connected.
func (c *Core) sendClaim(k *call, home ident.ProcessID) {
	m := &wire.Claim{ID: k.claimID, Account: k.Account.Name, Attempt: k.attempt}
	if k.phase == confirming {
		m.Agent, m.Boot = k.agent, k.boot
	}
	if !c.sendTo(home, m) {
		return
	}
	p := c.peers[c.linkByProcess[home]]
	p.pendingClaims[k.claimID] = append(p.pendingClaims[k.claimID], k.attempt)
	if !slices.Contains(k.claimedOwners, home) {
		k.claimedOwners = append(k.claimedOwners, home)
	}
}

// answered returns the call whose claim a peer answers, or nil if it does not wait for it any more.
func (c *Core) takePendingClaim(p *peer, key ident.RequestID) *call {
	asked := p.pendingClaims[key]
	if len(asked) == 0 {
		return nil
	}
	if p.pendingClaims[key] = asked[1:]; len(asked) == 1 {
		delete(p.pendingClaims, key)
	}
	k := c.callByAttempt[asked[0]]
	if k == nil || k.claimID != key || (k.phase != claiming && k.phase != confirming) {
		return nil
	}
	return k
}

// claimed takes in the answer of a home.
func (c *Core) handleClaimed(now time.Time, p *peer, m *wire.ClaimReply) {
	k := c.takePendingClaim(p, m.ID)
	switch {
	case k == nil || !slices.Contains(k.owners, p.hello.Process):
	case m.Attempt != k.attempt:
		c.handleDuplicate(now, k, m.Attempt, m.Agent, m.Boot)
	case k.phase == claiming || m.Agent == k.agent && m.Boot == k.boot:
		k.confirmedOwners[p.hello.Process] = true
		c.proceedIfConfirmed(now, k)
	}
}

// proceed goes on when every home has confirmed the claim.
func (c *Core) proceedIfConfirmed(now time.Time, k *call) {
	switch {
	case len(k.owners) == 0 || len(k.confirmedOwners) < len(k.owners):
	case k.phase == claiming:
		c.sendOffers(now, k)
	case k.phase == confirming:
		c.commit(now, k)
	}
}

// confirm records the agent of a grant in the claim, before the body is sent to it.
func (c *Core) confirmClaim(now time.Time, k *call) {
	k.phase, k.waitUntil = confirming, now.Add(confirmTimeout)
	if k.claimsInStore() {
		c.claimLimiter.SetLimitAt(now, c.claimRate())
		if !c.claimLimiter.AllowN(now, 1) {
			c.expireWait(now, k)
			return
		}
		c.emit(CreateClaim{Call: k.id, ID: k.claimID, Claim: c.newClaim(now, k), Replace: k.replaceAttempt})
		return
	}
	c.sendClaims(now, k)
}

func (c *Core) newClaim(now time.Time, k *call) Claim {
	return Claim{Attempt: k.attempt, Account: k.Account.Name, Agent: k.agent, Boot: k.boot, CreatedUnix: now.Unix()}
}

// claimRate is this router's part of the rate of claims in the object API.
func (c *Core) claimRate() rate.Limit {
	x := c.config.Index()
	if x == nil {
		return 0
	}
	routers := max(1, len(c.members.Live(member.Router, "")))
	return rate.Limit(float64(x.Config().Limits.ClaimsPerSecond) / float64(routers))
}

// ClaimResult is the outcome of a Create.
type ClaimOutcome uint8

// Outcomes of a Create.
const (
	// Won means that the object API holds the claim of this call.
	ClaimRecorded ClaimOutcome = iota
	// Held means that it holds the claim of an earlier send.
	ClaimHeld
	// Out means that the object API did not answer; the claim may or may not exist.
	ClaimUnknown
)

// Claimed takes in the result of a Create. held is the claim that the object API holds, when it is known.
func (c *Core) HandleClaimResult(now time.Time, id CallID, attempt ident.RequestID, res ClaimOutcome, held Claim) {
	k := c.calls[id]
	if k == nil || k.phase != confirming || k.attempt != attempt {
		return
	}
	switch {
	case res == ClaimRecorded && now.Before(k.waitUntil):
		k.replaceAttempt = attempt // if it does not run after all
		c.commit(now, k)
	case res == ClaimHeld:
		k.claimStale = now.Unix()-held.CreatedUnix >= int64(claimTrustMax.Seconds())
		c.handleDuplicate(now, k, held.Attempt, held.Agent, held.Boot)
	default:
		c.expireWait(now, k)
	}
}

// duplicate handles a call whose key was sent before: its caller gets the answer of the first send.
func (c *Core) handleDuplicate(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot) {
	if k.phase == confirming {
		c.sendTo(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	c.withdrawOffers(k)
	c.releaseOwners(k)
	if agent == "" { // it waits for a target, or two sends hold one home each
		c.renewAttempt(k)
		c.awaitEarlier(now, k, nil)
		return
	}
	c.attach(now, k, attempt, agent, boot, 0)
}

// look attaches a call to an answer of an earlier send.
func (c *Core) attach(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	delete(c.callByAttempt, k.attempt)
	k.attempt, k.agent, k.boot, k.target, k.bodySentAt, k.lastProgressAt = attempt, agent, boot, "", time.Time{}, now
	if other := c.callByAttempt[attempt]; other != nil && other != k {
		k.attempt = ""
		c.awaitEarlier(now, k, &earlierAnswer{attempt: attempt, agent: agent, boot: boot, afterSeq: after})
		return
	}
	c.callByAttempt[attempt] = k
	k.replaceAttempt = attempt
	k.phase, k.waitUntil = attaching, now.Add(reattachTimeout)
	k.reader = answer.NewReader(attempt, boot, after)
	c.keepConnected(now, []ident.ProcessID{agent})
	c.sendTo(agent, k.reader.AttachMessage(k.Account.Name, creditMax)) // or when the agent is connected
}

// hold lets a call wait for an earlier send of its request. With of, another call of this router reads the
// answer, and this one reads it after that call; without, the claim is tried again. The pause differs between
// calls, so that two sends do not hinder each other again and again.
func (c *Core) awaitEarlier(now time.Time, k *call, of *earlierAnswer) {
	k.phase, k.earlier = awaitingEarlier, of
	c.scheduleTry(now, k, reofferPause+time.Duration(c.rnd.Int64N(int64(reofferPause))))
}

func (c *Core) tickAwaitingEarlier(now time.Time, k *call) {
	switch {
	case now.Before(k.nextTryAt):
	case k.earlier != nil:
		c.attach(now, k, k.earlier.attempt, k.earlier.agent, k.earlier.boot, k.earlier.afterSeq)
	case now.Before(k.deadline):
		c.claimAtOwners(now, k)
	default:
		c.failCall(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "an earlier send of this request is waiting", RetryAfter: shedRetryAfter})
	}
}

// takeOver runs a keyed call whose earlier send was claimed but certainly never dispatched.
func (c *Core) takeOver(now time.Time, k *call) {
	switch {
	case k.resumeOnly: // the token of an answer is given out with its first byte
		c.failCall(now, k, &fault.Error{Run: fault.Ran, Reason: fault.Gone, Detail: "the answer is not kept any more"})
		return
	case k.claimStale: // the agent may have forgotten that it ran the request
		c.failCall(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the request was claimed before and its answer is not kept any more"})
		return
	}
	old := k.attempt
	c.renewAttempt(k)
	if k.claimsInStore() {
		c.sendOffers(now, k)
		return
	}
	for _, h := range k.owners {
		c.sendTo(h, &wire.Release{ID: k.claimID, Attempt: old})
	}
	c.claimAtOwners(now, k)
}

// expire ends the wait for a claim or for an answer. The claim of a model request is tried again until the
// deadline of the call, because the choice of homes follows the live agents.
func (c *Core) expireWait(now time.Time, k *call) {
	if k.phase == attaching {
		c.expireAttach(now, k)
		return
	}
	if k.phase == confirming {
		c.sendTo(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	if !k.claimsInStore() && now.Before(k.deadline) {
		c.releaseClaim(k)
		c.picker.RecordWithdrawal(k.target, k.attempt)
		c.renewAttempt(k)
		c.claimAtOwners(now, k)
		return
	}
	c.failClaim(now, k)
}

func (c *Core) failClaim(now time.Time, k *call) {
	e := fault.NotRunf(fault.Store, "the claim of the request could not be recorded")
	e.RetryAfter = shedRetryAfter
	c.failCall(now, k, e)
}

// expireAttach gives up an answer whose agent cannot be reached. A connected agent is waited for, because an
// answer may begin late.
func (c *Core) expireAttach(now time.Time, k *call) {
	if _, up := c.linkByProcess[k.agent]; up && now.Sub(k.lastProgressAt) < silenceTimeout {
		k.waitUntil = now.Add(reattachTimeout)
		return
	}
	c.failCall(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "the agent that holds the answer cannot be reached"})
}

// unclaim releases the claim of a call that was not dispatched.
func (c *Core) releaseClaim(k *call) {
	if !k.isKeyed() {
		return
	}
	c.releaseOwners(k)
}

func (c *Core) releaseOwners(k *call) {
	for _, h := range k.owners { // also those that named an earlier send which did not run
		if !slices.Contains(k.claimedOwners, h) {
			k.claimedOwners = append(k.claimedOwners, h)
		}
	}
	for _, h := range k.claimedOwners {
		c.sendTo(h, &wire.Release{ID: k.claimID, Attempt: k.attempt})
	}
	k.claimedOwners = nil
}

// refuseClaim takes in that a home cannot record a claim. The call is refused, because a second send of it
// would not be recognised there.
func (c *Core) handleClaimRefusal(now time.Time, p *peer, m *wire.Refuse) {
	k := c.takePendingClaim(p, m.ID)
	if k == nil {
		return
	}
	if k.phase == confirming {
		c.sendTo(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	c.failClaim(now, k)
}

// Resume takes in a call that asks for a kept answer after a chunk that its caller has.
func (c *Core) ResumeAnswer(now time.Time, id CallID, r Request, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, after ident.Seq) {
	k := &call{Request: r, id: id, resumeOnly: true, start: now, deadline: now.Add(reattachTimeout), openOffers: make(map[ident.ProcessID]ident.TargetID)}
	if !c.drainStart.IsZero() {
		// The request may have run; only the answer is not read here.
		c.reject(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Draining, Detail: "this router is stopping"})
		return
	}
	c.calls[id] = k
	c.attach(now, k, attempt, agent, boot, after)
}
