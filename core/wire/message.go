// Package wire defines the messages between routers and agents, their CBOR encoding, and the authenticated
// WebSocket connections that carry them. It also defines the Heartbeat datagrams between routers that work without
// agents.
package wire

import (
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// Kind is the number of a message type; it stays below 24 so that it takes one byte in CBOR.
type Kind uint8

// Message kinds. A number is never reused for another type.
const (
	KindHello Kind = iota + 1
	KindOffer
	KindWithdraw
	KindGrant
	KindDecline
	KindBody
	KindRefuse
	KindChunk
	KindEnd
	KindCredit
	KindAttach
	KindCancel
	KindLoad
	KindCache
	KindClaim
	KindClaimReply
	KindRelease
	KindGossip
	KindCommand
	KindCommandReply
	KindLeave
	KindHeartbeat
)

// Message is one of the types of this package.
type Message interface{ Kind() Kind }

// Hello is the first message in both directions, after both sides proved that they hold the key.
type Hello struct {
	_struct bool `codec:",toarray"`

	Process ident.ProcessID
	// Role is "router" or "agent".
	Role       string
	Boot       ident.Boot
	Centre     ident.DataCentre
	Generation ident.Generation
}

// Offer asks an agent to queue a request; it carries no body.
type Offer struct {
	_struct bool `codec:",toarray"`

	ID      ident.RequestID
	Account ident.AccountID
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	Tier    ident.Tier
	// WaitMillis is the time from receipt until the deadline for the first byte.
	WaitMillis int64
	Prompt     ident.Tokens
	// ExpectedOutput is the expected number of output tokens.
	ExpectedOutput ident.Tokens
	Fingerprint    ident.Fingerprint
	// Blocks are the hashes of the prompt's blocks, at most ident.BlocksMax.
	Blocks []ident.Block
	// Keyed is true when the id was derived from an Idempotency-Key.
	Keyed bool
	// Canary is true when the request is part of the canary traffic to a version that is not proven yet.
	Canary bool
}

// Withdraw cancels an offer; the agent removes it unless it was dispatched.
type Withdraw struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
}

// Grant tells the router that the agent reserved room for the offer.
type Grant struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
}

// Decline answers a grant that is not needed; the reserved room is freed.
type Decline struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
}

// Body carries the request to the one agent whose grant was accepted.
type Body struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
	Method string
	// Path is the path and query to request at the target.
	Path string
	// ContentType is the content type of Data.
	ContentType string
	Data        []byte
	// Credit is the number of answer bytes that the agent may send before it has to wait for Credit messages.
	Credit ident.Bytes
	// IdempotencyKey is the caller's Idempotency-Key, passed on to the target.
	IdempotencyKey string
}

// Refuse ends an offer, a grant or an Attach without an answer.
type Refuse struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
	// Run is fault.NotRun only if nothing was written to the target.
	Run    fault.Run
	Reason fault.Reason
	Detail string
	// RetryAfterMillis is the time after which a retry may succeed.
	RetryAfterMillis int64
}

// Chunk carries a part of an answer. The first chunk of an answer (Seq 1) carries the status.
type Chunk struct {
	_struct bool `codec:",toarray"`

	ID   ident.RequestID
	Boot ident.Boot
	// Seq grows by one with each chunk of an answer.
	Seq ident.Seq
	// Status is the HTTP status of the target, in the first chunk only.
	Status int
	// ContentType is set in the first chunk only.
	ContentType string
	Data        []byte
	// Tokens counts the output tokens in Data, as far as known.
	Tokens ident.Tokens
}

// End ends an answer.
type End struct {
	_struct bool `codec:",toarray"`

	ID   ident.RequestID
	Boot ident.Boot
	// LastSeq is the sequence number of the last chunk.
	LastSeq ident.Seq
	// Complete is true when the target itself ended the answer.
	Complete bool
	Run      fault.Run
	Reason   fault.Reason
	Detail   string
	// Prompt and Output count tokens as the target reported them; zero if unknown.
	Prompt ident.Tokens
	Output ident.Tokens
	// Cached is the number of prompt tokens that the target took from its prefix cache.
	Cached ident.Tokens
}

// Credit allows the agent to send more bytes of an answer.
type Credit struct {
	_struct bool `codec:",toarray"`

	ID    ident.RequestID
	Bytes ident.Bytes
}

// Attach requests a running or retained answer, starting with the chunk after AfterSeq.
type Attach struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
	// Boot is the boot of the agent that dispatched the request; zero accepts any.
	Boot     ident.Boot
	Account  ident.AccountID
	AfterSeq ident.Seq
	Credit   ident.Bytes
}

// Cancel stops a running request because its client disconnected.
type Cancel struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
}

// Load reports the state of a target and its queue.
type Load struct {
	_struct bool `codec:",toarray"`

	Target  ident.TargetID
	Service ident.Service
	Version ident.Version
	// Seq grows with each report; a report with a lower or equal number is ignored.
	Seq ident.Seq
	// WaitingByTier counts queued tokens by tier.
	WaitingByTier []ident.Tokens
	// Running counts the requests and HeldTokens the tokens that the engine holds.
	Running    int
	HeldTokens ident.Tokens
	// Window is the largest number of requests that the engine is given at a time.
	Window int
	// PrefillRate is the learnt prompt speed of one request. DrainRate is the speed at which charged tokens
	// (prompt and expected output) complete while the window is full. Both are in tokens per second.
	PrefillRate float64
	DrainRate   float64
	// LowestWaitingTier is the lowest tier with waiting requests; ident.Tier 255 when none wait.
	LowestWaitingTier ident.Tier
	Draining          bool
	// Refusing is true when the agent refuses all new work, for example after its version was judged bad.
	Refusing bool
}

