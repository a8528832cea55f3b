// Package moves implements rollouts from one version of a service to another as state machines without I/O:
// evidence, shares of the versions, verdict, local refusal, choice of version, and the record of the conclusion.
// Declarations, stored objects and texts for operators call a rollout a move.
//
// There are two kinds. A Machine runs a declared rollout at routers and agents, which share evidence by gossip: agents
// count outcomes (OutcomeCounter) and refuse requests (LocalJudge), routers choose versions (Chooser), and the router
// that holds the lease records the conclusion (ConclusionWriter); see package active. A ShortRollout runs a requested
// rollout at routers without agents; see router/direct.
package moves

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

// Outcome is the outcome of one request at a target, as its agent saw it.
type Outcome struct {
	Route       ident.Route
	Fingerprint ident.Fingerprint
	// Failed is true for an error of the target, a crash or a timeout.
	Failed bool
	// TimeToFirstByte is the time at the target until the first byte, without queueing and the link between
	// regions. For model services it is divided by the length of the prompt relative to the usual length on the
	// route.
	TimeToFirstByte time.Duration
	// Crash identifies the crash of the target that failed the request; zero if it did not crash.
	// All requests that one crash fails count as one failure.
	Crash uint64
	// Excluded is true for outcomes that say nothing about the version: the fingerprint is blocked, the client
	// cancelled, or the store was needed and unavailable.
	Excluded bool
}

// Latency bins have powers of the square root of two in milliseconds as bounds: each bin is 1.41 times as wide as
// the one before. A slowdown below that factor is not detected.
const binCount = 32

// Counts are monotonic counters of the outcomes of one version.
type Counts struct {
	// Requests includes Failures.
	Requests uint64
	Failures uint64
	// LatencyBins count the latencies of requests that did not fail.
	LatencyBins [binCount]uint64
}

// latencyBin returns the index of the latency bin of d.
func latencyBin(d time.Duration) int {
	ms := float64(d) / float64(time.Millisecond)
	if ms <= 1 {
		return 0
	}
	return min(int(2*math.Log2(ms)), binCount-1)
}

func (c *Counts) add(o Outcome) {
	c.Requests++
	if o.Failed {
		c.Failures++
		return
	}
	c.LatencyBins[latencyBin(o.TimeToFirstByte)]++
}

func (c *Counts) merge(d Counts) {
	c.Requests += d.Requests
	c.Failures += d.Failures
	for i, n := range d.LatencyBins {
		c.LatencyBins[i] += n
	}
}

// Successes returns the number of requests that did not fail.
func (c Counts) Successes() uint64 { return c.Requests - c.Failures }

// countFrom returns the number of latencies in bin i or higher.
func (c Counts) countFrom(i int) (n uint64) {
	for _, k := range c.LatencyBins[i:] {
		n += k
	}
	return n
}
