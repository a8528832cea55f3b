package node

import (
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

// handleOffer queues a request, or refuses it as not run.
func (c *Core) handleOffer(now time.Time, p answer.Peer, m *wire.Offer) {
	if o := c.offers[m.ID]; o != nil && o.peer == p {
		return // a duplicate frame; the first one has been or will be answered
	}
	if e := c.admit(now, m); e != nil {
		c.refuse(p, m.ID, e)
		return
	}
	isolated := c.guard.Check(now, m.Fingerprint) == guard.Isolated
	it := queue.ItemFromOffer(now, m, c.peers[p].hello.Process, c.weight(m.Account), isolated)
	evicted, e := c.queue.Push(now, it)
	c.refuseAll(evicted)
	if e != nil {
		c.refuse(p, m.ID, e)
		return
	}
	c.offers[m.ID] = &offer{Offer: *m, peer: p}
	c.grant(now)
}

// admit returns the reason why an offer is not queued, or nil.
func (c *Core) admit(now time.Time, m *wire.Offer) *fault.Error {
	switch {
	case !c.configured || m.Service != c.decl.Service || m.Version != c.decl.Version:
		return fault.NotRunf(fault.Config, "target does not serve %s %s", m.Service, m.Version)
	case c.runsOtherVersion():
		return fault.NotRunf(fault.Config, "target runs version %s and not %s yet", c.reportedVersion, c.decl.Version)
	case !c.drainStart.IsZero() || c.vmLeaving:
		return fault.NotRunf(fault.Draining, "target is leaving")
	case c.refusesVersion(m):
		return fault.NotRunf(fault.BadVersion, "version %s was judged bad", m.Version)
	case !c.targetUp:
		return fault.NotRunf(fault.Target, "target does not answer")
	case c.guard.Check(now, m.Fingerprint) == guard.Blocked || c.blocked(now, m):
		return fault.NotRunf(fault.Crashes, "the request crashed several targets")
	case c.ledger.State(now, m.ID) != ledger.Absent || c.offers[m.ID] != nil:
		return &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the request is known to this agent"}
	}
	return nil
}

// grant sends grants to the next offers in the queue while the concurrency window has room.
func (c *Core) grant(now time.Time) {
	if !c.targetUp || c.answers.Full() {
		return
	}
	for {
		it, refused, ok := c.queue.Next(now)
		c.refuseAll(refused)
		if !ok {
			return
		}
		o := c.offers[it.ID]
		ticket, err := c.ledger.Grant(now, it.ID)
		if o == nil || err != nil {
			c.queue.Remove(now, it.ID)
			c.refuseOffer(it.ID, fault.NotRunf(fault.Shed, "the ledger of the agent is full"))
			continue
		}
		o.phase = granted
		c.send(o.peer, &wire.Grant{ID: it.ID, Ticket: ticket})
	}
}

// withdraw removes an offer of the peer that has not been dispatched, and revokes its grant if it has one.
func (c *Core) withdraw(now time.Time, p answer.Peer, id ident.RequestID) {
	if o := c.offers[id]; o == nil || o.peer != p || o.phase == running {
		return
	}
	c.queue.Remove(now, id)
	c.ledger.Revoke(now, id)
	delete(c.offers, id)
	c.grant(now)
}

// handleDecline removes an offer whose router declined the grant.
func (c *Core) handleDecline(now time.Time, p answer.Peer, m *wire.Decline) {
	if o := c.offers[m.ID]; o == nil || o.peer != p || o.phase != granted {
		return
	}
	if c.ledger.Decline(m.ID, m.Ticket) {
		c.queue.Remove(now, m.ID)
		delete(c.offers, m.ID)
		c.grant(now)
	}
}

// handleBody dispatches a granted request. The ledger records the id before anything is written to the target.
func (c *Core) handleBody(now time.Time, p answer.Peer, m *wire.Body) {
	o := c.offers[m.ID]
	if o != nil && o.phase == running && o.peer == p {
		return // a duplicate frame of the running request
	}
	if o == nil || o.phase != granted || o.peer != p {
		c.refuseBody(now, p, m.ID)
		return
	}
	e := c.recheck(now, o)
	if e == nil && c.answers.Open(m.ID, o.Account) != nil {
		e = fault.NotRunf(fault.Shed, "running answers fill the memory of the agent")
	}
	if e != nil {
		c.ledger.Decline(m.ID, m.Ticket)
		c.queue.Remove(now, m.ID)
		c.refuseOffer(m.ID, e)
		c.grant(now)
		return
	}
	if err := c.ledger.Dispatch(now, m.ID, m.Ticket); err != nil {
		c.answers.Discard(m.ID)
		c.queue.Remove(now, m.ID)
		delete(c.offers, m.ID)
		c.refuseBody(now, p, m.ID)
		return
	}
	c.start(now, p, o, m)
}

// recheck returns the reason why a granted request can no longer be dispatched, or nil.
func (c *Core) recheck(now time.Time, o *offer) *fault.Error {
	switch {
	case c.refusesVersion(&o.Offer):
		return fault.NotRunf(fault.BadVersion, "version %s was judged bad", o.Version)
	case !c.targetUp:
		return fault.NotRunf(fault.Target, "target does not answer")
	case c.guard.Check(now, o.Fingerprint) == guard.Blocked || c.blocked(now, &o.Offer):
		return fault.NotRunf(fault.Crashes, "the request crashed several targets")
	}
	return nil
}

// refuseBody refuses a body without a valid ticket. It states "not run" only for an id that the ledger does not
// know.
func (c *Core) refuseBody(now time.Time, p answer.Peer, id ident.RequestID) {
	if c.ledger.State(now, id) == ledger.Absent {
		c.refuse(p, id, fault.NotRunf(fault.Expired, "the ticket is not valid"))
		return
	}
	c.refuse(p, id, &fault.Error{Run: fault.Unknown, Reason: fault.Duplicate, Detail: "the request was dispatched before"})
}

// start records a dispatched request as running, attaches its router to the answer and sends it to the target.
func (c *Core) start(now time.Time, p answer.Peer, o *offer, m *wire.Body) {
	o.phase, o.dispatchedAt, o.lastPartAt = running, now, now
	o.readers = map[answer.Peer]bool{p: true}
	c.queue.Started(now, m.ID)
	if e := c.answers.Attach(p, &wire.Attach{ID: m.ID, Boot: c.boot, Account: o.Account, Credit: m.Credit}); e != nil {
		c.log(event.AnswerTruncated, "request", m.ID, "error", e)
	}
	c.flush(p) // the answer store notifies a peer only after the peer has read all of its stored parts
	c.act(Start{Request: c.requestOf(o, m)})
}

// handleCancel stops a request whose client disconnected. A request with a key continues to run, because its
// client may return for the answer.
func (c *Core) handleCancel(now time.Time, p answer.Peer, id ident.RequestID) {
	c.answers.Detach(p, id)
	o := c.offers[id]
	if o == nil {
		return
	}
	if o.phase != running {
		c.withdraw(now, p, id)
		return
	}
	delete(o.readers, p)
	if !o.Keyed && !o.abandoned && len(o.readers) == 0 {
		o.abandoned = true
		c.act(CancelRequest{ID: id})
	}
}

// refuseOffer removes an offer that was not dispatched and sends the refusal to its router.
func (c *Core) refuseOffer(id ident.RequestID, e *fault.Error) {
	if o := c.offers[id]; o != nil {
		delete(c.offers, id)
		c.refuse(o.peer, id, e)
	}
}

func (c *Core) refuseAll(rs []queue.Refusal) {
	for _, r := range rs {
		c.refuseOffer(r.Item.ID, r.Fault)
	}
}

func (c *Core) refuse(p answer.Peer, id ident.RequestID, e *fault.Error) {
	c.send(p, &wire.Refuse{ID: id, Run: e.Run, Reason: e.Reason, Detail: e.Detail, RetryAfterMillis: e.RetryAfter.Milliseconds()})
}

// weight returns the declared weight of an account.
func (c *Core) weight(a ident.AccountID) int {
	if x := c.config.Index(); x != nil {
		if acc, ok := x.Account(a); ok {
			return acc.Weight
		}
	}
	return 1
}
