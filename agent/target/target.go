// Package target implements the protocols of targets: model engines and plain services. Package node sends requests and
// commands through it.
package target

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// ErrStaleFence means that the target refused a command because of an old fencing token.
var ErrStaleFence = errors.New("target refused an old fencing number")

// Request is a request to dispatch to a target.
type Request struct {
	ID     ident.RequestID
	Method string
	// Path is the path and query at the target.
	Path        string
	ContentType string
	Data        []byte
	// IdempotencyKey is the Idempotency-Key of the caller, if any; targets that support it detect duplicates.
	IdempotencyKey string
	// Idempotent is true when the route is declared as idempotent. Run sends such a call once too, but to a
	// plain service over a reused connection, whose loss makes the outcome unknown.
	Idempotent bool
}

// Part is a part of an answer.
type Part struct {
	// Status and ContentType are set in the first part only.
	Status      int
	ContentType string
	// Stream is true in the first part when the answer is a stream of server-sent events.
	Stream bool
	Data   []byte
	Tokens ident.Tokens
}

// Outcome is the result of a request at its target.
type Outcome struct {
	// Complete is true when the target ended the answer itself.
	Complete bool
	// Run is fault.NotRun only if no byte was written to the target.
	Run    fault.Run
	Reason fault.Reason
	Detail string
	// ConnectionLost is true when the connection to the target broke and could not be resumed.
	ConnectionLost bool
	Prompt         ident.Tokens
	Output         ident.Tokens
	Cached         ident.Tokens
}

// Command is a command for a target under a lease.
type Command struct {
	Verb    string
	Version ident.Version
	Value   string
	Fence   ident.Fence
	// Issuer names the process that sends the command, for targets that check it.
	Issuer ident.ProcessID
}

// Load is the load that a target reports; it lags behind the actual load.
type Load struct {
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	CacheUsed ident.Tokens `json:"used"`
	CacheSize ident.Tokens `json:"size"`
	// Version is the version that the target runs; empty if it reports none.
	Version ident.Version `json:"version"`
}

// CacheEvent lists the prompt blocks that were added to and removed from a target's prefix cache.
type CacheEvent struct {
	Seq     ident.Seq     `json:"seq"`
	Added   []ident.Block `json:"added"`
	Removed []ident.Block `json:"removed"`
}

// Timeouts of probes, cancellations, reads and commands, and of connecting.
const (
	probeTimeout   = 500 * time.Millisecond
	commandTimeout = 30 * time.Second
	dialTimeout    = time.Second
)

// Target is a back end that runs requests.
type Target interface {
	// Run sends r and calls emit for each part of the answer in order. It never sends r twice.
	Run(ctx context.Context, r Request, emit func(Part)) Outcome
	// Resume reads the answer of a request that was sent before, from its first part.
	// ok is false when the target does not know the request.
	Resume(ctx context.Context, id ident.RequestID, emit func(Part)) (out Outcome, ok bool)
	// Cancel stops a request.
	Cancel(ctx context.Context, id ident.RequestID) error
	// Probe returns nil when the target answers.
	Probe(ctx context.Context) error
	// SendCommand sends a command; it returns ErrStaleFence if the target refuses its fencing token.
	SendCommand(ctx context.Context, cmd Command) error
}
