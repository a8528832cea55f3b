package trace

import (
	"cmp"
	"slices"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

// first implements observer.
func (a *agent) first(j *job) {
	now, r := a.l.w.now, a.from[j]
	a.queue.FirstToken(now, j.ID)
	a.firsts[j] = now.Sub(a.sent[j])
	if r != nil {
		a.l.w.after(a.to(r), func() { r.firstToken(j) })
	}
}

// token implements observer.
func (a *agent) token(j *job) { a.queue.Progress(a.l.w.now, j.ID, 1) }

// finished implements observer.
func (a *agent) finished(j *job, whole bool, cached ident.Tokens) {
	r := a.from[j]
	a.evidence(j, whole, 0)
	if whole {
		a.l.spread(a.guard, a.guard.RecordFinish(a.l.w.now, j.Print))
	}
	a.done(j, queue.Outcome{Prompt: j.Prompt, Output: j.Output, Cached: cached, Failed: !whole})
	if r != nil {
		a.l.w.after(a.to(r), func() { r.finished(j, a, whole, cached) })
	}
}

// crashed implements observer.
func (a *agent) crashed(e *engine, lost []*job) {
	prints := make([]ident.Fingerprint, 0, len(lost))
	for _, j := range lost {
		prints = append(prints, j.Print)
	}
	a.l.spread(a.guard, a.guard.RecordCrash(a.l.w.now, e.Name, prints))
	for _, j := range lost {
		r := a.from[j]
		a.evidence(j, false, uint64(e.boot))
		a.done(j, queue.Outcome{Failed: true})
		if r != nil {
			a.l.w.after(a.to(r), func() { r.finished(j, a, false, 0) })
		}
	}
}

// stopped gives back the waiting offers of a target that is down.
func (a *agent) stopped() {
	f := fault.NotRunf(fault.Target, "target is down")
	f.RetryAfter = refusedRetry
	a.refuseAll(a.queue.Drain(a.l.w.now, f))
	a.report()
}

func (a *agent) restarted() { a.report() }

// report sends a load report to the routers that are connected.
func (a *agent) report() {
	a.seq++
	m := &wire.Load{
		Target: a.e.Name, Service: a.e.Service, Version: a.e.Version, Seq: a.seq,
		Refusing: a.e.down || a.trial != nil && a.trial.local.Refuses(),
	}
	a.queue.Load().Fill(m)
	for _, r := range a.routers {
		// The reports of agents are as late as the trace states beyond the normal lag of engines.
		extra := a.l.w.lag - a.l.w.h.Lag.Duration()
		a.l.w.after(a.to(r)+extra, func() { r.load(m) })
	}
}

// cacheEvent takes a late cache event, asks for a reset after a gap, and passes it on.
func (a *agent) cacheEvent(seq ident.Seq, reset bool, added, removed []ident.Block) {
	if !reset && seq != a.seen+1 {
		a.known = map[ident.Block]bool{}
		a.l.w.resync(a.e)
	}
	if reset {
		a.known = map[ident.Block]bool{}
	}
	a.seen = max(a.seen, seq)
	for _, b := range added {
		a.known[b] = true
	}
	for _, b := range removed {
		delete(a.known, b)
	}
	m := &wire.Cache{Target: a.e.Name, Seq: seq, Reset: reset, Added: added, Removed: removed}
	for _, r := range a.routers {
		a.l.w.after(a.to(r), func() { r.picker.ApplyCache(m) })
	}
}

func (a *agent) cachedTokens(j *job) (n ident.Tokens) {
	for _, b := range j.blocks {
		if !a.known[b] {
			break
		}
		n += blockTokens
	}
	return min(n, j.Prompt-1)
}

// resync sends the whole state of an engine's cache.
func (w *world) resync(e *engine) {
	var all []ident.Block
	for x := e.cache.order.Back(); x != nil; x = x.Prev() {
		all = append(all, x.Value.(ident.Block))
	}
	slices.SortFunc(all, cmp.Compare[ident.Block])
	w.cached(e, true, all, nil)
}
