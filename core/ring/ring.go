// Package ring provides a bounded queue between goroutines.
package ring

import (
	"context"
	"sync"
)

// Ring is a bounded first-in, first-out queue. All methods are safe for concurrent use.
type Ring[T any] struct {
	mu sync.Mutex
	// items grows up to size; head is the index of the oldest of n items.
	items []T
	size  int
	head  int
	n     int
	// ready holds at most one signal; it is sent when an item is added.
	ready chan struct{}
	// room holds at most one signal; it is sent when an item is removed.
	room chan struct{}
}

// initialSize is the capacity of a new ring in items. A router has a ring for each request, thousands at a time, and
// most of them never need more.
const initialSize = 8

// New returns a ring for at most size items; size must be at least 1.
func New[T any](size int) *Ring[T] {
	return &Ring[T]{items: make([]T, min(size, initialSize)), size: size, ready: make(chan struct{}, 1), room: make(chan struct{}, 1)}
}

// TryPut appends v and reports whether there was room.
func (r *Ring[T]) TryPut(v T) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == r.size {
		return false
	}
	r.push(v)
	return true
}

// Put appends v. It waits for room until ctx ends, and then returns the error of ctx.
func (r *Ring[T]) Put(ctx context.Context, v T) error {
	for !r.TryPut(v) {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-r.room:
		}
	}
	if r.Len() < r.size { // another writer may wait as well
		signal(r.room)
	}
	return nil
}

// PutEvictingOldest appends v. When the ring is full it drops the oldest item and reports true.
func (r *Ring[T]) PutEvictingOldest(v T) (dropped bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == r.size {
		r.pop()
		dropped = true
	}
	r.push(v)
	return dropped
}

// Take removes and returns the oldest item; ok is false when the ring is empty.
func (r *Ring[T]) Take() (v T, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.n == 0 {
		return v, false
	}
	return r.pop(), true
}

// Ready returns a channel that receives a value after items were added.
// After a receive, the reader calls Take until it reports false.
func (r *Ring[T]) Ready() <-chan struct{} { return r.ready }

// Len returns the number of items held.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.n
}

func (r *Ring[T]) push(v T) {
	if r.n == len(r.items) {
		r.grow()
	}
	r.items[(r.head+r.n)%len(r.items)] = v
	r.n++
	signal(r.ready)
}

// grow doubles the capacity, up to size, and moves the oldest item to the start.
func (r *Ring[T]) grow() {
	items := make([]T, min(2*len(r.items), r.size))
	k := copy(items, r.items[r.head:])
	copy(items[k:], r.items[:r.head])
	r.items, r.head = items, 0
}

// signal sends a signal unless one is already held.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

func (r *Ring[T]) pop() T {
	var zero T
	v := r.items[r.head]
	r.items[r.head] = zero
	r.head = (r.head + 1) % len(r.items)
	r.n--
	signal(r.room)
	return v
}
