package node

import (
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

// Part takes in a piece of an answer from the target.
func (c *Core) Part(now time.Time, id ident.RequestID, p target.Part) {
	if len(c.resuming[id]) > 0 {
		c.adopt(now, id)
	}
	o := c.offers[id]
	if o == nil || o.phase != running {
		return
	}
	if o.first.IsZero() {
		o.first, o.status = now, p.Status
		c.queue.FirstToken(now, id)
	}
	if p.Tokens > 0 {
		o.tokens += p.Tokens
		c.queue.Progress(now, id, p.Tokens)
	}
	o.last = now
	wake, err := c.keep.Append(id, answer.Part{Status: p.Status, Type: p.Type, Data: p.Data, Tokens: p.Tokens})
	if err != nil {
		o.left = true
		c.act(Stop{ID: id})
		c.log(event.Cut, "request", id, "error", err)
		return
	}
	c.flushAll(wake)
}

// Ended takes in the end of a dispatch.
func (c *Core) Ended(now time.Time, id ident.RequestID, out target.Outcome) {
	o := c.offers[id]
	if o == nil || o.phase != running {
		c.refuseResuming(id, out)
		return
	}
	if out.Lost {
		c.lostTarget(now)
	}
	delete(c.offers, id)
	c.queue.Finished(now, id, queue.Outcome{
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached, Failed: !out.Whole || o.left,
	})
	c.ledger.End(now, id)
	c.learn(now, o, out)
	wake, err := c.keep.End(now, id, wire.End{
		Whole: out.Whole, Run: out.Run, Reason: out.Reason, Detail: out.Detail,
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached,
	})
	if err != nil {
		c.log(event.Cut, "request", id, "error", err)
	}
	c.flushAll(wake)
	c.grant(now)
}

// lostTarget takes in that the target crashed: everything that runs now is suspected of it, once.
func (c *Core) lostTarget(now time.Time) {
	if !c.up {
		return
	}
	var prints []ident.Print
	for _, o := range c.offers {
		if o.phase == running {
			prints = append(prints, o.Print)
		}
	}
	c.verdict.crash++
	c.log(event.TargetCrashed, "target", c.decl.Name, "running", len(prints))
	for _, f := range c.guard.Crashed(now, c.decl.Name, prints) {
		c.publishGuard(now, f)
	}
	c.downTarget(now)
}

// downTarget stops granting and gives the waiting offers back. A target that only does not answer, as one
// that is frozen, makes no request suspect.
func (c *Core) downTarget(now time.Time) {
	c.up = false
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Target, "target does not answer")))
	c.report.due = true
}

// Probed takes in whether the target answers.
func (c *Core) Probed(now time.Time, up bool) {
	if up == c.up {
		return
	}
	if !up {
		c.downTarget(now)
		return
	}
	c.up = true
	c.report.due = true
	c.log(event.TargetUp, "target", c.decl.Name)
	c.grant(now)
}

// attach connects a peer to an answer of this agent, or of an earlier run of it.
func (c *Core) attach(now time.Time, p answer.Peer, m *wire.Attach) {
	switch c.ledger.Revoke(now, m.ID) {
	case ledger.Absent:
		c.queue.Remove(now, m.ID)
		delete(c.offers, m.ID)
		c.attachAbsent(p, m)
	default:
		if e := c.keep.Attach(p, m); e != nil {
			c.refuse(p, m.ID, &fault.Error{Run: fault.Ran, Reason: e.Reason, Detail: e.Detail})
			return
		}
		if o := c.offers[m.ID]; o != nil {
			o.orphan = time.Time{}
			o.peer = p
		}
		c.log(event.Resumed, "request", m.ID, "after", m.Seq)
		c.flush(p)
	}
}

// attachAbsent answers for a request that this run of the agent never dispatched. If an earlier run may
// have done so, the target is asked for the answer; nothing is sent to it again.
func (c *Core) attachAbsent(p answer.Peer, m *wire.Attach) {
	if m.Boot == c.boot {
		c.refuse(p, m.ID, fault.NotRunf(fault.Gone, "the request was not dispatched"))
		return
	}
	c.resuming[m.ID] = append(c.resuming[m.ID], attach{peer: p, msg: *m})
	if len(c.resuming[m.ID]) == 1 {
		c.act(Resume{ID: m.ID})
	}
}

// adopt records an answer that the target still streams for an earlier run of this agent.
func (c *Core) adopt(now time.Time, id ident.RequestID) {
	waiting := c.resuming[id]
	delete(c.resuming, id)
	ticket, err := c.ledger.Grant(now, id)
	if err != nil || c.ledger.Dispatch(now, id, ticket) != nil || c.keep.Open(id, waiting[0].msg.Account) != nil {
		return
	}
	c.offers[id] = &offer{
		Offer: wire.Offer{ID: id, Account: waiting[0].msg.Account, Keyed: true},
		phase: running, began: now, peer: waiting[0].peer,
	}
	for _, a := range waiting {
		a.msg.Boot = c.boot
		if e := c.keep.Attach(a.peer, &a.msg); e != nil {
			c.refuse(a.peer, id, e)
		}
	}
}

func (c *Core) refuseResuming(id ident.RequestID, out target.Outcome) {
	for _, a := range c.resuming[id] {
		c.refuse(a.peer, id, &fault.Error{Run: out.Run, Reason: fault.Gone, Detail: "the answer is not kept any more"})
	}
	delete(c.resuming, id)
}

func (c *Core) flush(p answer.Peer) {
	for {
		m, ok := c.keep.Next(p)
		if !ok {
			return
		}
		c.send(p, m)
	}
}

func (c *Core) flushAll(peers []answer.Peer) {
	for _, p := range peers {
		c.flush(p)
	}
}
