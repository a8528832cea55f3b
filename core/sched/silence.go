package sched

import "time"

// SoundSilence is the longest time for which a sound target sends nothing and then goes on: "a second or so" on the
// users' pages, with time for the network and for late timers. It is below the two seconds after which the first callers
// leave a stream.
const SoundSilence = 1600 * time.Millisecond
