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

// spread offers a call to the best targets that have not refused it.
func (c *Core) spread(now time.Time, k *call) {
	k.phase, k.next = offering, time.Time{}
	if !now.Before(k.deadline) {
		c.fail(now, k, deadlineFault(k))
		return
	}
	c.choices = c.picker.Pick(now, k.pickRequest(), c.choices[:0])
	c.offerTo(now, k)
	if len(k.open) > 0 {
		return
	}
	shed := k.refusal != nil && k.refusal.Reason == fault.Shed
	if shed && k.trial { // the old version may have room
		c.fallback(k)
		c.again(now, k, 0)
		return
	}
	if shed && c.lower(now, k) {
		return
	}
	if k.refusal != nil && lasting(k.refusal.Reason) {
		c.fail(now, k, k.refusal)
		return
	}
	if k.trial { // the old version is there for a call that the new one does not take
		c.fallback(k)
		c.again(now, k, 0)
		return
	}
	if c.moves.Running(k.Service.Name) == nil { // the version may have been replaced while the call waited
		k.version = c.moves.Current(k.Service)
	}
	k.tried = k.tried[:0]
	c.again(now, k, againTime)
}

// lower offers a call to the next agents at which a lower tier waits, so that it is not shed before that tier
// is. It reports whether there were any; each is asked once.
func (c *Core) lower(now time.Time, k *call) bool {
	r := k.pickRequest()
	r.Tried = k.lowered
	c.choices = c.picker.Lower(now, r, c.choices[:0])
	c.choices = c.choices[:min(len(c.choices), pick.OffersMax)]
	for _, ch := range c.choices {
		k.lowered = append(k.lowered, ch.Target)
	}
	c.offerTo(now, k)
	return len(k.open) > 0 || len(c.choices) > 0 && c.lower(now, k)
}

// widen sends a further pair of offers when none was granted within a fifth, two and three fifths of the wait.
func (c *Core) widen(now time.Time, k *call) {
	if k.widened == widenMax || now.Sub(k.began) < time.Duration(k.widened+1)*k.Wait/widenPart {
		return
	}
	k.widened++
	r := k.pickRequest()
	r.Tried = slices.Clone(k.tried)
	for _, t := range k.open {
		r.Tried = append(r.Tried, t)
	}
	c.choices = c.picker.Pick(now, r, c.choices[:0])
	c.offerTo(now, k)
}

func (c *Core) offerTo(now time.Time, k *call) {
	r := k.pickRequest()
	for _, ch := range c.choices {
		if _, out := k.open[ch.Agent]; out {
			continue
		}
		if !c.tell(ch.Agent, k.offer(now)) {
			continue
		}
		c.picker.Sent(now, ch.Target, &r)
		k.open[ch.Agent] = ch.Target
	}
}

func (c *Core) again(now time.Time, k *call, pause time.Duration) { k.next = now.Add(pause) }

// lasting reports whether asking other targets or waiting does not help.
func lasting(r fault.Reason) bool {
	return r == fault.Crashes || r == fault.Shed || r == fault.Deadline || r == fault.Duplicate
}

// grant takes the first grant of a call and declines further ones.
func (c *Core) grant(now time.Time, l links.ID, m *wire.Grant) {
	k, p := c.byReq[m.ID], c.peers[l]
	if k != nil && k.agent == p.hello.Process && k.ticket == m.Ticket && k.phase != offering {
		return // a repeated frame of the grant that was taken
	}
	if k == nil || k.phase != offering || k.open[p.hello.Process] == "" {
		c.send(l, &wire.Decline{ID: m.ID, Ticket: m.Ticket})
		return
	}
	k.agent, k.boot, k.ticket, k.peer = p.hello.Process, p.hello.Boot, m.Ticket, l
	k.target = k.open[k.agent]
	k.remote = !c.near(p.hello.Centre)
	delete(k.open, k.agent)
	c.withdraw(k)
	if k.keyed() {
		c.confirm(now, k)
		return
	}
	c.commit(now, k)
}

// commit is the point after which the call is never offered again, unless the agent states that it did not run.
func (c *Core) commit(now time.Time, k *call) {
	if c.byID[k.agent] != k.peer { // the connection of the grant is gone, and with it the ticket
		c.retract(now, k, fault.NotRunf(fault.Lost, "the agent was lost before the request was sent"))
		return
	}
	k.phase, k.sent, k.last = committed, now, now
	k.reader = answer.NewReader(k.attempt, k.boot, 0)
	body := k.body()
	c.send(k.peer, body)
	c.cross(now, k, ident.Bytes(len(body.Data)))
}

// retract makes a call available for offers again after it certainly did not run.
func (c *Core) retract(now time.Time, k *call, e *fault.Error) {
	k.remember(e)
	if k.target != "" && !slices.Contains(k.tried, k.target) {
		k.tried = append(k.tried, k.target)
	}
	c.picker.Withdrawn(k.target, k.attempt)
	if e.Reason == fault.Bad {
		c.fallback(k)
	}
	c.unclaim(k)
	c.rename(k)
	c.spread(now, k)
}

