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
	// SoundSilence is the time for which any sound target may send nothing and then go on: "a second or so" on the users'
	// pages, with time for the network and for late timers. It is below the two seconds after which the first callers
	// leave a stream. Targets that preempt requests for lack of memory are silent for longer; see silenceStats.
	SoundSilence = 1600 * time.Millisecond
	// leastSilence is the shortest time between two events that counts as a silence. Shorter ones count in the mean time
	// between events.
	leastSilence = 500 * time.Millisecond
	// silenceMemory is the time of streams that is remembered. silenceDoubt is the time of streams in which one silence
	// is assumed before any was seen.
	silenceMemory = 20_000 * time.Second
	silenceDoubt  = 100 * time.Second
)

// silenceStats holds for how long streams ran, how many of them met a silence, and how long silences were. The zero value
// is empty.
type silenceStats struct {
	streamed time.Duration
	silences float64
	// longest is the longest silence since streamed was last halved, longestBefore that of the time before.
	longest, longestBefore time.Duration
}

// record learns from the end of a stream, complete or not.
func (s *silenceStats) record(o Outcome) { s.add(o.Streamed, o.Silence, o.Resumed) }

// recordStart learns from the first event of a stream, which was expected after the given time.
func (s *silenceStats) recordStart(waited, expected time.Duration) {
	s.add(waited, waited-expected, waited-expected)
}

// add learns from a stream, its longest silence, and the longest one after which the target went on. Others say nothing
// about how long a target that works on may be silent.
func (s *silenceStats) add(streamed, silence, resumed time.Duration) {
	if streamed <= 0 {
		return
	}
	if s.streamed > silenceMemory {
		s.streamed, s.silences = s.streamed/2, s.silences/2
		s.longest, s.longestBefore = 0, s.longest
	}
	s.streamed += streamed
	if silence >= leastSilence {
		s.silences++
	}
	if resumed >= leastSilence {
		s.longest = max(s.longest, resumed)
	}
}

// length returns the time for which a target that falls silent may be silent.
func (s *silenceStats) length() time.Duration {
	return max(SoundSilence, s.longest+endingSlack, s.longestBefore+endingSlack)
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
