package entry

import (
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

// handleChunk handles a chunk of an answer. Frames of other requests, boots and agents are dropped.
func (c *Core) handleChunk(now time.Time, l links.ID, m *wire.Chunk) {
	k := c.callForFrame(l, m.ID)
	if k == nil {
		return
	}
	c.followRestart(k, m.Boot)
	ready, res := k.reader.AddChunk(m)
	for _, ch := range ready {
		c.deliverChunk(now, k, ch)
	}
	c.countLinkBytes(now, k, ident.Bytes(len(m.Data)))
	c.handleReadResult(now, k, res, nil)
}

// countLinkBytes counts bytes of a call that were sent over the region link.
func (c *Core) countLinkBytes(now time.Time, k *call, n ident.Bytes) {
	if k.remote {
		k.linkBytes += n
		c.picker.ChargeLink(now, n)
	}
}

func (c *Core) handleEnd(now time.Time, l links.ID, m *wire.End) {
	k := c.callForFrame(l, m.ID)
	if k == nil {
		return
	}
	c.followRestart(k, m.Boot)
	c.handleReadResult(now, k, k.reader.AddEnd(m), m)
}

// callForFrame returns the call to which a frame belongs, if it came from the agent of that call.
func (c *Core) callForFrame(l links.ID, id ident.RequestID) *call {
	k := c.callByAttempt[id]
	if k == nil || k.reader == nil || c.peers[l].hello.Process != k.agent {
		return nil
	}
	return k
}

// followRestart accepts the frames of a later boot of the agent, which reads the answer back from the engine and
// numbers the same chunks in the same way.
func (c *Core) followRestart(k *call, boot ident.Boot) {
	if l, ok := c.linkByProcess[k.agent]; boot != k.boot && ok && c.peers[l].hello.Boot == boot {
		k.boot = boot
		k.reader = answer.NewAssembler(k.attempt, boot, k.reader.LastSeq())
	}
}

func (c *Core) deliverChunk(now time.Time, k *call, m *wire.Chunk) {
	if !k.firstChunkAt.IsZero() && m.Tokens > 0 {
		c.meter.RecordTokenGap(k.Account.Name, k.Service.Name, k.Tier.Rank, now.Sub(k.lastProgressAt))
	}
	k.lastProgressAt = now
	if k.firstChunkAt.IsZero() {
		k.firstChunkAt = now
	}
	k.outputTokens += m.Tokens
	if !k.headSent && m.Seq == 1 || !k.headSent && k.phase == attaching {
		k.headSent = true
		status, contentType := m.Status, m.ContentType
		if status == 0 {
			status, contentType = 200, eventStreamType
		}
		c.emit(Reply{Call: k.id, Part: ReplyPart{Head: &Head{
			Status: status, ContentType: contentType, RequestID: k.attempt, Agent: k.agent, Boot: k.boot,
			Account: k.Account.Name, Service: k.Service.Name, Version: k.version,
		}}})
	}
	if k.phase == attaching {
		k.phase = committed
	}
	c.emit(Reply{Call: k.id, Part: ReplyPart{Data: &Data{Seq: m.Seq, Payload: m.Data}}})
}

// eventStreamType is the content type of an answer that is resumed in its middle.
const eventStreamType = "text/event-stream"

func (c *Core) handleReadResult(now time.Time, k *call, res answer.Result, end *wire.End) {
	switch res {
	case answer.Gap:
		c.sendTo(k.agent, k.reader.AttachMessage(k.Account.Name, creditMax))
	case answer.Complete:
		c.completeCall(now, k, end)
	case answer.Truncated:
		c.endTruncated(now, k, end)
	}
}

func (c *Core) completeCall(now time.Time, k *call, end *wire.End) {
	c.recordOutcome(now, k, end, false)
	c.emit(Reply{Call: k.id, Part: ReplyPart{Complete: true}})
	c.finishCall(now, k, "")
}

// endTruncated ends a call whose target failed. An idempotent call, and any call that certainly did not run, is
// offered elsewhere as long as its caller has received nothing.
func (c *Core) endTruncated(now time.Time, k *call, end *wire.End) {
	e := &fault.Error{Run: fault.Unknown, Reason: fault.Target, Detail: "the target failed"}
	if end != nil {
		e.Run, e.Detail = end.Run, end.Detail
		if end.Reason != "" {
			e.Reason = end.Reason
		}
	}
	if k.headSent || !k.firstChunkAt.IsZero() {
		e.Run = fault.Ran
	}
	c.recordOutcome(now, k, end, true)
	switch {
	case e.Run == fault.NotRun && k.mayReoffer():
		c.reoffer(now, k, e)
	case k.isRepeatable() && k.mayReoffer():
		c.repeatCall(now, k, e)
	default:
		c.failCall(now, k, e)
	}
}

// repeatCall offers an idempotent call again after a pause, if the retry budget allows it.
func (c *Core) repeatCall(now time.Time, k *call, e *fault.Error) {
	k.retries++
	k.earlierFault = e
	pause, ok := c.retry.Allow(now, k.retries)
	if !ok || !now.Add(pause).Before(k.deadline) {
		c.failCall(now, k, e)
		return
	}
	k.triedTargets = append(k.triedTargets, k.target)
	c.renewAttempt(k)
	k.phase = offering
	c.scheduleTry(now, k, pause)
}

// recordOutcome reports to the picker how a request went at its target.
func (c *Core) recordOutcome(now time.Time, k *call, end *wire.End, failed bool) {
	if k.target == "" {
		return
	}
	o := pick.Outcome{Prompt: k.Prompt, Output: k.outputTokens, Failed: failed}
	if !k.firstChunkAt.IsZero() {
		o.TimeToFirstByte = k.firstChunkAt.Sub(k.bodySentAt)
		o.DecodeTime = k.lastProgressAt.Sub(k.firstChunkAt)
	}
	if end != nil {
		o.Cached = end.Cached
		if end.Prompt > 0 {
			o.Prompt = end.Prompt
		}
		if end.Output > 0 {
			k.outputTokens = end.Output
			o.Output = end.Output
		}
	}
	c.picker.RecordOutcome(now, k.target, o)
}

// HandleWritten grants the agent new credit after the handler of a call wrote n bytes of its answer.
func (c *Core) HandleWritten(id CallID, n ident.Bytes) {
	if k := c.calls[id]; k != nil && k.phase == committed {
		c.sendTo(k.agent, &wire.Credit{ID: k.attempt, Bytes: n})
	}
}

// failCall ends a call without a complete answer.
func (c *Core) failCall(now time.Time, k *call, e *fault.Error) {
	if e.Run == fault.NotRun {
		c.withdrawOffers(k)
		c.releaseClaim(k)
	}
	if e.Run == fault.NotRun && k.earlierFault != nil { // the last attempt did not run, but an earlier one may have
		x := *e
		x.Run, e = k.earlierFault.Run, &x
	}
	if e.RetryAfter == 0 && (e.Reason == fault.Shed || e.Reason == fault.Deadline) {
		e.RetryAfter = shedRetryAfter
	}
	c.emit(Reply{Call: k.id, Part: ReplyPart{Fault: e}})
	if k.headSent {
		c.log(event.AnswerTruncated, "request", k.attempt, "reason", e.Reason, "run", e.Run.String())
	} else {
		c.log(event.RequestRefused, "request", k.attempt, "reason", e.Reason, "run", e.Run.String())
	}
	c.finishCall(now, k, string(e.Reason))
}

// finishCall deletes a call, and corrects the charge to its account.
func (c *Core) finishCall(now time.Time, k *call, reason string) {
	delete(c.calls, k.id)
	delete(c.callByAttempt, k.attempt)
	var used ident.Tokens
	if !k.bodySentAt.IsZero() && !k.firstChunkAt.IsZero() { // an earlier submission is charged for its own answer
		used = k.outputTokens + k.Prompt
	}
	c.quota.Adjust(now, k.Account.Name, used-k.Prompt-k.Output)
	c.recordStats(now, k, reason)
}

func (c *Core) recordStats(now time.Time, k *call, reason string) {
	if k.resumeOnly { // the request was measured at the router that ran it
		return
	}
	m := CallStats{
		Account: k.Account.Name, Service: k.Service.Name, Tier: k.Tier.Rank, TotalTime: now.Sub(k.start),
		Prompt: k.Prompt, Output: k.outputTokens, Reason: reason, LinkBytes: k.linkBytes,
	}
	if !k.bodySentAt.IsZero() {
		m.QueueTime = k.bodySentAt.Sub(k.start)
	}
	if !k.firstChunkAt.IsZero() {
		m.TimeToFirstByte = k.firstChunkAt.Sub(k.start)
		m.Goodput = reason == "" && m.TimeToFirstByte <= k.Wait
		if reason != "" {
			m.WastedPrompt = k.Prompt
		}
	}
	c.meter.RecordCall(m)
}
