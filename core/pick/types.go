package pick

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Target is a target to which the router has a connection.
type Target struct {
	ID      ident.TargetID
	Agent   ident.ProcessID
	Region  ident.Region
	Service ident.Service
	Version ident.Version
	// Class is the hardware class.
	Class ident.Class
}

// Request holds the properties of a request on which the choice depends.
type Request struct {
	ID      ident.RequestID
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	Tier    ident.Tier
	Prompt  ident.Tokens
	// Output is the expected number of output tokens.
	Output ident.Tokens
	// Bytes is the size of the body.
	Bytes ident.Bytes
	// Blocks are the hashes of the prompt's blocks.
	Blocks []ident.Block
	// UnprovenClasses are the hardware classes on which the version, a canary, is not yet proven for the route.
	// Each of them gets the first choice for an equal share of the route's requests.
	UnprovenClasses []ident.Class
	// Tried are the targets that must not be chosen again.
	Tried []ident.TargetID
}

// Choice is a target to which the request is to be offered.
type Choice struct {
	Target ident.TargetID
	Agent  ident.ProcessID
	// Estimate is the expected time to the first token, including penalties.
	Estimate time.Duration
	// Cached is the number of prompt tokens expected in the prefix cache.
	Cached ident.Tokens
	// LowestWaitingTier is the lowest tier that waited there according to the last report; 255 when none waited.
	LowestWaitingTier ident.Tier
	// Remote is true when the target is in another region; transferred bytes must be reported with ChargeLink.
	Remote bool
}

// Outcome is the result of a request at a target, as observed by the router.
type Outcome struct {
	// TimeToFirstByte is the time from sending the body to the first byte of the answer; zero if there was none.
	TimeToFirstByte time.Duration
	// DecodeTime is the time from the first to the last token.
	DecodeTime time.Duration
	// Prompt, Cached and Output count tokens.
	Prompt ident.Tokens
	Cached ident.Tokens
	Output ident.Tokens
	// Failed is true when the target failed or was lost, but not when the client disconnected.
	Failed bool
}
