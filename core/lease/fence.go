package lease

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Forward is the action to give an order to the target now. Check is true when the target checks the
// fencing number, which then travels with the order.
type ForwardCommand struct {
	Command    wire.Command
	CheckToken bool
}

// Fence is the check of orders beside one target. Its memory is lost with the agent; a new agent
// obeys nothing before it has read the lease. It is not safe for concurrent use.
type CommandGate struct {
	// checks is true when the target refuses old fencing numbers itself.
	targetChecks bool
	// highest is the highest fencing number known per lease; a lease is absent before it was read.
	highestTokens map[string]ident.Fence
	// given holds the last orders that were forwarded, so that a repeated message has no effect.
	forwarded []ident.RequestID
	// waiting holds accepted orders that are not forwarded yet, with the end of their validity.
	admitted map[ident.RequestID]admittedCommand
}

type admittedCommand struct {
	command    wire.Command
	validUntil time.Time
}

const (
	// waitingMax bounds the accepted orders that are not forwarded yet.
	admittedMax = 64
	// givenMax bounds the forwarded orders that are remembered.
	forwardedMax = 256
)

// NewFence returns the check for a target; checks tells whether the target checks numbers itself.
func NewCommandGate(checks bool) *CommandGate {
	return &CommandGate{targetChecks: checks, highestTokens: map[string]ident.Fence{}, admitted: map[ident.RequestID]admittedCommand{}}
}

// Ready reports whether the lease was read after the start.
func (f *CommandGate) LeaseKnown(lease string) bool { _, ok := f.highestTokens[lease]; return ok }

// Read takes the record of a lease that was read from the store after the start of the agent. A
// lease that does not exist is the zero record.
func (f *CommandGate) HandleRecord(lease string, r Record) {
	f.highestTokens[lease] = max(f.highestTokens[lease], r.FencingToken)
}

// Learn takes a fencing number heard otherwise, for example as a fact. It does not replace Read.
func (f *CommandGate) LearnToken(lease string, n ident.Fence) {
	if h, ok := f.highestTokens[lease]; ok {
		f.highestTokens[lease] = max(h, n)
	}
}

// Order accepts or refuses an order on arrival. A refusal is returned; after acceptance the caller
// prepares the target and calls Send.
func (f *CommandGate) Admit(now time.Time, o *wire.Command) *wire.CommandReply {
	h, ok := f.highestTokens[o.Lease]
	switch {
	case !ok:
		return f.reject(o, "lease was not read since the start of the agent")
	case o.Fence < h:
		return f.reject(o, "fencing number is old")
	case o.ValidMillis <= 0:
		return f.reject(o, "lease has expired")
	case slices.Contains(f.forwarded, o.ID):
		return f.reject(o, "order was given before")
	case len(f.admitted) >= admittedMax:
		return f.reject(o, "too many orders wait")
	}
	f.highestTokens[o.Lease] = o.Fence
	f.admitted[o.ID] = admittedCommand{command: *o, validUntil: now.Add(time.Duration(o.ValidMillis) * time.Millisecond)}
	return nil
}

// Send checks an accepted order again, at the last moment before it is written to the target.
// Exactly one of the results is set.
func (f *CommandGate) Recheck(now time.Time, id ident.RequestID) (*ForwardCommand, *wire.CommandReply) {
	p, ok := f.admitted[id]
	if !ok {
		return nil, &wire.CommandReply{ID: id, Detail: "order is not known"}
	}
	delete(f.admitted, id)
	if p.command.Fence < f.highestTokens[p.command.Lease] {
		return nil, f.reject(&p.command, "fencing number is old")
	}
	if !now.Before(p.validUntil) {
		return nil, f.reject(&p.command, "lease has expired")
	}
	f.forwarded = append(f.forwarded[max(0, len(f.forwarded)-forwardedMax+1):], id)
	return &ForwardCommand{Command: p.command, CheckToken: f.targetChecks}, nil
}

func (f *CommandGate) reject(o *wire.Command, why string) *wire.CommandReply {
	return &wire.CommandReply{ID: o.ID, Detail: why, Fence: f.highestTokens[o.Lease]}
}
