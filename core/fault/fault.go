// Package fault defines the typed errors with which a request can end, and how they are reported to callers.
package fault

import (
	"fmt"
	"net/http"
	"time"
)

// Run states whether a request ran on a target.
type Run uint8

// Run states. The zero value is Unknown, so that a field that was not set never states "not run".
const (
	Unknown Run = iota
	NotRun
	Ran
)

var runNames = [...]string{Unknown: "unknown", NotRun: "not run", Ran: "ran"}

// String returns the form shown to callers.
func (r Run) String() string {
	if int(r) < len(runNames) {
		return runNames[r]
	}
	return runNames[Unknown]
}

// Reason states why a request was refused or its answer truncated; one word, shown to callers and used as a metric
// label.
type Reason string

// Reasons.
const (
	Invalid            Reason = "invalid"   // malformed or oversized input
	Auth               Reason = "auth"      // unknown or wrong key
	Route              Reason = "route"     // no such service or route
	Quota              Reason = "quota"     // the account is over its own limit
	Shed               Reason = "shed"      // queues are full of equal or higher tiers
	Deadline           Reason = "deadline"  // the deadline cannot be met
	Crashes            Reason = "crashes"   // the request crashes targets
	Trial              Reason = "trial"     // targets crashed under requests like it; one is tried first
	Draining           Reason = "draining"  // the process or target is stopping
	BadVersion         Reason = "bad"       // the version is rolled back
	Store              Reason = "store"     // the object API is not available
	Duplicate          Reason = "duplicate" // the request was sent before
	Lost               Reason = "lost"      // the agent or target was lost
	Target             Reason = "target"    // the target failed
	Expired            Reason = "lapsed"    // the grant's ticket is no longer valid
	Gone               Reason = "gone"      // the answer is no longer kept
	Config             Reason = "config"    // no configuration or no target is available
	ClientDisconnected Reason = "left"      // the client disconnected
)

var statusByReason = map[Reason]int{
	Invalid:            http.StatusBadRequest,
	Auth:               http.StatusUnauthorized,
	Route:              http.StatusNotFound,
	Quota:              http.StatusTooManyRequests,
	Shed:               http.StatusServiceUnavailable,
	Deadline:           http.StatusServiceUnavailable,
	Crashes:            http.StatusUnprocessableEntity,
	Trial:              http.StatusServiceUnavailable,
	Draining:           http.StatusServiceUnavailable,
	BadVersion:         http.StatusServiceUnavailable,
	Store:              http.StatusServiceUnavailable,
	Duplicate:          http.StatusConflict,
	Lost:               http.StatusBadGateway,
	Target:             http.StatusBadGateway,
	Expired:            http.StatusServiceUnavailable,
	Gone:               http.StatusGone,
	Config:             http.StatusServiceUnavailable,
	ClientDisconnected: 499,
}

// Error is the result of a request that has no complete answer.
type Error struct {
	// Run is the only statement about execution; NotRun is set only if nothing was written to a target.
	Run    Run
	Reason Reason
	// Detail is one sentence for the people who read the answer.
	Detail string
	// RetryAfter is the time after which a new attempt makes sense; zero if none is known.
	RetryAfter time.Duration
	// StatusOverride replaces the HTTP status of Reason when not zero.
	StatusOverride int
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s: %s (%s)", e.Reason, e.Detail, e.Run)
}

// Status returns the HTTP status of e.
func (e *Error) Status() int {
	if e.StatusOverride != 0 {
		return e.StatusOverride
	}
	if code, ok := statusByReason[e.Reason]; ok {
		return code
	}
	return http.StatusInternalServerError
}

// NotRunf returns a refusal that states that nothing was written to a target.
func NotRunf(reason Reason, format string, args ...any) *Error {
	return &Error{Run: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}
