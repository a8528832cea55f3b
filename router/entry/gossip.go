package entry

import (
	"encoding/json"
	"strconv"
	"time"

	"hickoryvane.example/core/active"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/guard"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/member"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/wire"
)

// handleGossip merges the gossip entries of a peer and replies to it.
func (c *Core) handleGossip(now time.Time, from ident.ProcessID, m *wire.Gossip) {
	c.sendGossip(c.gossipTable.Handle(now, from, m))
	c.applyGossip(now)
}

// gossipTick starts a round of gossip when it is due.
func (c *Core) gossipTick(now time.Time) {
	c.sendGossip(c.gossipTable.PushUrgent(now))
	if now.Sub(c.periodic.lastGossip) < facts.RoundInterval {
		return
	}
	c.periodic.lastGossip = now
	counterparts, backup := c.members.Counterparts()
	peers := facts.Peers{Backup: backup}
	for _, id := range counterparts {
		if _, ok := c.linkByProcess[id]; ok {
			peers.OtherRegions = append(peers.OtherRegions, id)
		}
	}
	for id, l := range c.linkByProcess {
		if c.inRegion(c.peers[l].hello.Centre) {
			peers.SameRegion = append(peers.SameRegion, id)
		}
	}
	c.sendGossip(c.gossipTable.Tick(now, peers))
	c.announceDemand(now)
	c.sendHeartbeats(now)
}

// newerConfig returns the configuration in force for a peer that stated an older generation in its handshake, so
// that it need not wait for a round of gossip; an empty message otherwise.
func (c *Core) newerConfig(h wire.Hello) *wire.Gossip {
	m := &wire.Gossip{}
	if h.Generation < c.config.Generation() {
		if e, ok := c.gossipTable.Get(facts.KindConfig, conf.ConfigName); ok {
			m.Entries = append(m.Entries, e)
		}
	}
	return m
}

// sendHeartbeats sends a heartbeat to the other routers, because a round of gossip reaches only a few of them.
func (c *Core) sendHeartbeats(now time.Time) {
	if now.Sub(c.periodic.lastHeartbeat) < heartbeatInterval {
		return
	}
	c.periodic.lastHeartbeat = now
	for l, p := range c.peers {
		if p.hello.Role == string(member.Router) {
			c.send(l, &wire.Gossip{})
		}
	}
}

func (c *Core) inRegion(dc ident.DataCentre) bool {
	x := c.config.Index()
	if x == nil {
		return true
	}
	region, _ := x.Region(dc)
	return region == c.region
}

// announceDemand publishes the demand that this router observes.
func (c *Core) announceDemand(now time.Time) {
	if now.Sub(c.periodic.lastDemand) < demandInterval {
		return
	}
	c.periodic.lastDemand = now
	for _, d := range c.quota.AnnounceDemands(now) {
		if b, err := json.Marshal(d); err == nil {
			c.gossipTable.Set(now, facts.KindDemand, string(d.Account), b)
		}
	}
}

func (c *Core) sendGossip(sends []facts.Envelope) {
	for _, s := range sends {
		c.sendTo(s.To, s.Message)
	}
}

// applyGossip applies the gossip entries that changed.
func (c *Core) applyGossip(now time.Time) {
	for _, e := range c.gossipTable.TakeChanged() {
		switch e.Kind {
		case facts.KindConfig:
			c.mergeConfig(now, e)
		case facts.KindDemand:
			c.mergeDemand(now, e)
		case facts.KindBlock:
			c.mergeGuard(now, e)
		case facts.KindPoison:
			c.mergePoison(now, e)
		case facts.KindBadVersion, facts.KindConclusion, facts.KindEvidence, active.KindRecord:
			c.periodic.rolloutsChanged = true
		case active.KindLoaded:
			c.commands.SetLoaded(ident.TargetID(e.Key), ident.Version(e.Value))
		case active.KindVMList:
			c.mergeList(now, e)
		}
	}
}

func (c *Core) mergeDemand(now time.Time, e wire.GossipEntry) {
	var d quota.Demand
	if e.Origin != c.self && json.Unmarshal(e.Value, &d) == nil {
		c.quota.Merge(now, d)
	}
}

