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
func (c *Core) HandlePart(now time.Time, id ident.RequestID, p target.Part) {
	if r := c.readBacks[id]; r != nil && c.offers[id] == nil {
		c.adopt(now, id, r.account)
	}
	o := c.offers[id]
	if o == nil || o.phase != running || o.truncated {
		return
	}
	if o.firstPartAt.IsZero() {
		o.firstPartAt, o.status = now, p.Status
		c.queue.FirstToken(now, id)
	}
	if p.Tokens > 0 {
		o.tokens += p.Tokens
		c.queue.Progress(now, id, p.Tokens)
	}
	o.lastPartAt = now
	wake, err := c.answers.Append(id, answer.Fragment{Status: p.Status, Type: p.ContentType, Data: p.Data, Tokens: p.Tokens})
	if err != nil {
		o.abandoned, o.truncated = true, true
		c.act(Stop{ID: id})
		c.log(event.AnswerTruncated, "request", id, "error", err)
		return
	}
	c.flushAll(wake)
	c.attachWaiting(id, o)
}

// Ended takes in the end of a dispatch.
func (c *Core) HandleEnd(now time.Time, id ident.RequestID, out target.Outcome) {
	o := c.offers[id]
	if o == nil || o.phase != running {
		c.refuseWaiting(id)
		return
	}
	out = o.corrected(out)
	if out.ConnectionLost {
		c.handleTargetCrash(now)
	}
	delete(c.offers, id)
	o.promptAhead = c.queue.PromptAhead(id)
	c.queue.Finished(now, id, queue.Outcome{
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached, Failed: !out.Complete || o.abandoned,
	})
	c.ledger.RecordEnd(now, id)
	c.lastAnswerEnd = now
	if !o.adopted { // an adopted request has no route and no fingerprint
		c.recordOutcome(now, o, out)
	}
	wake, err := c.answers.Finish(now, id, wire.End{
		Complete: out.Complete, Run: out.Run, Reason: out.Reason, Detail: out.Detail,
		Prompt: out.Prompt, Output: out.Output, Cached: out.Cached,
	})
	if err != nil {
		c.log(event.AnswerTruncated, "request", id, "error", err)
	}
	c.flushAll(wake)
	c.attachWaiting(id, o)
	c.refuseWaiting(id)
	c.grant(now)
}

// truth corrects what the target's connection knows of an outcome by what the agent knows.
func (o *offer) corrected(out target.Outcome) target.Outcome {
	if o.truncated {
		out.Complete, out.Run, out.Reason, out.Detail = false, fault.Ran, fault.Target, "the answer exceeds the memory of the agent"
	}
	if o.adopted && out.Run == fault.NotRun {
		out.Run = fault.Unknown // the refused connection was only the one that reads the answer
	}
	return out
}

// lostTarget takes in that the target crashed: everything that runs now is suspected of it, once.
func (c *Core) handleTargetCrash(now time.Time) {
	if !c.targetUp {
		return
	}
	var prints []ident.Fingerprint
	for _, o := range c.offers {
		if o.phase == running && !o.adopted {
			prints = append(prints, o.Fingerprint)
		}
	}
	c.rollout.crashes++
	c.log(event.TargetCrashed, "target", c.decl.Name, "running", len(prints))
	for _, f := range c.guard.RecordCrash(now, c.decl.Name, prints) {
		c.publishGuardEntry(now, f)
	}
	c.markTargetDown(now)
}

// downTarget stops granting and gives the waiting offers back. A target that only does not answer, as one
// that is frozen, makes no request suspect.
func (c *Core) markTargetDown(now time.Time) {
	c.targetUp = false
	c.log(event.TargetDown, "target", c.decl.Name)
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Target, "target does not answer")))
	c.report.due = true
}

