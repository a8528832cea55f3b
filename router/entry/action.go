package entry

import (
	"time"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lease"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// CallID identifies a call within one boot of a router; ids are never reused.
type CallID uint64

// Action is a side effect that a Core requests from its driver.
type Action interface{ action() }

// Send sends a message on a connection. A lost connection is not an error.
type Send struct {
	Link    links.ID
	Message wire.Message
}

// Reply passes one part of an answer to the HTTP handler of a call.
type Reply struct {
	Call CallID
	Part ReplyPart
}

// ReplyPart is the head, a chunk or the end of an answer for a caller. Exactly one of its fields is set.
type ReplyPart struct {
	Head *Head
	Data *Data
	// Complete ends a complete answer.
	Complete bool
	// Fault ends a call that has no complete answer.
	Fault *fault.Error
}

// Head precedes the data of an answer.
type Head struct {
	Status      int
	ContentType string
	// RequestID identifies the request; Agent and Boot identify the agent process that keeps its answer.
	RequestID ident.RequestID
	Agent     ident.ProcessID
	Boot      ident.Boot
	Account   ident.AccountID
	Service   ident.Service
	Version   ident.Version
}

// Data is a numbered chunk of an answer.
type Data struct {
	Seq     ident.Seq
	Payload []byte
}

// SetPeers replaces the set of addresses to which the router maintains connections.
type SetPeers struct{ Addresses []string }

// CreateClaim claims a keyed call in the object API. The driver reports the result with HandleClaimResult.
type CreateClaim struct {
	Call  CallID
	ID    ident.RequestID
	Claim Claim
	// Replace is the attempt whose claim is replaced because it was never dispatched; empty for a new claim.
	Replace ident.RequestID
}

// Claim is the value of an object of the kind "claim".
type Claim struct {
	Attempt ident.RequestID `json:"attempt"`
	Account ident.AccountID `json:"account"`
	Agent   ident.ProcessID `json:"agent"`
	Boot    ident.Boot      `json:"boot"`
	// CreatedUnix is the Unix time of the claim in seconds.
	CreatedUnix int64 `json:"at"`
}

// WatchStore starts or stops the workers with which this router watches the object API for its region.
type WatchStore struct{ Enabled bool }

// SweepClaims deletes the claims in the object API that were created before a time.
type SweepClaims struct{ Before time.Time }

// LeaseCall makes a store call for the lease. The driver reports the result with HandleLeaseResult.
type LeaseCall struct{ Call lease.Call }

// ConclusionCall makes a store call that records the conclusion of a rollout. The driver reports the result with
// HandleConclusionResult.
type ConclusionCall struct {
	Rollout ident.Rollout
	Call    moves.Call
}

// Log writes a numbered log event.
type Log struct {
	Event event.ID
	Pairs []any
}

func (Send) action()           {}
func (Reply) action()          {}
func (SetPeers) action()       {}
func (CreateClaim) action()    {}
func (WatchStore) action()     {}
func (SweepClaims) action()    {}
func (LeaseCall) action()      {}
func (ConclusionCall) action() {}
func (Log) action()            {}
