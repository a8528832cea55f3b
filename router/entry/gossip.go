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
	"hickoryvane.example/core/quota"
	"hickoryvane.example/core/wire"
)

// gossip merges facts of a peer and answers it.
func (c *Core) gossip(now time.Time, from ident.ProcessID, m *wire.Gossip) {
	c.sendFacts(c.facts.Handle(now, from, m))
	c.absorb(now)
}

// gossipTick starts a round of gossip when it is due.
func (c *Core) gossipTick(now time.Time) {
	c.sendFacts(c.facts.PushUrgent(now))
	if now.Sub(c.tasks.facts) < facts.RoundInterval {
		return
	}
	c.tasks.facts = now
	far, backup := c.member.Counterparts()
	peers := facts.Peers{Backup: backup}
	for _, id := range far {
		if _, ok := c.byID[id]; ok {
			peers.OtherRegions = append(peers.OtherRegions, id)
		}
	}
	for id, l := range c.byID {
		if c.near(c.peers[l].hello.Centre) {
			peers.SameRegion = append(peers.SameRegion, id)
		}
	}
	c.sendFacts(c.facts.Tick(now, peers))
	c.announce(now)
	c.beat(now)
}

// newer returns the configuration in force for a peer that said at its handshake that it has an older one,
// so that it need not wait for a round of gossip; an empty message otherwise.
func (c *Core) newer(h wire.Hello) *wire.Gossip {
	m := &wire.Gossip{}
	if h.Generation < c.force.Generation() {
		if f, ok := c.facts.Get(facts.KindConfig, conf.ConfigName); ok {
			m.Entries = append(m.Entries, f)
		}
	}
	return m
}

// beat sends a sign of life to the other routers, as a round of gossip reaches only a few of them.
func (c *Core) beat(now time.Time) {
	if now.Sub(c.tasks.beat) < beatTime {
		return
	}
	c.tasks.beat = now
	for l, p := range c.peers {
		if p.hello.Role == string(member.Router) {
			c.send(l, &wire.Gossip{})
		}
	}
}

func (c *Core) near(dc ident.DataCentre) bool {
	x := c.force.Index()
	if x == nil {
		return true
	}
	region, _ := x.Region(dc)
	return region == c.region
}

// announce spreads the demand that this router sees.
func (c *Core) announce(now time.Time) {
	if now.Sub(c.tasks.demand) < demandTime {
		return
	}
	c.tasks.demand = now
	for _, d := range c.quota.Demands(now) {
		if b, err := json.Marshal(d); err == nil {
			c.facts.Set(now, facts.KindDemand, string(d.Account), b)
		}
	}
}

func (c *Core) sendFacts(sends []facts.Envelope) {
	for _, s := range sends {
		c.tell(s.To, s.Message)
	}
}

// absorb takes in what gossip brought.
func (c *Core) absorb(now time.Time) {
	for _, f := range c.facts.TakeChanged() {
		switch f.Kind {
		case facts.KindConfig:
			c.configure(now, f)
		case facts.KindDemand:
			c.mergeDemand(now, f)
		case facts.KindBlock:
			c.mergeGuard(now, f)
		case facts.KindBadVersion, facts.KindConclusion, facts.KindEvidence, active.SortRecord:
			c.tasks.dirty = true
		case active.SortLoaded:
			c.orders.Reported(ident.TargetID(f.Key), ident.Version(f.Value))
		case active.SortList:
			c.mergeList(now, f)
		}
	}
}

func (c *Core) mergeDemand(now time.Time, f wire.GossipEntry) {
	var d quota.Demand
	if f.Origin != c.self && json.Unmarshal(f.Value, &d) == nil {
		c.quota.Merge(now, d)
	}
}

func (c *Core) mergeGuard(now time.Time, f wire.GossipEntry) {
	var g guard.Fact
	if f.Origin == c.self || json.Unmarshal(f.Value, &g) != nil {
		return
	}
	for _, more := range c.guard.Merge(now, g) {
		if b, err := json.Marshal(more); err == nil {
			c.facts.Set(now, facts.KindBlock, more.Key(), b)
			c.log(event.Blocked, "print", strconv.FormatUint(uint64(more.Print), 16))
		}
	}
}

// mergeList takes the newest list of all watchers.
func (c *Core) mergeList(now time.Time, f wire.GossipEntry) {
	if c.tasks.watching {
		return // this router reads the list itself
	}
	if l, err := active.DecodeList(f.Value); err == nil && l.At >= c.tasks.listAt {
		c.tasks.listAt = l.At
		c.Listed(now, l.List)
	}
}

// ListRead takes in the list that this router read from the platform, and spreads it when it changed.
func (c *Core) ListRead(now time.Time, list []member.Entry) {
	c.Listed(now, list)
	b, err := json.Marshal(list)
	if err != nil || !c.tasks.watching || string(b) == c.tasks.list {
		return
	}
	c.tasks.list = string(b)
	c.facts.Set(now, active.SortList, string(c.region), active.List{At: now.UnixMilli(), List: list}.Encode())
}

// ConfigRead takes in a configuration that this router read from the object API.
func (c *Core) ConfigRead(now time.Time, value []byte) {
	cfg, err := conf.Decode(value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	v, problems := c.force.FromStore(now, cfg)
	if c.accept(now, cfg, v, problems) {
		c.facts.Set(now, facts.KindConfig, conf.ConfigName, value)
		c.sendFacts(c.facts.PushUrgent(now))
	}
}

// StoreDown takes in that a call of the object API failed.
func (c *Core) StoreDown(now time.Time) { c.force.StoreOut(now) }

// StoreEmpty takes in that the object API holds no configuration.
func (c *Core) StoreEmpty() { c.force.StoreEmpty() }

func (c *Core) configure(now time.Time, f wire.GossipEntry) {
	cfg, err := conf.Decode(f.Value)
	if err != nil {
		c.log(event.ConfigInvalid, "error", err)
		return
	}
	v, problems := c.force.FromPeer(now, f.Origin, cfg)
	c.accept(now, cfg, v, problems)
}

// accept puts a configuration in force everywhere in this process.
func (c *Core) accept(now time.Time, cfg conf.Config, v conf.Verdict, problems []conf.Problem) bool {
	if len(problems) > 0 {
		c.log(event.ConfigInvalid, "generation", cfg.Generation, "problem", problems[0].String(), "problems", len(problems))
	}
	if v != conf.Accepted {
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
	c.member.SetRegions(regions)
	for _, a := range cfg.Accounts {
		c.quota.Set(now, a.Name, quota.Limit{Rate: a.Rate, Burst: a.Burst})
	}
	for id := range c.byID {
		c.declare(now, id)
	}
	c.publish(now, c.moves.Configure(now, cfg))
	c.tasks.dirty = true
	c.declareOrders(now, cfg)
	c.connect(now)
	return true
}