// Probed takes in whether the target answers.
func (c *Core) HandleProbe(now time.Time, up bool) {
	if up == c.targetUp {
		return
	}
	if !up {
		c.markTargetDown(now)
		return
	}
	c.targetUp = true
	c.report.due = true
	c.log(event.TargetUp, "target", c.decl.Name)
	c.grant(now)
}

// attach connects a peer to an answer of this agent, or of an earlier run of it.
func (c *Core) handleAttach(now time.Time, p answer.Peer, m *wire.Attach) {
	switch c.ledger.Revoke(now, m.ID) {
	case ledger.Absent:
		c.queue.Remove(now, m.ID)
		c.refuseOffer(m.ID, fault.NotRunf(fault.Expired, "an earlier send of the request was looked for and had not run"))
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
	if e := c.answers.Attach(p, &a); e != nil {
		if o != nil && o.adopted {
			c.holdAttach(p, m) // the position has not been read back yet
			return
		}
		c.refuse(p, m.ID, &fault.Error{Run: fault.Ran, Reason: e.Reason, Detail: e.Detail})
		return
	}
	if o != nil {
		o.readers[p] = true
	}
	c.log(event.AnswerResumed, "request", m.ID, "after", m.AfterSeq)
	c.flush(p)
}

// await holds an Attach until the target has given the part of the answer before its position.
func (c *Core) holdAttach(p answer.Peer, m *wire.Attach) {
	r := c.readBacks[m.ID]
	if r == nil {
		r = &readBack{account: m.Account}
		c.readBacks[m.ID] = r
	}
	r.remove(p)
	r.waitingReaders = append(r.waitingReaders, pendingAttach{peer: p, msg: *m})
}

// attachAbsent answers for a request that this run of the agent never dispatched. If an earlier run may
// have done so, the target is asked for the answer; nothing is sent to it again.
func (c *Core) attachAbsent(p answer.Peer, m *wire.Attach) {
	if m.Boot == c.boot {
		c.refuse(p, m.ID, fault.NotRunf(fault.Gone, "the request was not dispatched"))
		return
	}
	asked := c.readBacks[m.ID] != nil
	c.holdAttach(p, m)
	if !asked {
		c.act(Resume{ID: m.ID})
	}
}

// adopt records an answer that the target still streams for an earlier run of this agent.
func (c *Core) adopt(now time.Time, id ident.RequestID, account ident.AccountID) {
	ticket, err := c.ledger.Grant(now, id)
	if err != nil || c.ledger.Dispatch(now, id, ticket) != nil || c.answers.Open(id, account) != nil {
		c.refuseWaiting(id)
		return
	}
	c.offers[id] = &offer{
		Offer: wire.Offer{ID: id, Account: account, Keyed: true}, phase: running, dispatchedAt: now,
		adopted: true, readers: make(map[answer.Peer]bool),
	}
}

// join attaches the peers that waited for a position which the target has now given.
func (c *Core) attachWaiting(id ident.RequestID, o *offer) {
	r := c.readBacks[id]
	if r == nil {
		return
	}
	rest := r.waitingReaders[:0]
	for _, a := range r.waitingReaders {
		msg := a.msg
		msg.Boot = 0
		if c.answers.Attach(a.peer, &msg) != nil {
			rest = append(rest, a)
			continue
		}
		o.readers[a.peer] = true
		c.flush(a.peer)
	}
	r.waitingReaders = rest
}

// refuseResuming ends the wait for an answer that the target does not give. The earlier run may have written
// the request to the target, so that it is never stated to be not run.
func (c *Core) refuseWaiting(id ident.RequestID) {
	r := c.readBacks[id]
	if r == nil {
		return
	}
	for _, a := range r.waitingReaders {
		c.refuse(a.peer, id, &fault.Error{Run: fault.Unknown, Reason: fault.Gone, Detail: "the answer is not kept any more"})
	}
	delete(c.readBacks, id)
}

func (c *Core) flush(p answer.Peer) {
	for {
		m, ok := c.answers.NextFrame(p)
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
