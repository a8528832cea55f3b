// Package load sends planned requests to routers, measures the answers and judges the promises that
// a caller can see.
package load

import (
	"time"

	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/fault"
)

// End says how a request ended for its caller.
type Outcome string

// Ends of a request.
const (
	// Whole is an answer that ended as the protocol demands.
	Complete Outcome = "whole"
	// Cut is an answer that ended early and said so.
	Truncated Outcome = "cut"
	// Torn is an answer that ended early without an error event, or whose events are malformed.
	Invalid Outcome = "torn"
	// Refused is a problem document instead of an answer.
	Refused Outcome = "refused"
	// Failed is an HTTP error without a problem document, or a lost connection before the answer.
	Failed Outcome = "failed"
	// Unfinished is a request that still ran when the load's time was over.
	Unfinished Outcome = "unfinished"
)

// Result is the outcome of one Shot.
type Result struct {
	Request plan.Request
	Router  string
	Outcome Outcome
	// Status is the HTTP status, zero when none came.
	Status int
	// Run and Reason are taken from the problem document or the error event.
	RunState string
	Reason   fault.Reason
	// ID is the request id named by a problem document.
	RequestID string
	// First is the time from sending to the first token (first byte for plain services); zero if none came.
	FirstToken time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Gaps are the times between two events with content.
	TokenGaps []time.Duration
	// Session is the session value returned by the router.
	Session string
	Detail  string
}

// Good reports whether the answer is whole and its first token came within the deadline.
func (r Result) Good() bool {
	d := r.Request.Deadline.Duration()
	return r.Outcome == Complete && (d == 0 || r.FirstToken <= d)
}