func (c *Core) mergeGuard(now time.Time, e wire.GossipEntry) {
	var g guard.Entry
	if e.Origin == c.self || json.Unmarshal(e.Value, &g) != nil {
		return
	}
	for _, more := range c.guard.Merge(now, g) {
		if b, err := json.Marshal(more); err == nil {
			c.gossipTable.Set(now, facts.KindBlock, more.Key(), b)
			c.log(event.FingerprintBlocked, "print", strconv.FormatUint(uint64(more.Fingerprint), 16))
		}
	}
}

func (c *Core) mergePoison(now time.Time, e wire.GossipEntry) {
	var p poison.Entry
	if e.Origin != c.self && json.Unmarshal(e.Value, &p) == nil {
		c.poison.MergeEntry(now, p)
	}
}

// blocked reports whether requests like this one crashed targets.
func (c *Core) blocked(now time.Time, k *call) bool {
	_, ok := c.poison.Match(now, poison.FeaturesOf(k.Fingerprint, k.Blocks))
	return ok
}

// mergeList applies the newest list of all watchers.
func (c *Core) mergeList(now time.Time, e wire.GossipEntry) {
	if c.periodic.watchingStore {
		return // this router reads the list itself
	}
	if l, err := active.DecodeVMList(e.Value); err == nil && l.ReadAtMillis >= c.periodic.newestListMillis {
		c.periodic.newestListMillis = l.ReadAtMillis
		c.ApplyList(now, l.VMs)
	}
}

// HandleListRead applies the list that this router read from the platform, and publishes it when it changed.
func (c *Core) HandleListRead(now time.Time, list []member.Entry) {
	c.ApplyList(now, list)
	b, err := json.Marshal(list)
	if err != nil || !c.periodic.watchingStore || string(b) == c.periodic.publishedList {
		return
	}
	c.periodic.publishedList = string(b)
	c.gossipTable.Set(now, active.KindVMList, string(c.region), active.VMList{ReadAtMillis: now.UnixMilli(), VMs: list}.Encode())
}

// HandleConfigRead applies a configuration that this router read from the object API.
func (c *Core) HandleConfigRead(now time.Time, value []byte) {
	cfg, err := conf.Decode(value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	result, problems := c.config.OfferFromStore(now, cfg)
	if c.applyConfig(now, cfg, result, problems) {
		c.gossipTable.Set(now, facts.KindConfig, conf.ConfigName, value)
		c.sendGossip(c.gossipTable.PushUrgent(now))
	}
}

// HandleStoreDown handles a failed call of the object API.
func (c *Core) HandleStoreDown(now time.Time) { c.config.SetStoreUnreachable(now) }

// HandleStoreEmpty is called when the object API holds no configuration.
func (c *Core) HandleStoreEmpty() { c.config.SetStoreEmpty() }

func (c *Core) mergeConfig(now time.Time, e wire.GossipEntry) {
	cfg, err := conf.Decode(e.Value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	result, problems := c.config.OfferFromPeer(now, e.Origin, cfg)
	c.applyConfig(now, cfg, result, problems)
}

// applyConfig puts a configuration in force in all parts of this process, and reports whether it was accepted.
func (c *Core) applyConfig(now time.Time, cfg conf.Config, result conf.OfferResult, problems []conf.Problem) bool {
	if len(problems) > 0 {
		c.log(event.ConfigInvalid, "generation", cfg.Generation, "problem", problems[0].String(), "problems", len(problems))
	}
	if result != conf.Accepted {
		c.log(event.ConfigIgnored, "generation", cfg.Generation)
		return false
	}
	c.log(event.ConfigInForce, "generation", cfg.Generation)
	regions := make(member.Regions)
	for _, r := range cfg.Regions {
		for _, dc := range r.Centres {
			regions[dc] = r.Name
		}
	}
	c.members.SetRegions(regions)
	for _, a := range cfg.Accounts {
		c.quota.SetLimit(now, a.Name, quota.Limit{Rate: a.Rate, Burst: a.Burst})
	}
	for id := range c.linkByProcess {
		c.declareTarget(now, id)
	}
	c.performRolloutActions(now, c.rollouts.HandleConfig(now, cfg))
	c.periodic.rolloutsChanged = true
	c.declareCommandTargets(now, cfg)
	c.updateConnections(now)
	return true
}
