// Package target speaks the protocols of back ends: model engines and plain services.
package target

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

// ErrFence means that the target refused an order because of an old fencing number.
var ErrStaleFence = errors.New("target refused an old fencing number")

// Request is one dispatch.
type Request struct {
	ID     ident.RequestID
	Method string
	// Path is the path and query at the target.
	Path        string
	ContentType string
	Data        []byte
	// Key is the Idempotency-Key of the caller, if any; targets that know it protect themselves.
	IdempotencyKey string
	// Repeat is true when the call is idempotent.
	Idempotent bool
}

// Part is a piece of an answer.
type Part struct {
	// Status and Type are set in the first part only.
	Status      int
	ContentType string
	// Stream is true in the first part when the answer is a stream of server-sent events.
	Stream bool
	Data   []byte
	Tokens ident.Tokens
}

// Outcome is the end of a dispatch.
type Outcome struct {
	// Whole is true when the target ended the answer itself.
	Complete bool
	// Run is fault.NotRun only if no byte was written to the target.
	Run    fault.Run
	Reason fault.Reason
	Detail string
	// Lost is true when the connection to the target broke and could not be resumed.
	ConnectionLost bool
	Prompt         ident.Tokens
	Output         ident.Tokens
	Cached         ident.Tokens
}

// Order is an order for a target under a lease.
type Command struct {
	Verb    string
	Version ident.Version
	Value   string
	Fence   ident.Fence
	// Issuer names the process that gives the order, for targets that check it.
	Issuer ident.ProcessID
}

// Load is what a target reports of itself; it lags behind.
type Load struct {
	Running   int          `json:"running"`
	Waiting   int          `json:"waiting"`
	CacheUsed ident.Tokens `json:"used"`
	CacheSize ident.Tokens `json:"size"`
	// Version is the version that the target runs; empty if it does not tell.
	Version ident.Version `json:"version"`
}

// CacheEvent tells which prompt blocks entered or left a target's prefix cache.
type CacheEvent struct {
	Seq     ident.Seq     `json:"seq"`
	Added   []ident.Block `json:"added"`
	Removed []ident.Block `json:"removed"`
}

// Timeouts of calls that are not requests of callers.
const (
	probeTimeout   = 500 * time.Millisecond
	commandTimeout = 30 * time.Second
	dialTimeout    = time.Second
)

// Target is a back end.
type Target interface {
	// Run sends r once and calls emit for each part in order. It never sends r twice.
	Run(ctx context.Context, r Request, emit func(Part)) Outcome
	// Resume reads the answer of a request that was sent before, from its start.
	// ok is false when the target does not know the request.
	Resume(ctx context.Context, id ident.RequestID, emit func(Part)) (out Outcome, ok bool)
	// Cancel stops a request.
	Cancel(ctx context.Context, id ident.RequestID) error
	// Probe returns nil when the target answers.
	Probe(ctx context.Context) error
	// Order gives an order, or returns ErrFence.
	SendCommand(ctx context.Context, o Command) error
}
