package guard

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Kind is the kind of an Entry.
type Kind string

// Kinds of entries.
const (
	// Crash means that a target crashed while a request with the fingerprint ran on it.
	Crash Kind = "crash"
	// Clear means that a request with the fingerprint finished.
	Clear Kind = "clear"
	// Block means that requests with the fingerprint are refused until the given time.
	Block Kind = "block"
)

// Entry is a gossip entry about a fingerprint, published to all processes. Entries may arrive in any order and
// more than once.
type Entry struct {
	Kind        Kind              `json:"Sort"`
	Fingerprint ident.Fingerprint `json:"Print"`
	// Target is the target that crashed; for Crash only.
	Target ident.TargetID
	// Running is the number of requests that ran on the target when it crashed, at least 1; for Crash only.
	Running int `json:"Among"`
	// Proven is true if requests with the fingerprint had finished before, at the process that saw the crash; for Crash
	// only.
	Proven bool `json:",omitempty"`
	// At is the time of the crash, of the completion, or of the end of the block.
	At time.Time
}

// Verdict says how a request is to be handled.
type Verdict uint8

// Verdicts.
const (
	// Allowed means that the fingerprint is not suspected.
	Allowed Verdict = iota
	// Isolated means that the request may run only while its target runs nothing else.
	Isolated
	// Blocked means that the request is refused with fault.Crashes as not run.
	Blocked
)
