package node

import (
	"encoding/json"
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/facts"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/poison"
	"hickoryvane.example/core/wire"
)

// passTime is the time from the first part of an answer after which its request has not crashed the target.
const passTime = 500 * time.Millisecond

// features returns what a request may have in common with others that crash targets.
func features(m *wire.Offer) []ident.Fingerprint { return poison.FeaturesOf(m.Fingerprint, m.Blocks) }

// blocked reports whether requests like this one crashed targets.
func (c *Core) blocked(now time.Time, m *wire.Offer) bool {
	_, ok := c.poison.Match(now, features(m))
	return ok
}

// recordPoisonCrash records which requests ran when the target crashed.
func (c *Core) recordPoisonCrash(now time.Time) {
	crash := poison.Crash{Target: c.decl.Name, At: now}
	for _, o := range c.offers {
		if o.phase == running && !o.adopted {
			late := !o.firstPartAt.IsZero() && now.Sub(o.firstPartAt) >= passTime
			crash.Requests = append(crash.Requests, poison.Request{Features: features(&o.Offer), Late: late})
		}
	}
	c.poison.RecordCrash(crash)
	c.publishPoison(now, poison.Entry{Crash: &crash})
}

// recordPoisonPass records that a request ended without a crash, and tells the others if it was suspected.
func (c *Core) recordPoisonPass(now time.Time, o *offer) {
	all := features(&o.Offer)
	accused := c.poison.Accused(all)
	c.poison.RecordPass(now, all)
	for _, f := range accused {
		c.publishPoison(now, poison.Entry{Pass: &poison.Pass{Feature: f, At: now}})
	}
}

// updateBlocks derives blocks from the crashes that are known.
func (c *Core) updateBlocks(now time.Time) {
	blocked, lifted := c.poison.Step(now)
	for _, b := range blocked {
		c.log(event.RequestsBlocked, "prints", b.Features, "until", b.Until.Sub(now), "own", b.Own)
		c.publishPoison(now, poison.Entry{Block: &b})
	}
	for _, b := range lifted {
		c.log(event.BlockLifted, "prints", b.Features, "after", now.Sub(b.At))
	}
}

func (c *Core) publishPoison(now time.Time, e poison.Entry) {
	b, err := json.Marshal(e)
	if err != nil {
		return
	}
	c.gossipTable.Set(now, facts.KindPoison, e.Key(), b)
	c.sendEntries(c.gossipTable.PushUrgent(now))
}

func (c *Core) mergePoison(now time.Time, f wire.GossipEntry) {
	var e poison.Entry
	if f.Origin == c.self || json.Unmarshal(f.Value, &e) != nil {
		return
	}
	c.poison.MergeEntry(now, e)
}
