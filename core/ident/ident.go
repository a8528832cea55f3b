// Package ident defines the named types for identifiers and units that all other packages share, and the hashes from
// which request ids, fingerprints, prompt blocks and rendezvous weights are derived.
package ident

import "time"

// Identifiers. Each is opaque to its users unless its comment says otherwise.
type (
	// RequestID identifies one request; 32 lower-case hexadecimal digits.
	RequestID string
	// ProcessID identifies a router or an agent; unique in the deployment, from its settings.
	ProcessID string
	// TargetID identifies a target (back end), as declared.
	TargetID string
	// AccountID identifies a client account, as declared.
	AccountID string
	// Service is the name of a declared service.
	Service string
	// Version is the name of a declared version of a service.
	Version string
	// Route is the name of a declared route of a service.
	Route string
	// Class is the hardware class of a target, as declared.
	Class string
	// Rollout is the name of a declared rollout.
	Rollout string
	// DataCentre is the name of a data centre.
	DataCentre string
	// Region is the name of a region.
	Region string
)

// PromptPart is the id of a part of a prompt that other prompts may have in common, as callers state it.
type PromptPart string

// Units.
type (
	// Tier is the rank of a priority tier; 0 is the highest.
	Tier uint8
	// Tokens counts prompt or output tokens.
	Tokens int64
	// Bytes counts bytes.
	Bytes int64
	// Fence is a fencing token; it increases with each acquisition of a lease.
	Fence uint64
	// Generation numbers accepted configurations; it increases by one with each.
	Generation uint64
	// Boot identifies one incarnation of a process: its start in Unix nanoseconds. A later one is larger.
	Boot uint64
	// Seq numbers frames, reports or events of one origin, from 1.
	Seq uint64
	// Fingerprint is the fingerprint of a request's content.
	Fingerprint uint64
	// Block is the hash of one block of a prompt, chained over all blocks before it.
	Block uint64
	// Ticket identifies one grant by an agent.
	Ticket uint64
)

// BootAt returns the boot identifier of a process that started at t.
func BootAt(t time.Time) Boot { return Boot(t.UnixNano()) }
