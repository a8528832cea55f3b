package lease

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Forward is the action to give an order to the target now. Check is true when the target checks the
// fencing number, which then travels with the order.
type Forward struct {
	Order wire.Command
	Check bool
}

// Fence is the check of orders beside one target. Its memory is lost with the agent; a new agent
// obeys nothing before it has read the lease. It is not safe for concurrent use.
type Fence struct {
	// checks is true when the target refuses old fencing numbers itself.
	checks bool
	// highest is the highest fencing number known per lease; a lease is absent before it was read.
	highest map[string]ident.Fence
	// given holds the last orders that were forwarded, so that a repeated message has no effect.
	given []ident.RequestID
	// waiting holds accepted orders that are not forwarded yet, with the end of their validity.
	waiting map[ident.RequestID]pending
}

type pending struct {
	order wire.Command
	until time.Time
}

const (
	// waitingMax bounds the accepted orders that are not forwarded yet.
	waitingMax = 64
	// givenMax bounds the forwarded orders that are remembered.
	givenMax = 256
)

// NewFence returns the check for a target; checks tells whether the target checks numbers itself.
func NewFence(checks bool) *Fence {
	return &Fence{checks: checks, highest: map[string]ident.Fence{}, waiting: map[ident.RequestID]pending{}}
}

// Ready reports whether the lease was read after the start.
func (f *Fence) Ready(lease string) bool { _, ok := f.highest[lease]; return ok }

// Read takes the record of a lease that was read from the store after the start of the agent. A
// lease that does not exist is the zero record.
func (f *Fence) Read(lease string, r Record) { f.highest[lease] = max(f.highest[lease], r.Fence) }

// Learn takes a fencing number heard otherwise, for example as a fact. It does not replace Read.
func (f *Fence) Learn(lease string, n ident.Fence) {
	if h, ok := f.highest[lease]; ok {
		f.highest[lease] = max(h, n)
	}
}

// Order accepts or refuses an order on arrival. A refusal is returned; after acceptance the caller
// prepares the target and calls Send.
func (f *Fence) Order(now time.Time, o *wire.Command) *wire.CommandReply {
	h, ok := f.highest[o.Lease]
	switch {
	case !ok:
		return f.refuse(o, "lease was not read since the start of the agent")
	case o.Fence < h:
		return f.refuse(o, "fencing number is old")
	case o.ValidMillis <= 0:
		return f.refuse(o, "lease has expired")
	case slices.Contains(f.given, o.ID):
		return f.refuse(o, "order was given before")
	case len(f.waiting) >= waitingMax:
		return f.refuse(o, "too many orders wait")
	}
	f.highest[o.Lease] = o.Fence
	f.waiting[o.ID] = pending{order: *o, until: now.Add(time.Duration(o.ValidMillis) * time.Millisecond)}
	return nil
}

// Send checks an accepted order again, at the last moment before it is written to the target.
// Exactly one of the results is set.
func (f *Fence) Send(now time.Time, id ident.RequestID) (*Forward, *wire.CommandReply) {
	p, ok := f.waiting[id]
	if !ok {
		return nil, &wire.CommandReply{ID: id, Detail: "order is not known"}
	}
	delete(f.waiting, id)
	if p.order.Fence < f.highest[p.order.Lease] {
		return nil, f.refuse(&p.order, "fencing number is old")
	}
	if !now.Before(p.until) {
		return nil, f.refuse(&p.order, "lease has expired")
	}
	f.given = append(f.given[max(0, len(f.given)-givenMax+1):], id)
	return &Forward{Order: p.order, Check: f.checks}, nil
}

func (f *Fence) refuse(o *wire.Command, why string) *wire.CommandReply {
	return &wire.CommandReply{ID: o.ID, Detail: why, Fence: f.highest[o.Lease]}
}
