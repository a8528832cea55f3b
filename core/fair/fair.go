// Package fair decides how accounts of the same tier share the capacity of targets while it is short.
//
// Load pattern: one account sends many times its usual traffic, within its limit, while the targets are full. In the order
// of arrival it would take the slots of the others in proportion to its traffic. The bucket of an account's limit, of which
// each router holds a replica, tells how much work the account has had lately in relation to what it is entitled to. So a
// request goes behind later ones of the same class the emptier the bucket of its account is: an account gets what it is
// entitled to, and beyond that what the others leave.
package fair

import (
	"time"

	"hickoryvane.example/core/ident"
)

// deferShare is the part of the time to a request's due first event by which the request is deferred if the bucket of its
// account is empty. It is less than all of it, so that the request can still be on time.
const deferShare = 0.5

// Deferral returns the time by which a request is deferred behind others of its class. level and burst are those of its
// account's bucket, goal is the time within which its first event is due. An account without a limit is not deferred.
func Deferral(level, burst ident.Tokens, goal time.Duration) time.Duration {
	if burst <= 0 || goal <= 0 {
		return 0
	}
	used := 1 - min(max(float64(level)/float64(burst), 0), 1)
	return time.Duration(deferShare * used * float64(goal))
}
