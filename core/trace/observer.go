package trace

import (
	"cmp"
	"slices"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/queue"
	"hickoryvane.example/core/wire"
)

// firstToken implements observer.
func (a *agent) firstToken(j *job) {
	now, r := a.policy.w.now, a.routerOf[j]
	a.queue.FirstToken(now, j.ID)
	a.timeToFirstToken[j] = now.Sub(a.sentAt[j])
	if r != nil {
		a.policy.w.after(a.latencyTo(r), func() { r.handleFirstToken(j) })
	}
}

// nextToken implements observer.
func (a *agent) nextToken(j *job) { a.queue.Progress(a.policy.w.now, j.ID, 1) }

// finished implements observer.
func (a *agent) finished(j *job, complete bool, cached ident.Tokens) {
	r := a.routerOf[j]
	a.recordOutcome(j, complete, 0)
	if complete {
		a.policy.gossip(a.guard, a.guard.RecordFinish(a.policy.w.now, j.Fingerprint))
	}
	a.release(j, queue.Outcome{Prompt: j.Prompt, Output: j.Output, Cached: cached, Failed: !complete})
	if r != nil {
		a.policy.w.after(a.latencyTo(r), func() { r.handleEnd(j, a, complete, cached) })
	}
}

// crashed implements observer.
func (a *agent) crashed(e *engine, lost []*job) {
	fingerprints := make([]ident.Fingerprint, 0, len(lost))
	for _, j := range lost {
		fingerprints = append(fingerprints, j.Fingerprint)
	}
	a.policy.gossip(a.guard, a.guard.RecordCrash(a.policy.w.now, e.Name, fingerprints))
	for _, j := range lost {
		r := a.routerOf[j]
		a.recordOutcome(j, false, uint64(e.boot))
		a.release(j, queue.Outcome{Failed: true})
		if r != nil {
			a.policy.w.after(a.latencyTo(r), func() { r.handleEnd(j, a, false, 0) })
		}
	}
}

// handleEngineStop refuses the queued offers when the target is down.
func (a *agent) handleEngineStop() {
	f := fault.NotRunf(fault.Target, "target is down")
	f.RetryAfter = refusalRetryDelay
	a.refuseAll(a.queue.Drain(a.policy.w.now, f))
	a.sendReport()
}

func (a *agent) handleEngineRestart() { a.sendReport() }

// sendReport sends a load report to the connected routers.
func (a *agent) sendReport() {
	a.reportSeq++
	m := &wire.Load{
		Target: a.engine.Name, Service: a.engine.Service, Version: a.engine.Version, Seq: a.reportSeq,
		Refusing: a.engine.down || a.rollout != nil && a.rollout.local.Refuses(),
	}
	a.queue.Load().Fill(m)
	for _, r := range a.routers {
		// The agent sends its own queue's load at once; only the delay of a ReportDelay event beyond the engines'
		// normal ReportLag is added.
		extra := a.policy.w.reportLag - a.policy.w.h.ReportLag.Duration()
		a.policy.w.after(a.latencyTo(r)+extra, func() { r.handleLoad(m) })
	}
}

// handleCacheEvent applies a delayed cache event, requests a reset if events were lost, and forwards the event to
// the routers.
func (a *agent) handleCacheEvent(seq ident.Seq, reset bool, added, removed []ident.Block) {
	if !reset && seq != a.lastCacheSeq+1 {
		a.cachedBlocks = map[ident.Block]bool{}
		a.policy.w.sendCacheReset(a.engine)
	}
	if reset {
		a.cachedBlocks = map[ident.Block]bool{}
	}
	a.lastCacheSeq = max(a.lastCacheSeq, seq)
	for _, b := range added {
		a.cachedBlocks[b] = true
	}
	for _, b := range removed {
		delete(a.cachedBlocks, b)
	}
	m := &wire.Cache{Target: a.engine.Name, Seq: seq, Reset: reset, Added: added, Removed: removed}
	for _, r := range a.routers {
		a.policy.w.after(a.latencyTo(r), func() { r.picker.ApplyCache(m) })
	}
}

func (a *agent) cachedTokens(j *job) (n ident.Tokens) {
	for _, b := range j.blocks {
		if !a.cachedBlocks[b] {
			break
		}
		n += blockTokens
	}
	return min(n, j.Prompt-1)
}

// sendCacheReset sends a reset event with all blocks of an engine's cache.
func (w *world) sendCacheReset(e *engine) {
	var all []ident.Block
	for x := e.cache.lru.Back(); x != nil; x = x.Prev() {
		all = append(all, x.Value.(ident.Block))
	}
	slices.SortFunc(all, cmp.Compare[ident.Block])
	w.sendCacheEvent(e, true, all, nil)
}
