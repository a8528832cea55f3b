package node

import (
	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/event"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/wire"
)

// Action is something that the driver of a Core does for it.
type Action interface{ action() }

// Send sends a message to a peer; a lost peer is no error.
type Send struct {
	Peer    answer.Peer
	Message wire.Message
}

// Start writes a request to the target. The driver reports Part and Ended events for it.
type Start struct{ Request target.Request }

// Stop cancels a request at the target.
type Stop struct{ ID ident.RequestID }

// Resume reads an answer back from the target that an earlier run of this agent dispatched.
type Resume struct{ ID ident.RequestID }

// Give gives an order to the target. The driver reports its result with Gave.
type SendCommand struct{ Forward lease.ForwardCommand }

// ReadLease reads a lease from the object API. The driver reports it with LeaseRead.
type ReadLease struct{ Name string }

// Log writes a numbered event.
type Log struct {
	Event event.ID
	Pairs []any
}

func (Send) action()        {}
func (Start) action()       {}
func (Stop) action()        {}
func (Resume) action()      {}
func (SendCommand) action() {}
func (ReadLease) action()   {}
func (Log) action()         {}
