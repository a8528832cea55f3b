// Package avail determines the state of a target from what is known of it: whether it takes new requests, for which
// reason it takes none, and what ends that. Whether a target may serve a request at all, because of its region, depends
// on the request and is a separate query, Homes. Package sched asks this package for every placement.
package avail
