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

// CallID numbers the calls of one run of a router; a number is never used again.
type CallID uint64

// Action is something that the driver of a Core does for it.
type Action interface{ action() }

// Send sends a message on a connection; a lost connection is no error.
type Send struct {
	Link    links.ID
	Message wire.Message
}

// Reply gives a part of its answer to the handler of a call.
type Reply struct {
	Call CallID
	Part ReplyPart
}

// Part is a head, data, or the end of an answer for a caller. Exactly one of its members is set.
type ReplyPart struct {
	Head *Head
	Data *Data
	// Whole ends an answer that is complete.
	Complete bool
	// Fault ends a call without a whole answer.
	Fault *fault.Error
}

// Head is what is sent before the data of an answer.
type Head struct {
	Status      int
	ContentType string
	// Request is the id of the request, and Agent and Boot name where its answer is kept.
	RequestID ident.RequestID
	Agent     ident.ProcessID
	Boot      ident.Boot
	Account   ident.AccountID
	Service   ident.Service
	Version   ident.Version
}

// Data is a numbered piece of an answer.
type Data struct {
	Seq     ident.Seq
	Payload []byte
}

// Want replaces the set of addresses that the router keeps connections to.
type SetPeers struct{ Addresses []string }

// Create claims a keyed call in the object API. The driver reports the result with Claimed.
type CreateClaim struct {
	Call  CallID
	ID    ident.RequestID
	Claim Claim
	// Replace is the attempt whose claim is replaced, because it was never dispatched; empty for a new claim.
	Replace ident.RequestID
}

// Claim is the value of an object of sort "claim".
type Claim struct {
	Attempt ident.RequestID `json:"attempt"`
	Account ident.AccountID `json:"account"`
	Agent   ident.ProcessID `json:"agent"`
	Boot    ident.Boot      `json:"boot"`
	// At is the Unix time of the claim in seconds.
	CreatedUnix int64 `json:"at"`
}

// Watch starts or stops the duties of a process that watches the object API for its region.
type WatchStore struct{ Enabled bool }

// Sweep deletes the claims in the object API that were made before a time.
type SweepClaims struct{ Before time.Time }

// LeaseCall makes a store call of the lease. The driver reports it with LeaseResult.
type LeaseCall struct{ Call lease.Call }

// EndCall makes a store call that records the end of a move. The driver reports it with EndResult.
type ConclusionCall struct {
	Rollout ident.Rollout
	Call    moves.Call
}

// Log writes a numbered event.
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
