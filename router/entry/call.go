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

// Request is a call as the HTTP side read it.
type Request struct {
	Account conf.Account
	Service conf.Service
	Route   conf.Route
	Tier    conf.Tier
	// Wait is the time until the first byte is due.
	Wait   time.Duration
	Method string
	// Path is the path and query at the target.
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

// phase of a call.
type phase uint8

const (
	// claiming: the homes of a keyed request are asked whether it was sent before.
	claiming phase = iota
	// offering: offers are out; nothing was dispatched.
	offering
	// confirming: a grant was taken, and the claim that names its agent is being recorded.
	confirming
	// committed: the body was written to one agent.
	committed
	// holding: an earlier send of the same request is waited for.
	awaitingEarlier
	// attaching: an answer of an earlier send is being looked for.
	attaching
)

// earlier is the answer of an earlier send.
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
	// attempt is the request id of the present dispatch; it changes only after "not run", or for idempotent calls.
	attempt ident.RequestID
	// key is the id of the claim of a keyed call.
	claimID  ident.RequestID
	phase    phase
	start    time.Time
	deadline time.Time
	version  ident.Version
	// unproved are the hardware classes on which the new version has to be proved; only with trial.
	unproven []ident.Class
	// trial is true when version is the new version of a running move.
	canary bool
	// open are the outstanding offers by agent.
	openOffers map[ident.ProcessID]ident.TargetID
	// tried are targets that refused; they are asked again only after a pause.
	triedTargets []ident.TargetID
	// next is the time of the next offers when none is out; zero otherwise.
	nextTryAt time.Time
	// refusal is the most telling refusal so far.
	refusal *fault.Error
	// lowered are targets that were asked to evict a lower tier for this call.
	lowerTierTargets []ident.TargetID
	// widened counts the further pairs of offers that were sent.
	widenCount int
	// agent, boot and target are those of the taken grant or of the attached answer.
	agent  ident.ProcessID
	boot   ident.Boot
	target ident.TargetID
	ticket ident.Ticket
	// remote is true when the target is in another region; link counts the bytes that went over the region link.
	remote    bool
	linkBytes ident.Bytes
	reader    *answer.Reader
	// sent is the time of the body; first that of the first chunk; last that of the newest chunk.
	bodySentAt     time.Time
	firstChunkAt   time.Time
	lastProgressAt time.Time
	// lostUntil is the end of the time in which a lost agent is attached again; zero while it is connected.
	reattachUntil time.Time
	// headSent is true after the head of an answer was given to the handler.
	headSent     bool
	outputTokens ident.Tokens
	retries      int
	// before is the end of the last try of an idempotent call that was offered again after it.
	earlierFault *fault.Error
	// homes are the agents that hold the claim, and asked all that the present attempt was claimed at.
	owners        []ident.ProcessID
	claimedOwners []ident.ProcessID
	// held are the homes that confirmed the claim in the present phase.
	confirmedOwners map[ident.ProcessID]bool
	// of is the answer that a holding call waits for; nil if it is not known yet.
	earlier *earlierAnswer
	// resumed is true for a call that only asks for a kept answer; it is never offered.
	resumeOnly bool
	// waitUntil bounds claiming, confirming and attaching.
	waitUntil time.Time
	// stale is true when the claim of an earlier send is older than trustTime.
	claimStale bool
	// replace is the attempt whose claim in the object API is replaced, because it never ran.
	replaceAttempt ident.RequestID
	// peer is the connection on which the taken grant arrived.
	grantLink links.ID
}

// keyed reports whether the call must not run again when it is sent again.
func (c *call) isKeyed() bool { return c.Key != "" && !c.isRepeatable() }

// repeats reports whether the call may run more than once. A model request never does, because each run costs an
// engine its work, and a request that crashes an engine would crash the next one.
func (c *call) isRepeatable() bool { return c.Route.Idempotent && c.Service.Kind == conf.PlainService }

// inStore reports whether the claim of the call is kept in the object API.
func (c *call) claimsInStore() bool { return c.isKeyed() && c.Service.Kind == conf.PlainService }

// mayOffer reports whether the call may be offered again after its attempt ended.
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

// remember keeps the refusal that tells the caller most: a lasting reason goes before a passing one.
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
