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

// chunk takes in a piece of an answer. Frames of other requests, runs and agents are dropped.
func (c *Core) chunk(now time.Time, l links.ID, m *wire.Chunk) {
	k := c.readable(l, m.ID)
	if k == nil {
		return
	}
	c.follow(k, m.Boot)
	ready, res := k.reader.Chunk(m)
	for _, ch := range ready {
		c.deliver(now, k, ch)
	}
	c.cross(now, k, ident.Bytes(len(m.Data)))
	c.result(now, k, res, nil)
}

// cross counts bytes of a call that went over the region link.
func (c *Core) cross(now time.Time, k *call, n ident.Bytes) {
	if k.remote {
		k.link += n
		c.picker.Crossed(now, n)
	}
}

func (c *Core) end(now time.Time, l links.ID, m *wire.End) {
	k := c.readable(l, m.ID)
	if k == nil {
		return
	}
	c.follow(k, m.Boot)
	c.result(now, k, k.reader.End(m), m)
}

// readable returns the call that a frame belongs to, if it came from the agent that the call committed to.
func (c *Core) readable(l links.ID, id ident.RequestID) *call {
	k := c.byReq[id]
	if k == nil || k.reader == nil || c.peers[l].hello.Process != k.agent {
		return nil
	}
	return k
}

// follow accepts the frames of a later run of the agent, which read the answer back from the engine: it
// numbers the same pieces in the same way.
func (c *Core) follow(k *call, boot ident.Boot) {
	if l, ok := c.byID[k.agent]; boot != k.boot && ok && c.peers[l].hello.Boot == boot {
		k.boot = boot
		k.reader = answer.NewReader(k.attempt, boot, k.reader.Last())
	}
}

func (c *Core) deliver(now time.Time, k *call, m *wire.Chunk) {
	if !k.first.IsZero() && m.Tokens > 0 {
		c.meter.Gap(k.Account.Name, k.Service.Name, k.Tier.Rank, now.Sub(k.last))
	}
	k.last = now
	if k.first.IsZero() {
		k.first = now
	}
	k.tokens += m.Tokens
	if !k.headSent && m.Seq == 1 || !k.headSent && k.phase == attaching {
		k.headSent = true
		status, typ := m.Status, m.ContentType
		if status == 0 {
			status, typ = 200, streamType
		}
		c.act(Reply{Call: k.id, Part: Part{Head: &Head{
			Status: status, Type: typ, Request: k.attempt, Agent: k.agent, Boot: k.boot,
			Account: k.Account.Name, Service: k.Service.Name, Version: k.version,
		}}})
	}
	if k.phase == attaching {
		k.phase = committed
	}
	c.act(Reply{Call: k.id, Part: Part{Data: &Data{Seq: m.Seq, Data: m.Data}}})
}

// streamType is the content type of an answer that is taken up in its middle.
const streamType = "text/event-stream"

func (c *Core) result(now time.Time, k *call, res answer.Result, end *wire.End) {
	switch res {
	case answer.Gap:
		c.tell(k.agent, k.reader.Attach(k.Account.Name, creditMax))
	case answer.Complete:
		c.complete(now, k, end)
	case answer.Cut:
		c.cut(now, k, end)
	}
}

func (c *Core) complete(now time.Time, k *call, end *wire.End) {
	c.learn(now, k, end, false)
	c.act(Reply{Call: k.id, Part: Part{Whole: true}})
	c.finish(now, k, "")
}

// cut ends a call whose target failed. An idempotent call is tried elsewhere, and so is any call that
// certainly did not run, as long as its caller has received nothing.
func (c *Core) cut(now time.Time, k *call, end *wire.End) {
	e := &fault.Error{Run: fault.Unknown, Reason: fault.Target, Detail: "the target failed"}
	if end != nil {
		e.Run, e.Detail = end.Run, end.Detail
		if end.Reason != "" {
			e.Reason = end.Reason
		}
	}
	if k.headSent || !k.first.IsZero() {
		e.Run = fault.Ran
	}
	c.learn(now, k, end, true)
	switch {
	case e.Run == fault.NotRun && k.mayOffer():
		c.retract(now, k, e)
	case k.repeats() && k.mayOffer():
		c.repeat(now, k, e)
	default:
		c.fail(now, k, e)
	}
}

