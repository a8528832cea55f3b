// Package load sends planned requests to routers, measures the answers and checks the promises that
// a caller can observe.
package load

import (
	"time"

	"hickoryvane.example/bench/plan"
	"hickoryvane.example/core/fault"
)

// Outcome is the way in which a request ended for its caller.
type Outcome string

// Outcomes of a request.
const (
	// Complete is an answer that ended as the protocol requires.
	Complete Outcome = "whole"
	// Truncated is an answer that ended early with an error event.
	Truncated Outcome = "cut"
	// Malformed is an answer that ended early without an error event, or that is malformed.
	Malformed Outcome = "torn"
	// Refused is a problem document instead of an answer.
	Refused Outcome = "refused"
	// Failed is an HTTP error without a problem document, or a connection that failed before the answer.
	Failed Outcome = "failed"
	// Unfinished is a request that was still running when the load ended.
	Unfinished Outcome = "unfinished"
)

// Result describes the answer to one request.
type Result struct {
	Request plan.Request
	Router  string
	Outcome Outcome
	// Status is the HTTP status, zero if none was received.
	Status int
	// RunState and Reason are those of the problem document or the error event.
	RunState string
	Reason   fault.Reason
	// RequestID is the request id in the problem document or the error event.
	RequestID string
	// FirstToken is the time from sending to the first token (header of the answer for plain services); zero if
	// none was received.
	FirstToken time.Duration
	// Total is the time from sending to the end of the answer.
	Total time.Duration
	// TokenGaps are the times between consecutive events with content.
	TokenGaps []time.Duration
	// Session is the session value returned by the router.
	Session string
	Detail  string
}

// Good reports whether the answer is complete and its first token arrived within the deadline.
func (r Result) Good() bool {
	d := r.Request.Deadline.Duration()
	return r.Outcome == Complete && (d == 0 || r.FirstToken <= d)
}
