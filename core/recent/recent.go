// Package recent remembers the latest of many values in bounded memory.
package recent

import "time"

// Map holds values by their keys. It is not safe for concurrent use.
type Map[K comparable, V any] struct {
	// max bounds each of the maps. When newer is full it takes the place of older, so that the max keys that were set last
	// are always known.
	max          int
	newer, older map[K]V
}

// Times holds the last times of keys.
type Times[K comparable] struct{ Map[K, time.Time] }

// NewMap returns an empty map that surely knows the last n keys, and at most twice as many.
func NewMap[K comparable, V any](n int) Map[K, V] { return Map[K, V]{max: n, newer: map[K]V{}} }

// NewTimes returns an empty Times that surely knows the last n keys, and at most twice as many.
func NewTimes[K comparable](n int) Times[K] { return Times[K]{NewMap[K, time.Time](n)} }

// Set sets the value of a key.
func (m *Map[K, V]) Set(k K, v V) {
	if len(m.newer) >= m.max {
		m.newer, m.older = map[K]V{}, m.newer
	}
	m.newer[k] = v
}

// Get returns the value of a key; ok is false if none is known.
func (m *Map[K, V]) Get(k K) (v V, ok bool) {
	if v, ok = m.newer[k]; !ok {
		v, ok = m.older[k]
	}
	return v, ok
}

// Record records a time of a key, in place of an earlier one.
func (t *Times[K]) Record(k K, at time.Time) { t.Set(k, at) }

// Last returns the time that was recorded last for a key; zero if none is known.
func (t *Times[K]) Last(k K) time.Time {
	at, _ := t.Get(k)
	return at
}
