package entry

import (
	"time"

	"hickoryvane.example/core/answer"
	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/pick"
	"hickoryvane.example/core/wire"
)

// Request is a call as the HTTP handler parsed it.
type Request struct {
	Account conf.Account
	Service conf.Service
	Route   conf.Route
	Tier    conf.Tier
	// Wait is the time within which the first byte is due.
	Wait   time.Duration
	Method string
	// Path is the path and query sent to the target.
	Path        string
	ContentType string
	Body        []byte
	Prompt      ident.Tokens
	Output      ident.Tokens
	Fingerprint ident.Fingerprint
	Blocks      []ident.Block
	// Key is the Idempotency-Key; empty if none.
	Key string
	// Session and Version come from the caller's X-Session header; empty if none.
	Session string
	Version ident.Version
}

// phase is the state of a call.
type phase uint8

const (
	// claiming: the owners of a keyed request are asked whether it was submitted before.
	claiming phase = iota
	// offering: offers are outstanding or scheduled; nothing was dispatched.
	offering
	// confirming: a grant was accepted, and the claim that names its agent is being recorded.
	confirming
	// committed: the body was sent to one agent.
	committed
	// awaitingEarlier: the call waits for an earlier submission of the same request.
	awaitingEarlier
	// attaching: the answer of an earlier submission is being requested from its agent.
	attaching
)

// earlierAnswer identifies the answer of an earlier submission of the same request.
type earlierAnswer struct {
	attempt  ident.RequestID
	agent    ident.ProcessID
	boot     ident.Boot
	afterSeq ident.Seq
}

// call is one request of a caller at this router.
type call struct {
	Request
	id CallID
	// attempt is the request id of the current dispatch; it changes only after "not run", or for idempotent calls.
	attempt ident.RequestID
	// claimID is the id of the claim of a keyed call.
	claimID  ident.RequestID
	phase    phase
	start    time.Time
	deadline time.Time
	version  ident.Version
	// unproven are the hardware classes on which the new version is still to be proven; set only for canary calls.
	unproven []ident.Class
	// canary is true when version is the new version of a running rollout.
	canary bool
	// openOffers are the targets of the outstanding offers by agent.
	openOffers map[ident.ProcessID]ident.TargetID
	// triedTargets are targets that refused or were lost; they are offered the call again only after reofferPause.
	triedTargets []ident.TargetID
	// nextTryAt is the time of the next offers when none is outstanding, or of the next try in the phase
	// awaitingEarlier; zero otherwise.
	nextTryAt time.Time
	// refusal is the most informative refusal so far.
	refusal *fault.Error
	// lowerTierTargets are targets that were asked to evict a lower tier for this call.
	lowerTierTargets []ident.TargetID
	// widenCount is the number of further pairs of offers that were sent.
	widenCount int
	// agent, boot and target are those of the accepted grant or of the attached answer.
	agent  ident.ProcessID
	boot   ident.Boot
	target ident.TargetID
	ticket ident.Ticket
	// remote is true when the target is in another region; linkBytes counts the bytes sent over the region link.
	remote    bool
	linkBytes ident.Bytes
	reader    *answer.Assembler
	// bodySentAt is the time at which the body was sent, firstChunkAt that of the first chunk, and lastProgressAt
	// that of the last chunk, or of the body or attach request if that is later.
	bodySentAt     time.Time
	firstChunkAt   time.Time
	lastProgressAt time.Time
	// reattachUntil is the time until which a lost agent may reconnect and be attached again; zero while it is
	// connected.
	reattachUntil time.Time
	// headSent is true once the head of an answer was passed to the handler.
	headSent     bool
	outputTokens ident.Tokens
	retries      int
	// earlierFault is the failure of the last attempt of an idempotent call that was offered again.
	earlierFault *fault.Error
	// owners are the agents that hold the claim; claimedOwners are all to which a claim of the current attempt was
	// sent.
	owners        []ident.ProcessID
	claimedOwners []ident.ProcessID
	// confirmedOwners are the owners that confirmed the claim in the current phase.
	confirmedOwners map[ident.ProcessID]bool
	// earlier is the answer for which a call in the phase awaitingEarlier waits; nil if it is not known yet.
	earlier *earlierAnswer
	// resumeOnly is true for a call that only reads a kept answer; it is never offered.
	resumeOnly bool
	// waitUntil limits the phases claiming, confirming and attaching.
	waitUntil time.Time
	// claimStale is true when the claim of an earlier submission is older than claimTrustMax.
	claimStale bool
	// replaceAttempt is the attempt whose claim in the object API is replaced because it never ran.
	replaceAttempt ident.RequestID
	// grantLink is the connection on which the accepted grant arrived.
	grantLink links.ID
}

// isKeyed reports whether the call must not run a second time when its caller submits it again.
func (c *call) isKeyed() bool { return c.Key != "" && !c.isRepeatable() }

// isRepeatable reports whether the call may run more than once. A model request never does, because each run costs
// an engine its work, and a request that crashes one engine would crash the next one too.
func (c *call) isRepeatable() bool { return c.Route.Idempotent && c.Service.Kind == conf.PlainService }

// claimsInStore reports whether the claim of the call is recorded in the object API.
func (c *call) claimsInStore() bool { return c.isKeyed() && c.Service.Kind == conf.PlainService }

// mayReoffer reports whether the call may be offered again after its attempt ended.
func (c *call) mayReoffer() bool { return !c.headSent && !c.resumeOnly }

func (c *call) pickRequest() pick.Request {
	return pick.Request{
		ID: c.attempt, Service: c.Service.Name, Version: c.version, Tier: c.Tier.Rank,
		Prompt: c.Prompt, Output: c.Output, Bytes: ident.Bytes(len(c.Body)), Blocks: c.Blocks, Tried: c.triedTargets,
		Route: c.Route.Name, UnprovenClasses: c.unproven,
	}
}

func (c *call) offerMessage(now time.Time) *wire.Offer {
	return &wire.Offer{
		ID: c.attempt, Account: c.Account.Name, Service: c.Service.Name, Version: c.version, Route: c.Route.Name,
		Tier: c.Tier.Rank, WaitMillis: c.deadline.Sub(now).Milliseconds(), Prompt: c.Prompt, ExpectedOutput: c.Output,
		Fingerprint: c.Fingerprint, Blocks: c.Blocks, Keyed: c.isKeyed(), Canary: c.canary,
	}
}

func (c *call) bodyMessage() *wire.Body {
	return &wire.Body{
		ID: c.attempt, Ticket: c.ticket, Method: c.Method, Path: c.Path, ContentType: c.ContentType, Data: c.Body,
		Credit: creditMax, IdempotencyKey: c.Key,
	}
}

// rememberRefusal keeps the most informative refusal for the caller: a permanent reason outranks a transient one.
func (c *call) rememberRefusal(e *fault.Error) {
	if c.refusal == nil || refusalWeight(e.Reason) >= refusalWeight(c.refusal.Reason) {
		c.refusal = e
	}
}

func refusalWeight(r fault.Reason) int {
	switch r {
	case fault.Crashes:
		return 4
	case fault.Shed: // other agents may hold a lower tier, whatever the remaining ones say
		return 3
	case fault.Deadline:
		return 2
	case fault.BadVersion, fault.Draining, fault.Target:
		return 1
	default:
		return 0
	}
}
