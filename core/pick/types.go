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

// Request is what the choice depends on.
type Request struct {
	ID      ident.RequestID
	Service ident.Service
	Version ident.Version
	Route   ident.Route
	Tier    ident.Tier
	Prompt  ident.Tokens
	// Output is the expected number of output tokens.
	Output ident.Tokens
	// Bytes is the length of the body.
	Bytes ident.Bytes
	// Blocks are the hashes of the prompt's blocks.
	Blocks []ident.Block
	// Unproved are the hardware classes on which the version, which is on trial, has to be proved on the route.
	// Each of them gets the first choice for an even part of the route's requests.
	UnprovenClasses []ident.Class
	// Tried are targets that are not to be chosen again.
	Tried []ident.TargetID
}

// Choice is a target for an offer.
type Choice struct {
	Target ident.TargetID
	Agent  ident.ProcessID
	// Estimate is the expected time to the first token, with penalties.
	Estimate time.Duration
	// Cached is the number of prompt tokens expected in the prefix cache.
	Cached ident.Tokens
	// Floor is the lowest tier that waited there by the last report; 255 when nothing waited.
	LowestWaitingTier ident.Tier
	// Remote is true when the target is in another region; the bytes are to be reported with Crossed.
	Remote bool
}

// Outcome is the end of a request at a target, as the router saw it.
type Outcome struct {
	// First is the time from the body to the first byte of the answer; zero if there was none.
	TimeToFirstByte time.Duration
	// Decode is the time from the first to the last token.
	DecodeTime time.Duration
	// Prompt, Cached and Output count tokens.
	Prompt ident.Tokens
	Cached ident.Tokens
	Output ident.Tokens
	// Failed is true when the target failed or was lost; not when the caller left.
	Failed bool
}
