// Package recent remembers when things happened last, in bounded memory.
package recent

import "time"

// Times holds the last times of keys. It is not safe for concurrent use.
type Times[K comparable] struct {
	// max bounds each of the maps. When newer is full it takes the place of older, so that the max keys that were recorded
	// last are always known.
	max          int
	newer, older map[K]time.Time
}

// NewTimes returns an empty record that surely knows the last n keys, and at most twice as many.
func NewTimes[K comparable](n int) Times[K] { return Times[K]{max: n, newer: map[K]time.Time{}} }

// Record records a time of a key, in place of an earlier one.
func (t *Times[K]) Record(k K, at time.Time) {
	if len(t.newer) >= t.max {
		t.newer, t.older = map[K]time.Time{}, t.newer
	}
	t.newer[k] = at
}

// Last returns the time that was recorded last for a key; zero if none is known.
func (t *Times[K]) Last(k K) time.Time {
	if at, ok := t.newer[k]; ok {
		return at
	}
	return t.older[k]
}
