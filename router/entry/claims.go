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

// claimAtOwners records a keyed model request at its two owners before it is offered, and finds out whether an
// earlier submission of it exists.
func (c *Core) claimAtOwners(now time.Time, k *call) {
	k.phase, k.waitUntil = claiming, now.Add(claimTimeout)
	c.sendClaims(now, k)
}

// sendClaims claims the current attempt at its owners. The claim names no agent until a grant is accepted. Every
// owner has to confirm it: two submissions that each reach only one of the owners would not detect each other. An
// owner that cannot be reached is waited for until it is suspected; it is then no longer an owner.
func (c *Core) sendClaims(now time.Time, k *call) {
	k.owners = c.members.ClaimOwners(k.claimID, c.poolAgents(k.Service.Name))
	k.confirmedOwners = make(map[ident.ProcessID]bool, len(k.owners))
	c.keepConnected(now, k.owners)
	for _, owner := range k.owners {
		c.sendClaim(k, owner)
	}
}

// sendClaim sends a claim to one owner if it is connected.
func (c *Core) sendClaim(k *call, owner ident.ProcessID) {
	m := &wire.Claim{ID: k.claimID, Account: k.Account.Name, Attempt: k.attempt}
	if k.phase == confirming {
		m.Agent, m.Boot = k.agent, k.boot
	}
	if !c.sendTo(owner, m) {
		return
	}
	p := c.peers[c.linkByProcess[owner]]
	p.pendingClaims[k.claimID] = append(p.pendingClaims[k.claimID], k.attempt)
	if !slices.Contains(k.claimedOwners, owner) {
		k.claimedOwners = append(k.claimedOwners, owner)
	}
}

// takePendingClaim removes the oldest pending claim with an id at a peer, as owners answer in the order of sending,
// and returns its call, or nil if the call no longer waits for the claim.
func (c *Core) takePendingClaim(p *peer, claimID ident.RequestID) *call {
	attempts := p.pendingClaims[claimID]
	if len(attempts) == 0 {
		return nil
	}
	if p.pendingClaims[claimID] = attempts[1:]; len(attempts) == 1 {
		delete(p.pendingClaims, claimID)
	}
	k := c.callByAttempt[attempts[0]]
	if k == nil || k.claimID != claimID || (k.phase != claiming && k.phase != confirming) {
		return nil
	}
	return k
}

// handleClaimed handles the response of an owner to a claim.
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

// proceedIfConfirmed continues a call once every owner has confirmed the claim.
func (c *Core) proceedIfConfirmed(now time.Time, k *call) {
	switch {
	case len(k.owners) == 0 || len(k.confirmedOwners) < len(k.owners):
	case k.phase == claiming:
		c.sendOffers(now, k)
	case k.phase == confirming:
		c.commit(now, k)
	}
}

// confirmClaim records the agent of a grant in the claim before the body is sent to that agent.
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

// claimRate is this router's allotted share of the rate of claims in the object API.
func (c *Core) claimRate() rate.Limit {
	x := c.config.Index()
	if x == nil {
		return 0
	}
	routers := max(1, len(c.members.Live(member.Router, "")))
	return rate.Limit(float64(x.Config().Limits.ClaimsPerSecond) / float64(routers))
}

// ClaimOutcome is the outcome of a CreateClaim.
type ClaimOutcome uint8

// Outcomes of a CreateClaim.
const (
	// ClaimRecorded means that the object API holds the claim of this call.
	ClaimRecorded ClaimOutcome = iota
	// ClaimHeld means that the object API holds the claim of an earlier submission.
	ClaimHeld
	// ClaimUnknown means that the object API did not answer; the claim may or may not exist.
	ClaimUnknown
)

// HandleClaimResult handles the result of a CreateClaim. held is the claim that the object API holds, if known.
func (c *Core) HandleClaimResult(now time.Time, id CallID, attempt ident.RequestID, outcome ClaimOutcome, held Claim) {
	k := c.calls[id]
	if k == nil || k.phase != confirming || k.attempt != attempt {
		return
	}
	switch {
	case outcome == ClaimRecorded && now.Before(k.waitUntil):
		k.replaceAttempt = attempt // in case it does not run after all
		c.commit(now, k)
	case outcome == ClaimHeld:
		k.claimStale = now.Unix()-held.CreatedUnix >= int64(claimTrustMax.Seconds())
		c.handleDuplicate(now, k, held.Attempt, held.Agent, held.Boot)
	default:
		c.expireWait(now, k)
	}
}

