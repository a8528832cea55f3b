package node

import (
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/wire"
)

// Action is an output of a Core, which its driver performs.
type Action interface{ action() }

// Send sends a message to a peer. A peer that has disconnected is no error.
type Send struct {
	Peer    answer.Peer
	Message wire.Message
}

// Start sends a request to the target. The driver calls HandlePart and HandleEnd for it.
type Start struct{ Request target.Request }

// CancelRequest cancels a request at the target.
type CancelRequest struct{ ID ident.RequestID }

// Resume reads back from the target the answer of a request that an earlier incarnation of this agent dispatched.
// The driver calls HandlePart and HandleEnd for it.
type Resume struct{ ID ident.RequestID }

// SendCommand sends a command to the target. The driver reports its result with HandleCommandResult.
type SendCommand struct{ Forward lease.ForwardCommand }

// ReadLease reads a lease from the object API. The driver reports the result with HandleLeaseRead.
type ReadLease struct{ Name string }

// Log writes a numbered log event.
type Log struct {
	Event event.ID
	Pairs []any
}

func (Send) action()          {}
func (Start) action()         {}
func (CancelRequest) action() {}
func (Resume) action()        {}
func (SendCommand) action()   {}
func (ReadLease) action()     {}
func (Log) action()           {}
