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
	if r := c.resuming[id]; r != nil && c.offers[id] == nil {
		c.adopt(now, id, r.account)
	}
	o := c.offers[id]
	if o == nil || o.phase != running || o.cut {
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
		o.left, o.cut = true, true
		c.act(Stop{ID: id})
		c.log(event.Cut, "request", id, "error", err)
		return
	}
	c.flushAll(wake)
	c.join(id, o)
}

// Ended takes in the end of a dispatch.
func (c *Core) Ended(now time.Time, id ident.RequestID, out target.Outcome) {
	o := c.offers[id]
	if o == nil || o.phase != running {
		c.refuseResuming(id)
		return
	}
	out = o.truth(out)
	if out.Lost {
		c.lostTarget(now)
	}
	delete(c.offers, id)
	o.ahead = c.queue.Ahead(id)
	c.queue.Finished(now, id, queue.Outcome{
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached, Failed: !out.Whole || o.left,
	})
	c.ledger.End(now, id)
	c.lastEnd = now
	if !o.adopted { // an adopted request has no route and no fingerprint
		c.learn(now, o, out)
	}
	wake, err := c.keep.End(now, id, wire.End{
		Complete: out.Whole, Run: out.Run, Reason: out.Reason, Detail: out.Detail,
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached,
	})
	if err != nil {
		c.log(event.Cut, "request", id, "error", err)
	}
	c.flushAll(wake)
	c.join(id, o)
	c.refuseResuming(id)
	c.grant(now)
}

// truth corrects what the target's connection knows of an outcome by what the agent knows.
func (o *offer) truth(out target.Outcome) target.Outcome {
	if o.cut {
		out.Whole, out.Run, out.Reason, out.Detail = false, fault.Ran, fault.Target, "the answer exceeds the memory of the agent"
	}
	if o.adopted && out.Run == fault.NotRun {
		out.Run = fault.Unknown // the refused connection was only the one that reads the answer
	}
	return out
}

// lostTarget takes in that the target crashed: everything that runs now is suspected of it, once.
func (c *Core) lostTarget(now time.Time) {
	if !c.up {
		return
	}
	var prints []ident.Print
	for _, o := range c.offers {
		if o.phase == running && !o.adopted {
			prints = append(prints, o.Fingerprint)
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
	c.log(event.TargetDown, "target", c.decl.Name)
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
		c.drop(m.ID, fault.NotRunf(fault.Lapsed, "an earlier send of the request was looked for and had not run"))
		c.attachAbsent(p, m)
	default:
		c.attachKept(p, m)
	}
}

// attachKept connects a peer to an answer that this run keeps. The boot is not compared: an id is dispatched
// by one run only, and an answer that was read back from the target has the same numbering.
func (c *Core) attachKept(p answer.Peer, m *wire.Attach) {
	a := *m
	a.Boot = 0
	o := c.offers[m.ID]
	if e := c.keep.Attach(p, &a); e != nil {
		if o != nil && o.adopted {
			c.await(p, m) // the position has not been read back yet
			return
		}
		c.refuse(p, m.ID, &fault.Error{Run: fault.Ran, Reason: e.Reason, Detail: e.Detail})
		return
	}
	if o != nil {
		o.readers[p] = true
	}
	c.log(event.Resumed, "request", m.ID, "after", m.AfterSeq)
	c.flush(p)
}

// await holds an Attach until the target has given the part of the answer before its position.
func (c *Core) await(p answer.Peer, m *wire.Attach) {
	r := c.resuming[m.ID]
	if r == nil {
		r = &resume{account: m.Account}
		c.resuming[m.ID] = r
	}
	r.remove(p)
	r.waiting = append(r.waiting, attach{peer: p, msg: *m})
}

// attachAbsent answers for a request that this run of the agent never dispatched. If an earlier run may
// have done so, the target is asked for the answer; nothing is sent to it again.
func (c *Core) attachAbsent(p answer.Peer, m *wire.Attach) {
	if m.Boot == c.boot {
		c.refuse(p, m.ID, fault.NotRunf(fault.Gone, "the request was not dispatched"))
		return
	}
	asked := c.resuming[m.ID] != nil
	c.await(p, m)
	if !asked {
		c.act(Resume{ID: m.ID})
	}
}

// adopt records an answer that the target still streams for an earlier run of this agent.
func (c *Core) adopt(now time.Time, id ident.RequestID, account ident.AccountID) {
	ticket, err := c.ledger.Grant(now, id)
	if err != nil || c.ledger.Dispatch(now, id, ticket) != nil || c.keep.Open(id, account) != nil {
		c.refuseResuming(id)
		return
	}
	c.offers[id] = &offer{
		Offer: wire.Offer{ID: id, Account: account, Keyed: true}, phase: running, began: now,
		adopted: true, readers: make(map[answer.Peer]bool),
	}
}

// join attaches the peers that waited for a position which the target has now given.
func (c *Core) join(id ident.RequestID, o *offer) {
	r := c.resuming[id]
	if r == nil {
		return
	}
	rest := r.waiting[:0]
	for _, a := range r.waiting {
		msg := a.msg
		msg.Boot = 0
		if c.keep.Attach(a.peer, &msg) != nil {
			rest = append(rest, a)
			continue
		}
		o.readers[a.peer] = true
		c.flush(a.peer)
	}
	r.waiting = rest
}

// refuseResuming ends the wait for an answer that the target does not give. The earlier run may have written
// the request to the target, so that it is never stated to be not run.
func (c *Core) refuseResuming(id ident.RequestID) {
	r := c.resuming[id]
	if r == nil {
		return
	}
	for _, a := range r.waiting {
		c.refuse(a.peer, id, &fault.Error{Run: fault.Unknown, Reason: fault.Gone, Detail: "the answer is not kept any more"})
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
