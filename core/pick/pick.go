// Package pick chooses the targets to which a router offers a request.
package pick

import (
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

const (
	// OffersMax is the number of targets chosen per request.
	OffersMax = 2
	// samples is the number of random members compared per request; with it the cost of a choice does
	// not depend on the number of targets.
	samples = 4
	// farSamples is the number of random members of the other region, while the own one has any.
	remoteSamples = 1
	// Lag is the time before a report's receipt within which an offer may not be counted in it: one
	// round trip and the agent's own delay.
	ReportLag = 20 * time.Millisecond
)

// Picker holds what one router knows of its targets. It is not safe for concurrent use.
type Picker struct {
	rnd             *rand.Rand
	region          ident.Region
	reportLag       time.Duration
	blocksMax       int
	linkPricePerMiB time.Duration
	link            link
	targets         map[ident.TargetID]*target
	pools           map[poolKey]*pool
}

// Option changes a limit of a Picker.
type Option func(*Picker)

// WithLag sets the time before a report within which offers are not taken as counted in it.
func WithReportLag(d time.Duration) Option { return func(p *Picker) { p.reportLag = d } }

// WithBlocks sets the largest number of cached blocks remembered per target.
func WithBlocksMax(n int) Option { return func(p *Picker) { p.blocksMax = n } }

// WithPrice sets the time that a mebibyte over the region link is worth.
func WithLinkPrice(perMiB time.Duration) Option {
	return func(p *Picker) { p.linkPricePerMiB = perMiB }
}

// WithLink sets the request traffic that this router may send over the region link, in bytes per second,
// and the bytes that it may send at once.
func WithLink(rate, burst ident.Bytes) Option {
	return func(p *Picker) { p.link.rate, p.link.burst, p.link.level = rate, burst, float64(burst) }
}

// New returns a picker without targets for a router in the given region.
func New(rnd *rand.Rand, region ident.Region, opts ...Option) *Picker {
	p := &Picker{
		rnd:             rnd,
		region:          region,
		reportLag:       ReportLag,
		blocksMax:       BlocksMax,
		linkPricePerMiB: LinkPricePerMiB,
		link:            newLink(),
		targets:         map[ident.TargetID]*target{},
		pools:           map[poolKey]*pool{},
	}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Put adds a target or changes its declaration. A target that was known keeps what was learnt of it.
func (p *Picker) Put(_ time.Time, t Target) {
	old := p.targets[t.ID]
	if old == nil {
		old = &target{trust: 1, cache: newCache(p.blocksMax), lowestWaitingTier: noTierWaiting}
		p.targets[t.ID] = old
	} else {
		p.removeFromPool(old)
	}
	old.Target = t
	p.addToPool(old)
}

// Drop removes a target.
func (p *Picker) Drop(id ident.TargetID) {
	if t := p.targets[id]; t != nil {
		p.removeFromPool(t)
		delete(p.targets, id)
	}
}

// Suspect excludes a target while its agent is suspected, lost or leaving, and admits it again gently.
func (p *Picker) SetSuspected(_ time.Time, id ident.TargetID, suspected bool) {
	if t := p.targets[id]; t != nil {
		t.suspected = suspected
		p.updateListing(t)
	}
}

// Refused excludes a target for the given time after its agent refused an offer.
func (p *Picker) RecordRefusal(now time.Time, id ident.TargetID, d time.Duration) {
	if t := p.targets[id]; t != nil && d > 0 {
		t.excludedUntil = now.Add(d)
	}
}

// Restarted forgets the reports of a target whose agent started anew, so that numbers may start at 1.
func (p *Picker) RecordRestart(_ time.Time, id ident.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.reportSeq, t.running, t.runningTokens, t.window, t.uncounted = 0, 0, 0, 0, t.uncounted[:0]
	t.waitingTokens, t.lowestWaitingTier = t.waitingTokens[:0], noTierWaiting
	t.trust = min(t.trust, trustReadmitted)
	t.pool.removeFromIndex(t)
	t.cache.reset()
	t.cache.seq = 0
}

// Load takes in a load report. Reports with an old sequence number are ignored.
func (p *Picker) ApplyLoad(now time.Time, l *wire.Load) {
	t := p.targets[l.Target]
	if t == nil || l.Seq <= t.reportSeq {
		return
	}
	t.applyReport(now.Add(-p.reportLag), l)
	if l.Version != "" && l.Version != t.Version {
		p.removeFromPool(t)
		t.Version = l.Version
		p.addToPool(t)
	}
	t.pool.updateTypicalRates(l)
	p.updateListing(t)
}

// Cache takes in a report about a prefix cache. After a gap nothing is trusted until a reset.
func (p *Picker) ApplyCache(c *wire.Cache) {
	t := p.targets[c.Target]
	if t == nil || c.Seq <= t.cache.seq {
		return
	}
	gap := c.Seq != t.cache.seq+1
	t.cache.seq = c.Seq
	if c.Reset || gap {
		t.pool.removeFromIndex(t)
		t.cache.reset()
		t.cache.trusted = c.Reset
	}
	if t.cache.trusted {
		t.pool.applyCache(t, c)
	}
}

// Sent records an offer to a target.
func (p *Picker) RecordOffer(now time.Time, id ident.TargetID, r *Request) {
	if t := p.targets[id]; t != nil {
		t.addOffer(sentOffer{id: r.ID, sentAt: now, tier: r.Tier, tokens: r.Prompt + r.Output})
	}
}

// Withdrawn records that an offer was taken back or refused.
func (p *Picker) RecordWithdrawal(id ident.TargetID, r ident.RequestID) {
	if t := p.targets[id]; t != nil {
		t.removeOffer(r)
	}
}

// Crossed charges bytes to the budget of the region link.
func (p *Picker) ChargeLink(now time.Time, n ident.Bytes) { p.link.charge(now, n) }

// Done learns from the end of a request.
func (p *Picker) RecordOutcome(_ time.Time, id ident.TargetID, o Outcome) {
	if t := p.targets[id]; t != nil {
		t.recordOutcome(o)
	}
}
