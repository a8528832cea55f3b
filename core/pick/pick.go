// Package pick chooses the targets to which a router offers a request: of a few random targets and those that hold
// the prompt in their prefix caches, the ones with the shortest expected time to the first token. A router in front
// of agents (router/entry) has one Picker and passes it the load and cache reports of the agents and the outcomes
// of requests.
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
	// samples is the number of random targets of the pool compared per request; it makes the cost of a choice
	// independent of the number of targets.
	samples = 4
	// remoteSamples is the number of random targets of other regions compared while the router's region has a
	// candidate.
	remoteSamples = 1
	// ReportLag is the time before the receipt of a report within which an offer may not yet be included in it:
	// one round trip plus the agent's delay.
	ReportLag = 20 * time.Millisecond
)

// Picker holds the state that one router knows of its targets. It is not safe for concurrent use.
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

// WithReportLag sets the time before the receipt of a report within which offers count as not included in it.
func WithReportLag(d time.Duration) Option { return func(p *Picker) { p.reportLag = d } }

// WithBlocksMax sets the largest number of cached blocks recorded per target.
func WithBlocksMax(n int) Option { return func(p *Picker) { p.blocksMax = n } }

// WithLinkPrice sets the latency that one mebibyte over the region link has to save.
func WithLinkPrice(perMiB time.Duration) Option {
	return func(p *Picker) { p.linkPricePerMiB = perMiB }
}

// WithLink sets the traffic that this router may send over the region link, in bytes per second, and the
// bytes that it may send at once.
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

// Put adds a target or changes its declaration. A known target keeps its learnt state.
func (p *Picker) Put(_ time.Time, t Target) {
	old := p.targets[t.ID]
	if old == nil {
		old = &target{trust: 1, cache: newCache(p.blocksMax), lowestWaitingTier: noneWaiting}
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

// SetSuspected excludes a target while its agent is suspected to have failed, is lost or is leaving. A readmitted
// target starts with reduced trust.
func (p *Picker) SetSuspected(_ time.Time, id ident.TargetID, suspected bool) {
	if t := p.targets[id]; t != nil {
		t.suspected = suspected
		p.updateListing(t)
	}
}

// RecordRefusal excludes a target for the given time after its agent refused an offer.
func (p *Picker) RecordRefusal(now time.Time, id ident.TargetID, d time.Duration) {
	if t := p.targets[id]; t != nil && d > 0 {
		t.excludedUntil = now.Add(d)
	}
}

// RecordRestart discards the reports of a target whose agent restarted, because sequence numbers start at 1 again.
func (p *Picker) RecordRestart(_ time.Time, id ident.TargetID) {
	t := p.targets[id]
	if t == nil {
		return
	}
	t.reportSeq, t.running, t.runningTokens, t.window, t.uncounted = 0, 0, 0, 0, t.uncounted[:0]
	t.waitingTokens, t.lowestWaitingTier = t.waitingTokens[:0], noneWaiting
	t.trust = min(t.trust, trustReadmitted)
	t.pool.removeFromIndex(t)
	t.cache.Reset()
	t.cache.seq = 0
}

// ApplyLoad applies a load report. Reports with an old sequence number are ignored.
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

// ApplyCache applies a report about a prefix cache. After a gap in the sequence, reports are ignored until a reset.
func (p *Picker) ApplyCache(c *wire.Cache) {
	t := p.targets[c.Target]
	if t == nil || c.Seq <= t.cache.seq {
		return
	}
	gap := c.Seq != t.cache.seq+1
	t.cache.seq = c.Seq
	if c.Reset || gap {
		t.pool.removeFromIndex(t)
		t.cache.Reset()
		t.cache.trusted = c.Reset
	}
	if t.cache.trusted {
		t.pool.applyCache(t, c)
	}
}

// RecordOffer records an offer sent to a target.
func (p *Picker) RecordOffer(now time.Time, id ident.TargetID, r *Request) {
	if t := p.targets[id]; t != nil {
		t.addOffer(sentOffer{id: r.ID, sentAt: now, tier: r.Tier, tokens: r.Prompt + r.Output})
	}
}

// RecordWithdrawal records that an offer was withdrawn or refused.
func (p *Picker) RecordWithdrawal(id ident.TargetID, r ident.RequestID) {
	if t := p.targets[id]; t != nil {
		t.removeOffer(r)
	}
}

// ChargeLink charges bytes to the budget of the region link.
func (p *Picker) ChargeLink(now time.Time, n ident.Bytes) { p.link.charge(now, n) }

// RecordOutcome updates the trust and the learnt prefill rate of a target after a request.
func (p *Picker) RecordOutcome(_ time.Time, id ident.TargetID, o Outcome) {
	if t := p.targets[id]; t != nil {
		t.recordOutcome(o)
	}
}
