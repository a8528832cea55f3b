package lease

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// ForwardCommand is the action to send a command to the target now. CheckToken is true when the target checks
// the fencing token itself, which is then sent with the command.
type ForwardCommand struct {
	Command    wire.Command
	CheckToken bool
}

// CommandGate admits or rejects the commands for one target by their fencing tokens. Its state is lost when the
// agent stops; a new agent admits nothing before it has read the lease. It is not safe for concurrent use.
type CommandGate struct {
	// targetChecks is true when the target rejects outdated fencing tokens itself.
	targetChecks bool
	// highestTokens holds the highest fencing token known per lease; a lease is absent until it has been read.
	highestTokens map[string]ident.Fence
	// forwarded holds the ids of the last forwarded commands, so that a repeated message has no effect.
	forwarded []ident.RequestID
	// admitted holds commands that are admitted but not forwarded yet, with the end of their validity.
	admitted map[ident.RequestID]admittedCommand
}

type admittedCommand struct {
	command    wire.Command
	validUntil time.Time
}

const (
	// admittedMax bounds the admitted commands that are not forwarded yet.
	admittedMax = 64
	// forwardedMax bounds the ids of forwarded commands that are remembered.
	forwardedMax = 256
)

// NewCommandGate returns the gate for a target; targetChecks tells whether the target checks fencing tokens itself.
func NewCommandGate(targetChecks bool) *CommandGate {
	return &CommandGate{targetChecks: targetChecks, highestTokens: map[string]ident.Fence{}, admitted: map[ident.RequestID]admittedCommand{}}
}

// LeaseKnown reports whether the lease has been read since the start of the agent.
func (g *CommandGate) LeaseKnown(lease string) bool { _, ok := g.highestTokens[lease]; return ok }

// HandleRecord applies the record of a lease that was read from the store after the start of the agent. The
// record of a lease that does not exist is zero.
func (g *CommandGate) HandleRecord(lease string, r Record) {
	g.highestTokens[lease] = max(g.highestTokens[lease], r.FencingToken)
}

// LearnToken applies a fencing token from another source, such as a gossip entry. It does not replace HandleRecord.
func (g *CommandGate) LearnToken(lease string, token ident.Fence) {
	if highest, ok := g.highestTokens[lease]; ok {
		g.highestTokens[lease] = max(highest, token)
	}
}

// Admit admits or rejects a command on arrival. It returns the rejection, or nil for an admitted command, for
// which the caller prepares the target and calls Recheck.
func (g *CommandGate) Admit(now time.Time, c *wire.Command) *wire.CommandReply {
	highest, ok := g.highestTokens[c.Lease]
	switch {
	case !ok:
		return g.reject(c, "lease was not read since the start of the agent")
	case c.Fence < highest:
		return g.reject(c, "fencing number is old")
	case c.ValidMillis <= 0:
		return g.reject(c, "lease has expired")
	case slices.Contains(g.forwarded, c.ID):
		return g.reject(c, "order was given before")
	case len(g.admitted) >= admittedMax:
		return g.reject(c, "too many orders wait")
	}
	g.highestTokens[c.Lease] = c.Fence
	g.admitted[c.ID] = admittedCommand{command: *c, validUntil: now.Add(time.Duration(c.ValidMillis) * time.Millisecond)}
	return nil
}

// Recheck checks an admitted command again, immediately before it is written to the target. Exactly one of the
// results is set.
func (g *CommandGate) Recheck(now time.Time, id ident.RequestID) (*ForwardCommand, *wire.CommandReply) {
	a, ok := g.admitted[id]
	if !ok {
		return nil, &wire.CommandReply{ID: id, Detail: "order is not known"}
	}
	delete(g.admitted, id)
	if a.command.Fence < g.highestTokens[a.command.Lease] {
		return nil, g.reject(&a.command, "fencing number is old")
	}
	if !now.Before(a.validUntil) {
		return nil, g.reject(&a.command, "lease has expired")
	}
	g.forwarded = append(g.forwarded[max(0, len(g.forwarded)-forwardedMax+1):], id)
	return &ForwardCommand{Command: a.command, CheckToken: g.targetChecks}, nil
}

func (g *CommandGate) reject(c *wire.Command, detail string) *wire.CommandReply {
	return &wire.CommandReply{ID: c.ID, Detail: detail, Fence: g.highestTokens[c.Lease]}
}
