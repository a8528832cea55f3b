// Package wire defines the messages between routers and agents, their CBOR encoding and the
// authenticated WebSocket connection that carries them.
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

// Hello opens a connection in both directions, after the key was proved.
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
	// Wait is the time until the deadline for the first byte, in milliseconds from receipt.
	WaitMillis int64
	Prompt     ident.Tokens
	// Output is the expected number of output tokens.
	ExpectedOutput ident.Tokens
	Fingerprint    ident.Fingerprint
	// Blocks are the hashes of the prompt's blocks, at most ident.BlocksMax.
	Blocks []ident.Block
	// Keyed is true when the id was derived from an Idempotency-Key.
	Keyed bool
	// Trial is true when the request belongs to the share of a version that is not proved yet.
	Canary bool
}

// Withdraw takes an offer back; the agent forgets it unless it was dispatched.
type Withdraw struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
}

// Grant tells the router that room is reserved for its offer.
type Grant struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
}

// Decline answers a grant that is not needed; the room is freed.
type Decline struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
}

// Body carries the request to the one agent whose grant was taken.
type Body struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Ticket ident.Ticket
	Method string
	// Path is the path and query at the target.
	Path string
	// Type is the content type of Data.
	ContentType string
	Data        []byte
	// Credit is the number of answer bytes that the agent may send before it waits for Credit messages.
	Credit ident.Bytes
	// Key is the caller's Idempotency-Key, passed on to the target.
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
	// Retry is the time after which a new try makes sense, in milliseconds.
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
	// Type is the content type, in the first chunk only.
	ContentType string
	Data        []byte
	// Tokens counts the output tokens in Data, as far as known.
	Tokens ident.Tokens
}

// End closes an answer.
type End struct {
	_struct bool `codec:",toarray"`

	ID   ident.RequestID
	Boot ident.Boot
	// Last is the sequence number of the last chunk.
	LastSeq ident.Seq
	// Whole is true when the target ended the answer itself.
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

// Attach asks for a kept or running answer from the chunk after Seq.
type Attach struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
	// Boot is the run of the agent that dispatched; zero accepts any.
	Boot     ident.Boot
	Account  ident.AccountID
	AfterSeq ident.Seq
	Credit   ident.Bytes
}

// Cancel stops a running request because its caller left.
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
	Seq     ident.Seq
	// Waiting counts queued tokens by tier.
	WaitingByTier []ident.Tokens
	// Running counts requests and Held tokens that the engine holds.
	Running    int
	HeldTokens ident.Tokens
	// Window is the number of requests that the engine is given at a time.
	Window int
	// Prefill is the learnt prompt speed of one request; Decode is the speed at which charged tokens (prompt
	// and expected output) end while the window is full. Both are in tokens per second.
	PrefillRate float64
	DrainRate   float64
	// Floor is the lowest tier that waits; ident.Tier 255 when nothing waits.
	LowestWaitingTier ident.Tier
	Draining          bool
	// Refusing is true when the agent refuses all new work, for example after its version was judged bad.
	Refusing bool
}

// Cache reports blocks that entered or left the prefix cache of a target.
type Cache struct {
	_struct bool `codec:",toarray"`

	Target ident.TargetID
	// Seq grows by one with each report; a gap makes earlier knowledge untrusted.
	Seq     ident.Seq
	Reset   bool
	Added   []ident.Block
	Removed []ident.Block
}

// Claim records a keyed request in the memory of an agent before it is offered.
type Claim struct {
	_struct bool `codec:",toarray"`

	ID      ident.RequestID
	Account ident.AccountID
	// Attempt identifies this send of the request.
	Attempt ident.RequestID
	// Agent is set in an update once a grant was taken.
	Agent ident.ProcessID
	Boot  ident.Boot
}

// Claimed answers a Claim.
type ClaimReply struct {
	_struct bool `codec:",toarray"`

	ID ident.RequestID
	// Attempt is the attempt that holds the claim; it equals the one of the Claim if that was the first.
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

// Fact is one versioned fact on the wire; package facts defines its merge.
type GossipEntry struct {
	_struct bool `codec:",toarray"`

	Kind   string
	Key    string
	Origin ident.ProcessID
	Boot   ident.Boot
	Seq    uint64
	// Age is the time since the origin wrote it, in milliseconds, as far as the sender knows.
	AgeMillis int64
	Value     []byte
}

// Mark names the newest version of one fact that a process holds.
type DigestEntry struct {
	_struct bool `codec:",toarray"`

	Kind   string
	Key    string
	Origin ident.ProcessID
	Boot   ident.Boot
	Seq    uint64
}

// Facts carries facts, and in a repair round the marks of what the sender holds.
type Gossip struct {
	_struct bool `codec:",toarray"`

	Entries []GossipEntry
	// Digest is true when Marks holds hashes of buckets, or full lists of buckets that differ; the receiver
	// answers with what is missing there. Without it, a mark states that the sender holds this version.
	Digest        bool
	DigestEntries []DigestEntry
}

// Order asks an agent to give its target an order under a lease.
type Command struct {
	_struct bool `codec:",toarray"`

	ID    ident.RequestID
	Lease string
	Fence ident.Fence
	// Valid is the time for which the lease is still held, in milliseconds from sending.
	ValidMillis int64
	// Verb is "load", "unload" or "role".
	Verb    string
	Version ident.Version
	Value   string
}

// Ordered answers an Order.
type CommandReply struct {
	_struct bool `codec:",toarray"`

	ID     ident.RequestID
	Done   bool
	Detail string
	// Fence is the highest fencing number that the agent knows.
	Fence ident.Fence
}

// Leave tells the peer that the sender takes no new work and will close the connection.
type Leave struct {
	_struct bool `codec:",toarray"`

	// Detail is for logs.
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