// Cache reports blocks that entered or left the prefix cache of a target.
type Cache struct {
	_struct bool `codec:",toarray"`

	Target ident.TargetID
	// Seq grows by one with each report. After a gap, the receiver discards what earlier reports stated and waits
	// for a report with Reset.
	Seq ident.Seq
	// Reset is true when Added replaces what earlier reports stated.
	Reset   bool
	Added   []ident.Block
	Removed []ident.Block
}

// Claim records a keyed request in the memory of an agent before the request is offered.
type Claim struct {
	_struct bool `codec:",toarray"`

	ID      ident.RequestID
	Account ident.AccountID
	// Attempt identifies this attempt to send the request.
	Attempt ident.RequestID
	// Agent is set in an update after a grant was accepted.
	Agent ident.ProcessID
	Boot  ident.Boot
}

// ClaimReply answers a Claim.
type ClaimReply struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
	// Attempt is the attempt that holds the claim; if the claim was the first, it is the attempt of that Claim.
	Attempt ident.RequestID
	Agent   ident.ProcessID
	Boot    ident.Boot
}

// Release drops a claim whose attempt ended without a dispatch.
type Release struct {
	_struct bool `codec:",toarray"`

	ID      ident.RequestID
	Attempt ident.RequestID
}

// GossipEntry is one versioned gossip entry; package facts defines how entries merge.
type GossipEntry struct {
	_struct bool `codec:",toarray"`

	Kind   string
	Key    string
	Origin ident.ProcessID
	Boot   ident.Boot
	Seq    uint64
	// AgeMillis is the time since the origin wrote the entry, as far as the sender knows.
	AgeMillis int64
	Value     []byte
}

// DigestEntry names the newest version of one gossip entry that a process holds.
type DigestEntry struct {
	_struct bool `codec:",toarray"`

	Kind   string
	Key    string
	Origin ident.ProcessID
	Boot   ident.Boot
	Seq    uint64
}

// Gossip carries gossip entries, and digest entries of what the sender holds.
type Gossip struct {
	_struct bool `codec:",toarray"`

	Entries []GossipEntry
	// Digest is true when DigestEntries holds hashes of buckets, or full lists of buckets that differ; the
	// receiver replies with what is missing there. When it is false, a digest entry states that the sender
	// holds this version.
	Digest        bool
	DigestEntries []DigestEntry
}

// Command asks an agent to give its target a command under a lease.
type Command struct {
	_struct bool `codec:",toarray"`

	ID    ident.RequestID
	Lease string
	Fence ident.Fence
	// ValidMillis is the time from sending for which the lease is still held.
	ValidMillis int64
	// Verb is "load", "unload" or "role". The target gets it with Version and Value.
	Verb    string
	Version ident.Version
	Value   string
}

// CommandReply answers a Command.
type CommandReply struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Done   bool
	Detail string
	// Fence is the highest fencing token that the agent knows.
	Fence ident.Fence
}

// Leave tells the peer that the sender takes no new work and will close the connection.
type Leave struct {
	_struct bool `codec:",toarray"`

	// Detail is for logs only.
	Detail string
}

// Kind implements Message.
func (*Hello) Kind() Kind { return KindHello }

// Kind implements Message.
func (*Offer) Kind() Kind { return KindOffer }

// Kind implements Message.
func (*Withdraw) Kind() Kind { return KindWithdraw }

// Kind implements Message.
func (*Grant) Kind() Kind { return KindGrant }

// Kind implements Message.
func (*Decline) Kind() Kind { return KindDecline }

// Kind implements Message.
func (*Body) Kind() Kind { return KindBody }

// Kind implements Message.
func (*Refuse) Kind() Kind { return KindRefuse }

// Kind implements Message.
func (*Chunk) Kind() Kind { return KindChunk }

// Kind implements Message.
func (*End) Kind() Kind { return KindEnd }

// Kind implements Message.
func (*Credit) Kind() Kind { return KindCredit }

// Kind implements Message.
func (*Attach) Kind() Kind { return KindAttach }

// Kind implements Message.
func (*Cancel) Kind() Kind { return KindCancel }

// Kind implements Message.
func (*Load) Kind() Kind { return KindLoad }

// Kind implements Message.
func (*Cache) Kind() Kind { return KindCache }

// Kind implements Message.
func (*Claim) Kind() Kind { return KindClaim }

// Kind implements Message.
func (*ClaimReply) Kind() Kind { return KindClaimReply }

// Kind implements Message.
func (*Release) Kind() Kind { return KindRelease }

// Kind implements Message.
func (*Gossip) Kind() Kind { return KindGossip }

// Kind implements Message.
func (*Command) Kind() Kind { return KindCommand }

// Kind implements Message.
func (*CommandReply) Kind() Kind { return KindCommandReply }

// Kind implements Message.
func (*Leave) Kind() Kind { return KindLeave }

// Kind implements Message.
func (*Heartbeat) Kind() Kind { return KindHeartbeat }
