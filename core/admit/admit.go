// Package admit decides when a router that is short of processor time, memory or bandwidth stops taking new callers.
// Router (router/direct) passes it samples of its own resources and what the other routers of its data centre report, and
// reports not ready while it is withdrawn.
//
// Load pattern: the load balancer spreads callers evenly over routers of which some have an eighth of the processor time
// of others and a twentieth of the bandwidth. In a peak all small routers run short at the same moment, and if all of them
// withdrew, the rest would run short as well. So a router first reports that it is short; after the time in which all
// others have heard of it, only so many withdraw that at least half of the data centre stays ready. They are chosen
// alike by all routers: those that are withdrawn already, then in the order of their names.
package admit

import (
	"math/bits"
	"time"

	"hickoryvane.example/core/ident"
)

// Shortage is the resource that a router is short of.
type Shortage uint8

// Shortages.
const (
	None Shortage = iota
	Processor
	Memory
	Bandwidth
)

var shortageNames = [...]string{None: "none", Processor: "processor", Memory: "memory", Bandwidth: "bandwidth"}

// String returns the name used in log lines.
func (s Shortage) String() string { return shortageNames[s] }

const (
	// delayMax is the scheduling delay above which a router is short of processor time. A first event is due within 400
	// ms, and a request is scheduled at least twice on its way.
	delayMax = 200 * time.Millisecond
	// memoryMax is the share of the process's memory, and bandwidthMax that of the bandwidth, above which it is short.
	memoryMax    = 0.85
	bandwidthMax = 0.9
	// window is the number of samples that are looked at, one a second; a resource is short if it was over its limit in
	// shortMin of them, and until it was in none. A process that was suspended once is not short.
	window   = 5
	shortMin = 3
	// settleTime is the time from the report of a shortage to the withdrawal: twice the age that reports may have. A
	// router that withdraws then knows of all that were short that long before, and those that it did not know of see
	// that it has withdrawn before they do so themselves.
	settleTime = 2 * reportAge
	reportAge  = 2 * time.Second
)

// Sample holds the use of resources in the last second.
type Sample struct {
	// Delay is the longest time by which the process ran later than it asked for.
	Delay time.Duration
	// Memory and Bandwidth are the shares in use; zero if the limit is not known.
	Memory, Bandwidth float64
}

// Peer is another router of the same data centre that may be running.
type Peer struct {
	ID ident.ProcessID
	// Ready is false also for a router that was not heard lately.
	Ready, Short bool
}

// Admission is the state of one router. The zero value with a Self is ready for use. It is not safe for concurrent use.
type Admission struct {
	Self ident.ProcessID

	// over holds, by shortage, which of the last samples were over the limit; the last one is the lowest bit.
	over [len(shortageNames)]uint8
	// since is the time since which the router is short; zero while it is not.
	since     time.Time
	withdrawn bool
}

// Observe records the sample of a second.
func (a *Admission) Observe(now time.Time, s Sample) {
	for i, over := range [...]bool{Processor: s.Delay > delayMax, Memory: s.Memory > memoryMax, Bandwidth: s.Bandwidth > bandwidthMax} {
		bit := uint8(0)
		if over {
			bit = 1
		}
		a.over[i] = (a.over[i]<<1 | bit) & (1<<window - 1)
	}
	switch {
	case a.since.IsZero() && a.worst(shortMin) != None:
		a.since = now
	case a.worst(1) == None:
		a.since = time.Time{}
	}
}

// worst returns the resource that was over its limit in most of the last samples, at least n.
func (a *Admission) worst(n int) (s Shortage) {
	for i, o := range a.over {
		if k := bits.OnesCount8(o); k >= n {
			s, n = Shortage(i), k+1
		}
	}
	return s
}

// Shortage returns what the router is short of, for its heartbeats.
func (a *Admission) Shortage() Shortage {
	if a.since.IsZero() {
		return None
	}
	return a.worst(1)
}

// Withdraw decides whether the router takes no new callers, given the other routers of its data centre.
func (a *Admission) Withdraw(now time.Time, peers []Peer) bool {
	allowed, out := (len(peers)+1)/2, 0
	for _, p := range peers {
		switch {
		case !p.Ready && !p.Short, // out for another reason
			!p.Ready && (!a.withdrawn || p.ID < a.Self),
			p.Ready && p.Short && !a.withdrawn && p.ID < a.Self:
			out++
		}
	}
	a.withdrawn = !a.since.IsZero() && now.Sub(a.since) >= settleTime && out < allowed
	return a.withdrawn
}
