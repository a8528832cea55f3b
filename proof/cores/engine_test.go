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

// engine is a target that outlives its agent. A plain service keeps no answers.
type engine struct {
	plain bool
	runs  []*execution
}

// execution is one request that was written to a target.
type execution struct {
	id          ident.RequestID
	tag         string
	total, made int
	next        time.Time
	// boot is the run of the agent that reads the answer.
	boot  ident.Boot
	ended bool
	// fails is the number of parts after which the target fails; negative if it does not.
	fails int
}

func (e *engine) start(w *world, j int, r target.Request) {
	if w.rnd.IntN(8) == 0 {
		e.end(w, j, r.ID, target.Outcome{Run: fault.NotRun, Reason: fault.Target, ConnectionLost: w.rnd.IntN(2) == 0})
		return
	}
	x := &execution{id: r.ID, tag: string(r.Data), total: 1 + w.rnd.IntN(6), boot: w.agents[j].boot, fails: -1, next: w.now}
	if w.rnd.IntN(8) == 0 {
		x.fails = w.rnd.IntN(x.total)
	}
	if w.rnd.IntN(30) == 0 { // a long prefill
		x.next = w.now.Add(11 * time.Second)
	}
	e.runs = append(e.runs, x)
	w.book.write(x)
}

// end reports an outcome to the agent that runs now.
func (e *engine) end(w *world, j int, id ident.RequestID, out target.Outcome) {
	w.agents[j].put(w.now, func(k *node.Core) { k.HandleEnd(w.now, id, out) })
}

func (e *engine) part(w *world, j int, x *execution, n int) {
	p := target.Part{Data: fmt.Appendf(nil, "%s:%d", x.tag, n), Tokens: 1}
	if n == 1 {
		p.Status, p.ContentType, p.Stream = 200, "text/event-stream", true
	}
	w.agents[j].put(w.now, func(k *node.Core) { k.HandlePart(w.now, x.id, p) })
}

// run lets the target work.
func (e *engine) run(w *world, j int) {
	for _, x := range e.runs {
		if x.ended || w.now.Before(x.next) {
			continue
		}
		x.next = w.now.Add(time.Duration(w.rnd.IntN(300)) * time.Millisecond)
		read := x.boot == w.agents[j].boot
		if x.made == x.fails || x.made == x.total {
			x.ended = true
			if read {
				e.end(w, j, x.id, x.outcome())
			}
			continue
		}
		x.made++
		if read {
			e.part(w, j, x, x.made)
		}
	}
}

func (x *execution) outcome() target.Outcome {
	switch {
	case x.made == x.total:
		return target.Outcome{Complete: true, Run: fault.Ran, Output: ident.Tokens(x.total)}
	case x.made == 0:
		return target.Outcome{Run: fault.Unknown, Reason: fault.Target, ConnectionLost: true}
	}
	return target.Outcome{Run: fault.Ran, Reason: fault.Target}
}

// resume reads an answer from its first part for a new run of the agent.
func (e *engine) resume(w *world, j int, id ident.RequestID) {
	for _, x := range e.runs {
		if x.id != id || e.plain {
			continue
		}
		x.boot = w.agents[j].boot
		for n := 1; n <= x.made; n++ {
			e.part(w, j, x, n)
		}
		if x.ended {
			e.end(w, j, id, x.outcome())
		}
		return
	}
	e.end(w, j, id, target.Outcome{Run: fault.Unknown, Reason: fault.Gone})
}

func (e *engine) stop(w *world, j int, id ident.RequestID) {
	for _, x := range e.runs {
		if x.id == id && !x.ended {
			x.ended = true
			e.end(w, j, id, target.Outcome{Run: fault.Ran, Reason: fault.ClientDisconnected})
		}
	}
}

// objects is the part of the object API that holds claims.
type objects struct {
	held map[ident.RequestID]entry.Claim
	out  bool
	// lose counts writes that take effect without an answer.
	lose int
}

// create claims a call as the driver of a router does: it never writes twice without reading back.
func (w *world) create(p *proc[*entry.Core], a entry.CreateClaim) {
	res, held := entry.ClaimUnknown, entry.Claim{}
	s := &w.store
	if cur, ok := s.held[a.ID]; !s.out {
		if !ok && a.Replace == "" || ok && cur.Attempt == a.Replace || w.plant.blind {
			s.held[a.ID] = a.Claim
		}
		res, held = entry.ClaimHeld, s.held[a.ID]
		if held.Attempt == a.Claim.Attempt {
			res = entry.ClaimRecorded
		}
		if s.lose > 0 {
			s.lose--
			res, held = entry.ClaimUnknown, entry.Claim{}
		}
	}
	p.put(w.late(), func(k *entry.Core) { k.HandleClaimResult(w.now, a.Call, a.Claim.Attempt, res, held) })
}