// repeat offers an idempotent call again after a pause, if the budget of retries allows it.
func (c *Core) repeat(now time.Time, k *call, e *fault.Error) {
	k.retries++
	k.before = e
	pause, ok := c.retry.Allow(now, k.retries)
	if !ok || !now.Add(pause).Before(k.deadline) {
		c.fail(now, k, e)
		return
	}
	k.tried = append(k.tried, k.target)
	c.rename(k)
	k.phase = offering
	c.again(now, k, pause)
}

// learn tells the picker how a request went at its target.
func (c *Core) learn(now time.Time, k *call, end *wire.End, failed bool) {
	if k.target == "" {
		return
	}
	o := pick.Outcome{Prompt: k.Prompt, Output: k.tokens, Failed: failed}
	if !k.first.IsZero() {
		o.First = k.first.Sub(k.sent)
		o.Decode = k.last.Sub(k.first)
	}
	if end != nil {
		o.Cached = end.Cached
		if end.Prompt > 0 {
			o.Prompt = end.Prompt
		}
		if end.Output > 0 {
			k.tokens = end.Output
			o.Output = end.Output
		}
	}
	c.picker.Done(now, k.target, o)
}

// Wrote takes in that the handler of a call passed on n bytes of its answer.
func (c *Core) Wrote(id CallID, n ident.Bytes) {
	if k := c.calls[id]; k != nil && k.phase == committed {
		c.tell(k.agent, &wire.Credit{ID: k.attempt, Bytes: n})
	}
}

// fail ends a call without a whole answer.
func (c *Core) fail(now time.Time, k *call, e *fault.Error) {
	if e.Run == fault.NotRun {
		c.withdraw(k)
		c.unclaim(k)
	}
	if e.Run == fault.NotRun && k.before != nil { // the last try did not run, but an earlier one may have
		x := *e
		x.Run, e = k.before.Run, &x
	}
	if e.Retry == 0 && (e.Reason == fault.Shed || e.Reason == fault.Deadline) {
		e.Retry = shedRetry
	}
	c.act(Reply{Call: k.id, Part: Part{Fault: e}})
	if k.headSent {
		c.log(event.Cut, "request", k.attempt, "reason", e.Reason, "run", e.Run.String())
	} else {
		c.log(event.Refused, "request", k.attempt, "reason", e.Reason, "run", e.Run.String())
	}
	c.finish(now, k, string(e.Reason))
}

// finish forgets a call.
func (c *Core) finish(now time.Time, k *call, reason string) {
	delete(c.calls, k.id)
	delete(c.byReq, k.attempt)
	var used ident.Tokens
	if !k.sent.IsZero() && !k.first.IsZero() { // an answer of an earlier send was charged to that send
		used = k.tokens + k.Prompt
	}
	c.quota.Correct(now, k.Account.Name, used-k.Prompt-k.Output)
	c.measure(now, k, reason)
}

func (c *Core) measure(now time.Time, k *call, reason string) {
	if k.resumed { // the request was measured at the router that ran it
		return
	}
	m := Measure{
		Account: k.Account.Name, Service: k.Service.Name, Tier: k.Tier.Rank, Total: now.Sub(k.began),
		Prompt: k.Prompt, Output: k.tokens, Reason: reason, Link: k.link,
	}
	if !k.sent.IsZero() {
		m.Queued = k.sent.Sub(k.began)
	}
	if !k.first.IsZero() {
		m.First = k.first.Sub(k.began)
		m.Good = reason == "" && m.First <= k.Wait
		if reason != "" {
			m.Wasted = k.Prompt
		}
	}
	c.meter.Called(m)
}
