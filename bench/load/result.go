// Package load sends planned requests to routers, measures the answers and judges the promises that
// a caller can see.
package load

import (
	"time"

	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/fault"
)

// End says how a request ended for its caller.
type End string

// Ends of a request.
const (
	// Whole is an answer that ended as the protocol demands.
	Whole End = "whole"
	// Cut is an answer that ended early and said so.
	Cut End = "cut"
	// Torn is an answer that ended early without an error event, or whose events are malformed.
	Torn End = "torn"
	// Refused is a problem document instead of an answer.
	Refused End = "refused"
	// Failed is an HTTP error without a problem document, or a lost connection before the answer.
	Failed End = "failed"
	// Unfinished is a request that still ran when the load's time was over.
	Unfinished End = "unfinished"
)

// Result is the outcome of one Shot.
type Result struct {
	Shot   plan.Shot
	Router string
	End    End
	// Status is the HTTP status, zero when none came.
	Status int
	// Run and Reason are taken from the problem document or the error event.
	Run    string
	Reason fault.Reason
	// ID is the request id named by a problem document.
	ID string
	// First is the time from sending to the first token (first byte for plain services); zero if none came.
	First time.Duration
	// Total is the time from sending to the end.
	Total time.Duration
	// Gaps are the times between two events with content.
	Gaps []time.Duration
	// Session is the session value returned by the router.
	Session string
	Detail  string
}

// Good reports whether the answer is whole and its first token came within the deadline.
func (r Result) Good() bool {
	d := r.Shot.Deadline.Duration()
	return r.End == Whole && (d == 0 || r.First <= d)
}