// handleDuplicate handles a call whose key was submitted before: its caller gets the answer of the first
// submission.
func (c *Core) handleDuplicate(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot) {
	if k.phase == confirming {
		c.sendTo(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
	}
	c.withdrawOffers(k)
	c.releaseOwners(k)
	if agent == "" { // the first submission waits for a target, or each of two submissions holds one owner
		c.renewAttempt(k)
		c.awaitEarlier(now, k, nil)
		return
	}
	c.attach(now, k, attempt, agent, boot, 0)
}

// attach reads the answer of an earlier submission for a call.
func (c *Core) attach(now time.Time, k *call, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, afterSeq ident.Seq) {
	delete(c.callByAttempt, k.attempt)
	k.attempt, k.agent, k.boot, k.target, k.bodySentAt, k.lastProgressAt = attempt, agent, boot, "", time.Time{}, now
	if other := c.callByAttempt[attempt]; other != nil && other != k {
		k.attempt = ""
		c.awaitEarlier(now, k, &earlierAnswer{attempt: attempt, agent: agent, boot: boot, afterSeq: afterSeq})
		return
	}
	c.callByAttempt[attempt] = k
	k.replaceAttempt = attempt
	k.phase, k.waitUntil = attaching, now.Add(reattachTimeout)
	k.reader = answer.NewAssembler(attempt, boot, afterSeq)
	c.keepConnected(now, []ident.ProcessID{agent})
	c.sendTo(agent, k.reader.AttachMessage(k.Account.Name, creditMax)) // sent by reattach if the agent connects later
}

// awaitEarlier makes a call wait for an earlier submission of its request. If earlier is set, another call of this
// router is reading the answer, and this one reads it after that call; otherwise the claim is tried again. The
// pause is random, so that two submissions do not keep blocking each other.
func (c *Core) awaitEarlier(now time.Time, k *call, earlier *earlierAnswer) {
	k.phase, k.earlier = awaitingEarlier, earlier
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

// takeOver runs a keyed call whose earlier submission was claimed but certainly never dispatched.
func (c *Core) takeOver(now time.Time, k *call) {
	switch {
	case k.resumeOnly: // the token of an answer is issued with its first byte, so the request ran
		c.failCall(now, k, &fault.Error{Run: fault.Ran, Reason: fault.Gone, Detail: "the answer is not kept any more"})
		return
	case k.claimStale: // the agent may have forgotten that it ran the request
		c.failCall(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the request was claimed before and its answer is not kept any more"})
		return
	}
	oldAttempt := k.attempt
	c.renewAttempt(k)
	if k.claimsInStore() {
		c.sendOffers(now, k)
		return
	}
	for _, owner := range k.owners {
		c.sendTo(owner, &wire.Release{ID: k.claimID, Attempt: oldAttempt})
	}
	c.claimAtOwners(now, k)
}

// expireWait ends the wait for a claim or for an answer. The claim of a model request is tried again until the
// deadline of the call, because the choice of owners follows the live agents.
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

// expireAttach gives up on an answer whose agent cannot be reached. A connected agent is waited for, because its
// answer may begin late.
func (c *Core) expireAttach(now time.Time, k *call) {
	if _, connected := c.linkByProcess[k.agent]; connected && now.Sub(k.lastProgressAt) < silenceTimeout {
		k.waitUntil = now.Add(reattachTimeout)
		return
	}
	c.failCall(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Lost, Detail: "the agent that holds the answer cannot be reached"})
}

// releaseClaim releases the claim of a call that was not dispatched.
func (c *Core) releaseClaim(k *call) {
	if !k.isKeyed() {
		return
	}
	c.releaseOwners(k)
}

func (c *Core) releaseOwners(k *call) {
	for _, owner := range k.owners { // includes owners that named an earlier submission which did not run
		if !slices.Contains(k.claimedOwners, owner) {
			k.claimedOwners = append(k.claimedOwners, owner)
		}
	}
	for _, owner := range k.claimedOwners {
		c.sendTo(owner, &wire.Release{ID: k.claimID, Attempt: k.attempt})
	}
	k.claimedOwners = nil
}

// handleClaimRefusal is called when an owner cannot record a claim. The call is refused, because that owner would
// not recognise a second submission of it.
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

// ResumeAnswer starts a call that reads a kept answer from after the last chunk that its caller has received.
func (c *Core) ResumeAnswer(now time.Time, id CallID, r Request, attempt ident.RequestID, agent ident.ProcessID, boot ident.Boot, afterSeq ident.Seq) {
	k := &call{Request: r, id: id, resumeOnly: true, start: now, deadline: now.Add(reattachTimeout), openOffers: make(map[ident.ProcessID]ident.TargetID)}
	if !c.drainStart.IsZero() {
		// The request may have run; this router only does not read its answer.
		c.reject(now, k, &fault.Error{Run: fault.Unknown, Reason: fault.Draining, Detail: "this router is stopping"})
		return
	}
	c.calls[id] = k
	c.attach(now, k, attempt, agent, boot, afterSeq)
}
