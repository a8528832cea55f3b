package node

import (
	"time"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/wire"
)

// cacheBlocksMax bounds the blocks in one cache report, so that it fits into a frame.
const cacheBlocksMax = 4096

// reportState is the state of load and cache reports.
type reportState struct {
	seq    ident.Seq
	sentAt time.Time
	// due is true after a change that routers should learn of before reportIntervalMax has passed.
	due bool
	// cacheSeq numbers cache reports; cacheBlocks holds the blocks reported as cached.
	cacheSeq    ident.Seq
	cacheBlocks map[ident.Block]struct{}
}

// reportTick sends a load report when one is due.
func (c *Core) reportTick(now time.Time) {
	age := now.Sub(c.report.sentAt)
	if !c.configured || age < reportSpacing || (!c.report.due && age < reportIntervalMax) {
		return
	}
	c.report.sentAt, c.report.due = now, false
	c.report.seq++
	l := &wire.Load{
		Target: c.decl.Name, Service: c.decl.Service, Version: c.decl.Version, Seq: c.report.seq,
		Draining: c.vmLeaving || !c.drainStart.IsZero(),
		Refusing: !c.targetUp || c.runsOtherVersion() || c.rollout.refuses(),
	}
	c.queue.Load().Fill(l)
	c.broadcast(l)
}

// broadcast sends m to all connected routers.
func (c *Core) broadcast(m wire.Message) {
	for p, peer := range c.peers {
		if peer.hello.Role == string(member.Router) {
			c.send(p, m)
		}
	}
}

// HandleCacheEvents applies cache events of the target in their order and reports them to the routers.
func (c *Core) HandleCacheEvents(events []target.CacheEvent) {
	m := &wire.Cache{Target: c.decl.Name}
	for _, e := range events {
		m.Added = append(m.Added, e.Added...)
		m.Removed = append(m.Removed, e.Removed...)
	}
	if c.report.cacheBlocks == nil {
		c.report.cacheBlocks = make(map[ident.Block]struct{})
	}
	for _, b := range m.Added {
		c.report.cacheBlocks[b] = struct{}{}
	}
	for _, b := range m.Removed {
		delete(c.report.cacheBlocks, b)
	}
	if len(m.Added)+len(m.Removed) > cacheBlocksMax {
		c.broadcastCache()
		return
	}
	c.report.cacheSeq++
	m.Seq = c.report.cacheSeq
	c.broadcast(m)
}

// HandleCacheContents replaces the known contents of the target's prefix cache, after events were lost.
func (c *Core) HandleCacheContents(blocks []ident.Block) {
	c.report.cacheBlocks = make(map[ident.Block]struct{}, len(blocks))
	for _, b := range blocks {
		c.report.cacheBlocks[b] = struct{}{}
	}
	c.broadcastCache()
}

// broadcastCache sends the known contents of the cache to all connected routers.
func (c *Core) broadcastCache() {
	c.report.cacheSeq++
	for p, peer := range c.peers {
		if peer.hello.Role == string(member.Router) {
			c.sendCache(p)
		}
	}
}

// sendCache sends the known contents of the cache to one peer: at most cacheBlocksMax of its blocks, in arbitrary order.
func (c *Core) sendCache(p answer.Peer) {
	if !c.configured || c.report.cacheSeq == 0 {
		return
	}
	m := &wire.Cache{Target: c.decl.Name, Seq: c.report.cacheSeq, Reset: true}
	for b := range c.report.cacheBlocks {
		if len(m.Added) == cacheBlocksMax {
			break
		}
		m.Added = append(m.Added, b)
	}
	c.send(p, m)
}
