package cores_test

import (
	"fmt"
	"time"

	"hickoryvane.example/agent/node"
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/router/entry"
)

// engine is a target that outlives its agent. The engine of a plain service stores no answers.
type engine struct {
	plain bool
	runs  []*execution
}

// execution is one request that was written to a target.
type execution struct {
	id          ident.RequestID
	tag         string
	total, sent int
	nextAt      time.Time
	// boot is the incarnation of the agent that reads the answer.
	boot  ident.Boot
	ended bool
	// failsAfter is the number of parts after which the target fails; negative if it does not fail.
	failsAfter int
}

func (e *engine) start(w *world, j int, r target.Request) {
	if w.rnd.IntN(8) == 0 {
		e.reportOutcome(w, j, r.ID, target.Outcome{Run: fault.NotRun, Reason: fault.Target, ConnectionLost: w.rnd.IntN(2) == 0})
		return
	}
	x := &execution{id: r.ID, tag: string(r.Data), total: 1 + w.rnd.IntN(6), boot: w.agents[j].boot, failsAfter: -1, nextAt: w.now}
	if w.rnd.IntN(8) == 0 {
		x.failsAfter = w.rnd.IntN(x.total)
	}
	if w.rnd.IntN(30) == 0 { // a long prefill
		x.nextAt = w.now.Add(11 * time.Second)
	}
	e.runs = append(e.runs, x)
	w.checker.recordRun(x)
}

// reportOutcome reports an outcome to the current incarnation of the agent.
func (e *engine) reportOutcome(w *world, j int, id ident.RequestID, out target.Outcome) {
	w.agents[j].enqueue(w.now, func(k *node.Core) { k.HandleEnd(w.now, id, out) })
}

func (e *engine) sendPart(w *world, j int, x *execution, n int) {
	p := target.Part{Data: fmt.Appendf(nil, "%s:%d", x.tag, n), Tokens: 1}
	if n == 1 {
		p.Status, p.ContentType, p.Stream = 200, "text/event-stream", true
	}
	w.agents[j].enqueue(w.now, func(k *node.Core) { k.HandlePart(w.now, x.id, p) })
}

// advance sends the parts that are due and ends the executions that are finished.
func (e *engine) advance(w *world, j int) {
	for _, x := range e.runs {
		if x.ended || w.now.Before(x.nextAt) {
			continue
		}
		x.nextAt = w.now.Add(time.Duration(w.rnd.IntN(300)) * time.Millisecond)
		reading := x.boot == w.agents[j].boot
		if x.sent == x.failsAfter || x.sent == x.total {
			x.ended = true
			if reading {
				e.reportOutcome(w, j, x.id, x.outcome())
			}
			continue
		}
		x.sent++
		if reading {
			e.sendPart(w, j, x, x.sent)
		}
	}
}

func (x *execution) outcome() target.Outcome {
	switch {
	case x.sent == x.total:
		return target.Outcome{Complete: true, Run: fault.Ran, Output: ident.Tokens(x.total)}
	case x.sent == 0:
		return target.Outcome{Run: fault.Unknown, Reason: fault.Target, ConnectionLost: true}
	}
	return target.Outcome{Run: fault.Ran, Reason: fault.Target}
}

// resume sends an answer from its first part to a new incarnation of the agent.
func (e *engine) resume(w *world, j int, id ident.RequestID) {
	for _, x := range e.runs {
		if x.id != id || e.plain {
			continue
		}
		x.boot = w.agents[j].boot
		for n := 1; n <= x.sent; n++ {
			e.sendPart(w, j, x, n)
		}
		if x.ended {
			e.reportOutcome(w, j, id, x.outcome())
		}
		return
	}
	e.reportOutcome(w, j, id, target.Outcome{Run: fault.Unknown, Reason: fault.Gone})
}

func (e *engine) stop(w *world, j int, id ident.RequestID) {
	for _, x := range e.runs {
		if x.id == id && !x.ended {
			x.ended = true
			e.reportOutcome(w, j, id, target.Outcome{Run: fault.Ran, Reason: fault.ClientDisconnected})
		}
	}
}

// claimStore is the part of the object API that stores claims.
type claimStore struct {
	claims      map[ident.RequestID]entry.Claim
	unavailable bool
	// lostReplies is the number of further writes that take effect without an answer.
	lostReplies int
}

// createClaim claims a call as the driver of a router does, which never writes twice without reading back the stored
// claim in between.
func (w *world) createClaim(p *proc[*entry.Core], a entry.CreateClaim) {
	res, held := entry.ClaimUnknown, entry.Claim{}
	s := &w.store
	if cur, ok := s.claims[a.ID]; !s.unavailable {
		if !ok && a.Replace == "" || ok && cur.Attempt == a.Replace || w.injected.acceptAllClaims {
			s.claims[a.ID] = a.Claim
		}
		res, held = entry.ClaimHeld, s.claims[a.ID]
		if held.Attempt == a.Claim.Attempt {
			res = entry.ClaimRecorded
		}
		if s.lostReplies > 0 {
			s.lostReplies--
			res, held = entry.ClaimUnknown, entry.Claim{}
		}
	}
	p.enqueue(w.afterRandomDelay(), func(k *entry.Core) { k.HandleClaimResult(w.now, a.Call, a.Claim.Attempt, res, held) })
}
