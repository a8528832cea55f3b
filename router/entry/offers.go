package entry

import (
	"slices"
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

// sendOffers offers a call to the best targets that have not refused it.
func (c *Core) sendOffers(now time.Time, k *call) {
	k.phase, k.nextTryAt = offering, time.Time{}
	if !now.Before(k.deadline) {
		c.failCall(now, k, deadlineFault(k))
		return
	}
	c.choices = c.picker.Pick(now, k.pickRequest(), c.choices[:0])
	c.offerToChoices(now, k)
	if len(k.openOffers) > 0 {
		return
	}
	shed := k.refusal != nil && k.refusal.Reason == fault.Shed
	if shed && k.canary { // the old version may have room
		c.useOldVersion(k)
		c.scheduleTry(now, k, 0)
		return
	}
	if shed && c.offerAtLowerTiers(now, k) {
		return
	}
	if k.refusal != nil && isFinal(k.refusal.Reason) {
		c.failCall(now, k, k.refusal)
		return
	}
	if k.canary { // the old version serves a call that the new one does not accept
		c.useOldVersion(k)
		c.scheduleTry(now, k, 0)
		return
	}
	if c.rollouts.Running(k.Service.Name) == nil { // the version may have been replaced while the call waited
		k.version = c.rollouts.CurrentVersion(k.Service)
	}
	k.triedTargets = k.triedTargets[:0]
	c.scheduleTry(now, k, reofferPause)
}

// offerAtLowerTiers offers a call to the next agents at which a lower tier waits, so that the call is not shed
// before that tier. It reports whether there were any; each agent is asked once.
func (c *Core) offerAtLowerTiers(now time.Time, k *call) bool {
	r := k.pickRequest()
	r.Tried = k.lowerTierTargets
	c.choices = c.picker.PickLowerTier(now, r, c.choices[:0])
	c.choices = c.choices[:min(len(c.choices), pick.OffersMax)]
	for _, ch := range c.choices {
		k.lowerTierTargets = append(k.lowerTierTargets, ch.Target)
	}
	c.offerToChoices(now, k)
	return len(k.openOffers) > 0 || len(c.choices) > 0 && c.offerAtLowerTiers(now, k)
}

// widenOffers sends a further pair of offers when no offer was granted within one, two and three fifths of the
// wait.
func (c *Core) widenOffers(now time.Time, k *call) {
	if k.widenCount == widenMax || now.Sub(k.start) < time.Duration(k.widenCount+1)*k.Wait/widenFraction {
		return
	}
	k.widenCount++
	r := k.pickRequest()
	r.Tried = slices.Clone(k.triedTargets)
	for _, t := range k.openOffers {
		r.Tried = append(r.Tried, t)
	}
	c.choices = c.picker.Pick(now, r, c.choices[:0])
	c.offerToChoices(now, k)
}

func (c *Core) offerToChoices(now time.Time, k *call) {
	r := k.pickRequest()
	for _, ch := range c.choices {
		if _, offered := k.openOffers[ch.Agent]; offered {
			continue
		}
		if !c.sendTo(ch.Agent, k.offerMessage(now)) {
			continue
		}
		c.picker.RecordOffer(now, ch.Target, &r)
		k.openOffers[ch.Agent] = ch.Target
	}
}

func (c *Core) scheduleTry(now time.Time, k *call, pause time.Duration) {
	k.nextTryAt = now.Add(pause)
}

// isFinal reports whether neither waiting nor offering the call to other targets helps.
func isFinal(r fault.Reason) bool {
	return r == fault.Crashes || r == fault.Shed || r == fault.Deadline || r == fault.Duplicate
}

// handleGrant accepts the first grant of a call and declines further ones.
func (c *Core) handleGrant(now time.Time, l links.ID, m *wire.Grant) {
	k, p := c.callByAttempt[m.ID], c.peers[l]
	if k != nil && k.agent == p.hello.Process && k.ticket == m.Ticket && k.phase != offering {
		return // a duplicate frame of the accepted grant
	}
	if k == nil || k.phase != offering || k.openOffers[p.hello.Process] == "" {
		c.send(l, &wire.Decline{ID: m.ID, Ticket: m.Ticket})
		return
	}
	k.agent, k.boot, k.ticket, k.grantLink = p.hello.Process, p.hello.Boot, m.Ticket, l
	k.target = k.openOffers[k.agent]
	k.remote = !c.inRegion(p.hello.Centre)
	delete(k.openOffers, k.agent)
	c.withdrawOffers(k)
	if k.isKeyed() {
		c.confirmClaim(now, k)
		return
	}
	c.commit(now, k)
}

// commit sends the body. After it the call is not offered again, unless the agent states that it did not run.
func (c *Core) commit(now time.Time, k *call) {
	if c.linkByProcess[k.agent] != k.grantLink { // the connection of the grant is closed, and its ticket is lost with it
		c.reoffer(now, k, fault.NotRunf(fault.Lost, "the agent was lost before the request was sent"))
		return
	}
	k.phase, k.bodySentAt, k.lastProgressAt = committed, now, now
	k.reader = answer.NewAssembler(k.attempt, k.boot, 0)
	body := k.bodyMessage()
	c.send(k.grantLink, body)
	c.countLinkBytes(now, k, ident.Bytes(len(body.Data)))
}

// reoffer offers a call again after it certainly did not run.
func (c *Core) reoffer(now time.Time, k *call, e *fault.Error) {
	k.rememberRefusal(e)
	if k.target != "" && !slices.Contains(k.triedTargets, k.target) {
		k.triedTargets = append(k.triedTargets, k.target)
	}
	c.picker.RecordWithdrawal(k.target, k.attempt)
	if e.Reason == fault.BadVersion {
		c.useOldVersion(k)
	}
	c.releaseClaim(k)
	c.renewAttempt(k)
	c.sendOffers(now, k)
}

// renewAttempt gives a call a new request id, so that frames of the earlier attempt cannot reach it.
func (c *Core) renewAttempt(k *call) {
	delete(c.callByAttempt, k.attempt)
	k.attempt = ident.NewRequestID()
	c.callByAttempt[k.attempt] = k
	k.agent, k.target, k.ticket, k.reader, k.remote = "", "", 0, nil, false
	k.bodySentAt, k.reattachUntil = time.Time{}, time.Time{}
}

// handleRefuse handles the refusal of an offer, a ticket, an Attach or a claim.
func (c *Core) handleRefuse(now time.Time, l links.ID, m *wire.Refuse) {
	k, p := c.callByAttempt[m.ID], c.peers[l]
	if k == nil {
		c.handleClaimRefusal(now, p, m)
		return
	}
	e := &fault.Error{Run: m.Run, Reason: m.Reason, Detail: m.Detail, RetryAfter: time.Duration(m.RetryAfterMillis) * time.Millisecond}
	switch {
	case k.phase == offering:
		c.handleOfferRefusal(now, k, p.hello.Process, e)
	case k.agent != p.hello.Process:
	case k.phase == confirming && e.Run == fault.NotRun:
		c.reoffer(now, k, e)
	case k.phase == committed || k.phase == attaching:
		c.handleBodyRefusal(now, k, e)
	}
}

func (c *Core) handleOfferRefusal(now time.Time, k *call, agent ident.ProcessID, e *fault.Error) {
	target, offered := k.openOffers[agent]
	if !offered {
		return
	}
	delete(k.openOffers, agent)
	k.triedTargets = append(k.triedTargets, target)
	k.rememberRefusal(e)
	c.picker.RecordWithdrawal(target, k.attempt)
	if e.Reason != fault.Crashes && e.Reason != fault.Deadline {
		c.picker.RecordRefusal(now, target, refusalBackoff)
	}
	if len(k.openOffers) == 0 {
		c.sendOffers(now, k)
	}
}

// handleBodyRefusal ends a committed or attached call, or offers it again if it certainly did not run.
func (c *Core) handleBodyRefusal(now time.Time, k *call, e *fault.Error) {
	switch {
	case e.Reason == fault.Duplicate && k.phase == committed: // the agent keeps the answer
		c.sendTo(k.agent, k.reader.AttachMessage(k.Account.Name, creditMax))
	case e.Run == fault.NotRun && k.phase == attaching:
		c.takeOver(now, k)
	case e.Run == fault.NotRun && k.mayReoffer():
		c.reoffer(now, k, e)
	default:
		if k.headSent {
			e.Run = fault.Ran
		}
		c.failCall(now, k, e)
	}
}

// releaseAgents ends everything that agents hold for a call.
func (c *Core) releaseAgents(k *call) {
	c.withdrawOffers(k)
	switch k.phase {
	case committed, attaching:
		c.sendTo(k.agent, &wire.Cancel{ID: k.attempt})
	case confirming:
		c.sendTo(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
		c.releaseClaim(k)
	case claiming, offering:
		c.releaseClaim(k)
	}
}

// withdrawOffers withdraws all outstanding offers of a call.
func (c *Core) withdrawOffers(k *call) {
	for agent, target := range k.openOffers {
		c.sendTo(agent, &wire.Withdraw{ID: k.attempt})
		c.picker.RecordWithdrawal(target, k.attempt)
	}
	clear(k.openOffers)
}

func deadlineFault(k *call) *fault.Error {
	if k.refusal != nil && k.refusal.Reason == fault.Shed {
		return k.refusal
	}
	e := fault.NotRunf(fault.Deadline, "no target could start the request within %s", k.Wait)
	e.RetryAfter = shedRetryAfter
	return e
}

// tickCall advances the time for one call.
func (c *Core) tickCall(now time.Time, k *call) {
	switch k.phase {
	case offering:
		if !now.Before(k.deadline) {
			c.failCall(now, k, deadlineFault(k))
		} else if len(k.openOffers) > 0 {
			c.widenOffers(now, k)
		} else if len(k.openOffers) == 0 && !k.nextTryAt.IsZero() && !now.Before(k.nextTryAt) {
			c.sendOffers(now, k)
		}
	case claiming, confirming, attaching:
		if !now.Before(k.waitUntil) {
			c.expireWait(now, k)
		}
	case awaitingEarlier:
		c.tickAwaitingEarlier(now, k)
	case committed:
		c.tickCommitted(now, k)
	}
}

func (c *Core) tickCommitted(now time.Time, k *call) {
	switch {
	case !k.reattachUntil.IsZero() && !now.Before(k.reattachUntil):
		c.failCall(now, k, &fault.Error{Run: k.runState(), Reason: fault.Lost, Detail: "the agent of the request was lost"})
	case now.Sub(k.lastProgressAt) >= silenceTimeout:
		c.releaseAgents(k)
		c.failCall(now, k, &fault.Error{Run: k.runState(), Reason: fault.Target, Detail: "the target is silent"})
	}
}

// runState returns what is known about the execution of a committed call.
func (c *call) runState() fault.Run {
	if !c.firstChunkAt.IsZero() {
		return fault.Ran
	}
	return fault.Unknown
}
