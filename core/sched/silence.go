package sched

import (
	"math"
	"time"
)

// How often targets fall silent.
//
// Load pattern: sound targets pause for a second or so and go on, all of them now and then, or none of them for minutes.
// A target does not say so beforehand, and a stream that it is asked for may begin within the pause.

const (
	// SoundSilence is the longest time for which a sound target sends nothing and then goes on: "a second or so" on the
	// users' pages, with time for the network and for late timers. It is below the two seconds after which the first
	// callers leave a stream.
	SoundSilence = 1600 * time.Millisecond
	// leastSilence is the shortest time between two events that counts as a silence. Shorter ones count in the mean time
	// between events.
	leastSilence = 500 * time.Millisecond
	// silenceMemory is the time of streams that is remembered. silenceDoubt is the time of streams in which one silence
	// is assumed before any was seen.
	silenceMemory = 20_000 * time.Second
	silenceDoubt  = 100 * time.Second
)

// silenceStats holds for how long streams ran, and how many of them met a silence. The zero value is empty.
type silenceStats struct {
	streamed time.Duration
	silences float64
}

// record learns from the end of a stream, complete or not.
func (s *silenceStats) record(o Outcome) {
	if o.Streamed <= 0 {
		return
	}
	if s.streamed > silenceMemory {
		s.streamed, s.silences = s.streamed/2, s.silences/2
	}
	s.streamed += o.Streamed
	if o.Silence >= leastSilence {
		s.silences++
	}
}

// chance returns the chance that a target falls silent within d.
func (s *silenceStats) chance(d time.Duration) float64 {
	perSecond := (s.silences + 1) / (s.streamed + silenceDoubt).Seconds()
	return 1 - math.Exp(-perSecond*d.Seconds())
}

// steadyGap returns the mean time between two events of a stream without its longest silence; zero if there were too few
// events.
func (o Outcome) steadyGap() time.Duration {
	if o.Silence < leastSilence || o.Gap <= 0 {
		return o.Gap
	}
	gaps := math.Round(o.Streamed.Seconds() / o.Gap.Seconds())
	if gaps < 2 {
		return 0
	}
	return seconds((o.Streamed - o.Silence).Seconds() / (gaps - 1))
}

// learnSteadyGap updates the time between events without silences with a sample, which may be zero.
func (t *target) learnSteadyGap(gap time.Duration) {
	switch {
	case gap <= 0:
	case t.steadyGap == 0:
		t.steadyGap = gap
	default:
		t.steadyGap += time.Duration(sampleWeight * float64(gap-t.steadyGap))
	}
}
