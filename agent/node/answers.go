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

// HandlePart stores a part of an answer from the target and sends it to the readers.
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
	wake, err := c.answers.Append(id, answer.Fragment{Status: p.Status, ContentType: p.ContentType, Data: p.Data, Tokens: p.Tokens})
	if err != nil {
		o.abandoned, o.truncated = true, true
		c.act(CancelRequest{ID: id})
		c.log(event.AnswerTruncated, "request", id, "error", err)
		return
	}
	c.flushAll(wake)
	c.attachWaiting(id, o)
}

// HandleEnd handles the end of a request at the target.
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

// corrected returns the outcome that the target's connection reported, corrected by what the agent knows: an
// answer that could not be stored is not complete, and an adopted request did reach the target.
func (o *offer) corrected(out target.Outcome) target.Outcome {
	if o.truncated {
		out.Complete, out.Run, out.Reason, out.Detail = false, fault.Ran, fault.Target, "the answer exceeds the memory of the agent"
	}
	if o.adopted && out.Run == fault.NotRun {
		out.Run = fault.Unknown // only the connection that reads the answer back was refused
	}
	return out
}

// handleTargetCrash handles a crash of the target: every request that runs now is suspected of it, once.
func (c *Core) handleTargetCrash(now time.Time) {
	if !c.targetUp {
		return
	}
	var fingerprints []ident.Fingerprint
	for _, o := range c.offers {
		if o.phase == running && !o.adopted {
			fingerprints = append(fingerprints, o.Fingerprint)
		}
	}
	c.rollout.crashes++
	c.log(event.TargetCrashed, "target", c.decl.Name, "running", len(fingerprints))
	for _, f := range c.guard.RecordCrash(now, c.decl.Name, fingerprints) {
		c.publishGuardEntry(now, f)
	}
	c.recordPoisonCrash(now)
	c.markTargetDown(now)
}

// markTargetDown stops granting and refuses the waiting offers. No request is suspected when the target merely
// does not answer, for example because it is frozen.
func (c *Core) markTargetDown(now time.Time) {
	c.targetUp = false
	c.log(event.TargetDown, "target", c.decl.Name)
	c.refuseAll(c.queue.Drain(now, fault.NotRunf(fault.Target, "target does not answer")))
	c.report.due = true
}

// HandleProbe handles the result of a probe: up is true when the target answers.
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

// handleAttach connects a peer to an answer of this agent, or of an earlier incarnation of it. It first revokes an
// unused grant of the request: after the peer has been told that the request was not dispatched, it must not be.
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

// attachKept connects a peer to an answer that this incarnation stores. The boot is not compared: an id is
// dispatched by one incarnation only, and an answer that was read back from the target has the same numbering.
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

// holdAttach holds an Attach until the target has sent the answer up to its position.
func (c *Core) holdAttach(p answer.Peer, m *wire.Attach) {
	r := c.readBacks[m.ID]
	if r == nil {
		r = &readBack{account: m.Account}
		c.readBacks[m.ID] = r
	}
	r.remove(p)
	r.waitingReaders = append(r.waitingReaders, pendingAttach{peer: p, msg: *m})
}

// attachAbsent handles an Attach to a request that this incarnation of the agent never dispatched. If an earlier
// incarnation may have done so, the answer is read back from the target; the request is not sent again.
func (c *Core) attachAbsent(p answer.Peer, m *wire.Attach) {
	if m.Boot == c.boot {
		c.refuse(p, m.ID, fault.NotRunf(fault.Gone, "the request was not dispatched"))
		return
	}
	started := c.readBacks[m.ID] != nil
	c.holdAttach(p, m)
	if !started {
		c.act(Resume{ID: m.ID})
	}
}

// adopt records a request that an earlier incarnation of this agent dispatched and whose answer the target still
// streams.
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

// attachWaiting attaches the peers whose position has now been read back.
func (c *Core) attachWaiting(id ident.RequestID, o *offer) {
	r := c.readBacks[id]
	if r == nil {
		return
	}
	remaining := r.waitingReaders[:0]
	for _, a := range r.waitingReaders {
		msg := a.msg
		msg.Boot = 0
		if c.answers.Attach(a.peer, &msg) != nil {
			remaining = append(remaining, a)
			continue
		}
		o.readers[a.peer] = true
		c.flush(a.peer)
	}
	r.waitingReaders = remaining
}

// refuseWaiting refuses the peers that wait for an answer which the target does not return. The earlier
// incarnation may have written the request to the target, so the refusal never states "not run".
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
