package guard

import (
	"time"

	"hickoryvane.example/core/ident"
)

// Sort is the meaning of a Fact.
type Kind string

// Sorts of facts.
const (
	// Crash means that a target crashed while the fingerprint ran on it.
	Crash Kind = "crash"
	// Clear means that a request with the fingerprint finished.
	Clear Kind = "clear"
	// Block means that requests with the fingerprint are refused until a time.
	Block Kind = "block"
)

// Fact is one statement about a fingerprint, to be spread to all processes. Facts may arrive in any
// order and more than once.
type Entry struct {
	Kind        Kind
	Fingerprint ident.Fingerprint
	// Target crashed; for Crash only.
	Target ident.TargetID
	// Among is the number of requests that ran on the target, at least 1; for Crash only.
	Running int
	// At is the time of the crash, of the finish, or of the end of the block.
	At time.Time
}

// Verdict says how a request is to be handled.
type Verdict uint8

// Verdicts.
const (
	// Free means that nothing is known against the fingerprint.
	Allowed Verdict = iota
	// Alone means that the request may run only while its target runs nothing else.
	Isolated
	// Blocked means that the request is refused with fault.Crashes as not run.
	Blocked
)
