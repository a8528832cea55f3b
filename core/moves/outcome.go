// Package moves holds the machines of a move from one version of a service to another: evidence,
// shares, verdict, local refusal, choice of version, and the recording of the end.
package moves

import (
	"math"
	"time"

	"hickoryvane.example/core/ident"
)

// Outcome is the end of one request at a target, as its agent saw it.
type Outcome struct {
	Route       ident.Route
	Fingerprint ident.Fingerprint
	// Failed is true for an error of the target, a crash or a time-out.
	Failed bool
	// Took is the time at the target until the first byte, without queue and region link. Model
	// services divide it by the prompt's length relative to the route's usual one.
	TimeToFirstByte time.Duration
	// Crash identifies the crash of the target that failed the request; zero if it did not crash.
	// All requests that one crash fails count as one failure.
	Crash uint64
	// Excused is true for outcomes that say nothing about the version: the fingerprint is blocked,
	// the client cancelled, or the store was needed and out.
	Excluded bool
}

// Latency bins are half powers of two of milliseconds: a bin is 1.41 times as wide as the one
// before. A slow-down below that factor does not show.
const binCount = 32

// Counts are monotonic counters of the outcomes of one version.
type Counts struct {
	// Requests includes Failures.
	Requests uint64
	Failures uint64
	// Bins count the latencies of requests that did not fail.
	LatencyBins [binCount]uint64
}

// binOf returns the latency bin of d.
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

// Good returns the number of requests that did not fail.
func (c Counts) Successes() uint64 { return c.Requests - c.Failures }

// above returns the number of latencies in bin i or higher.
func (c Counts) countFrom(i int) (n uint64) {
	for _, k := range c.LatencyBins[i:] {
		n += k
	}
	return n
}