// rename gives a call a new request id, so that frames of the earlier attempt cannot reach it.
func (c *Core) rename(k *call) {
	delete(c.byReq, k.attempt)
	k.attempt = ident.NewRequestID()
	c.byReq[k.attempt] = k
	k.agent, k.target, k.ticket, k.reader, k.remote = "", "", 0, nil, false
	k.sent, k.lostUntil = time.Time{}, time.Time{}
}

// refuse takes in that an agent ends an offer, a ticket or an Attach.
func (c *Core) refuse(now time.Time, l links.ID, m *wire.Refuse) {
	k, p := c.byReq[m.ID], c.peers[l]
	if k == nil {
		c.refuseClaim(now, p, m)
		return
	}
	e := &fault.Error{Run: m.Run, Reason: m.Reason, Detail: m.Detail, Retry: time.Duration(m.RetryAfterMillis) * time.Millisecond}
	switch {
	case k.phase == offering:
		c.refuseOffer(now, k, p.hello.Process, e)
	case k.agent != p.hello.Process:
	case k.phase == confirming && e.Run == fault.NotRun:
		c.retract(now, k, e)
	case k.phase == committed || k.phase == attaching:
		c.refuseBody(now, k, e)
	}
}

func (c *Core) refuseOffer(now time.Time, k *call, agent ident.ProcessID, e *fault.Error) {
	target, out := k.open[agent]
	if !out {
		return
	}
	delete(k.open, agent)
	k.tried = append(k.tried, target)
	k.remember(e)
	c.picker.Withdrawn(target, k.attempt)
	if e.Reason != fault.Crashes && e.Reason != fault.Deadline {
		c.picker.Refused(now, target, refusedTime)
	}
	if len(k.open) == 0 {
		c.spread(now, k)
	}
}

// refuseBody ends a committed or attached call, or offers it again if it certainly did not run.
func (c *Core) refuseBody(now time.Time, k *call, e *fault.Error) {
	switch {
	case e.Reason == fault.Duplicate && k.phase == committed: // the answer is kept there
		c.tell(k.agent, k.reader.Attach(k.Account.Name, creditMax))
	case e.Run == fault.NotRun && k.phase == attaching:
		c.takeOver(now, k)
	case e.Run == fault.NotRun && k.mayOffer():
		c.retract(now, k, e)
	default:
		if k.headSent {
			e.Run = fault.Ran
		}
		c.fail(now, k, e)
	}
}

// release ends all that agents hold for a call.
func (c *Core) release(k *call) {
	c.withdraw(k)
	switch k.phase {
	case committed, attaching:
		c.tell(k.agent, &wire.Cancel{ID: k.attempt})
	case confirming:
		c.tell(k.agent, &wire.Decline{ID: k.attempt, Ticket: k.ticket})
		c.unclaim(k)
	case claiming, offering:
		c.unclaim(k)
	}
}

// withdraw takes all outstanding offers of a call back.
func (c *Core) withdraw(k *call) {
	for agent, target := range k.open {
		c.tell(agent, &wire.Withdraw{ID: k.attempt})
		c.picker.Withdrawn(target, k.attempt)
	}
	clear(k.open)
}

func deadlineFault(k *call) *fault.Error {
	if k.refusal != nil && k.refusal.Reason == fault.Shed {
		return k.refusal
	}
	e := fault.NotRunf(fault.Deadline, "no target could start the request within %s", k.Wait)
	e.Retry = shedRetry
	return e
}

// tickCall applies the passing of time to one call.
func (c *Core) tickCall(now time.Time, k *call) {
	switch k.phase {
	case offering:
		if !now.Before(k.deadline) {
			c.fail(now, k, deadlineFault(k))
		} else if len(k.open) > 0 {
			c.widen(now, k)
		} else if len(k.open) == 0 && !k.next.IsZero() && !now.Before(k.next) {
			c.spread(now, k)
		}
	case claiming, confirming, attaching:
		if !now.Before(k.waitUntil) {
			c.expire(now, k)
		}
	case holding:
		c.tickHolding(now, k)
	case committed:
		c.tickCommitted(now, k)
	}
}

func (c *Core) tickCommitted(now time.Time, k *call) {
	switch {
	case !k.lostUntil.IsZero() && !now.Before(k.lostUntil):
		c.fail(now, k, &fault.Error{Run: k.ran(), Reason: fault.Lost, Detail: "the agent of the request was lost"})
	case now.Sub(k.last) >= silentTime:
		c.release(k)
		c.fail(now, k, &fault.Error{Run: k.ran(), Reason: fault.Target, Detail: "the target is silent"})
	}
}

// ran returns what is known of the execution of a committed call.
func (c *call) ran() fault.Run {
	if !c.first.IsZero() {
		return fault.Ran
	}
	return fault.Unknown
}
