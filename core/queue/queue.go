// Package queue decides, for one target, which offers wait, in which order they are granted, how much
// the engine is given at a time, and what is refused.
package queue

import (
	"slices"
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// ItemsMax bounds the waiting offers.
	ItemsMax = 512
	// TokensMax is the number of waiting tokens from which the queue is full.
	TokensMax ident.Tokens = 1 << 20
	// NoFloor is the floor of a queue in which nothing waits.
	NoFloor ident.Tier = 255
	// GapTarget is the time between output tokens that the window keeps.
	GapTarget = 36 * time.Millisecond
	// FirstTarget is the time to the first token that the window keeps, in addition to the prefill time.
	FirstTarget = 670 * time.Millisecond
	// GrantTime is the time after which a grant that was not started lapses.
	GrantTime = time.Second
)

// Queue is the queue and window of one target. It is not safe for concurrent use.
type Queue struct {
	waiting []Item
	running map[ident.RequestID]Item
}

// Option changes a limit of a Queue.
type Option func(*Queue)

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{running: map[ident.RequestID]Item{}}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Push adds an offer. It returns the offers of lower tiers that were evicted for it, or an error with
// reason Shed, Deadline or Duplicate when the offer itself is refused.
func (q *Queue) Push(now time.Time, it Item) (evicted []Refusal, err *fault.Error) {
	it.Arrived = now
	q.waiting = append(q.waiting, it)
	return nil, nil
}

// Remove takes back an offer that waits or was granted but not started, and reports whether there was one.
func (q *Queue) Remove(_ time.Time, id ident.RequestID) bool {
	n := len(q.waiting)
	q.waiting = slices.DeleteFunc(q.waiting, func(it Item) bool { return it.ID == id })
	return len(q.waiting) < n
}

// Next takes the best offer for which there is room and reserves the room. It also returns the offers
// that were found unable to meet their deadline. It is called until ok is false.
func (q *Queue) Next(_ time.Time) (it Item, refused []Refusal, ok bool) {
	if len(q.waiting) == 0 {
		return it, nil, false
	}
	it = q.waiting[0]
	q.waiting = q.waiting[1:]
	q.running[it.ID] = it
	return it, nil, true
}

// Lapse returns the offers that can no longer meet their deadline, and the grants that were not started
// within the grant time. It also lets the window follow the engine; it is called at least every 100 ms.
func (q *Queue) Lapse(_ time.Time) (refused []Refusal, lapsed []Item) { return nil, nil }

// Started records that the body of a granted offer is written to the engine; false if it was not granted.
func (q *Queue) Started(_ time.Time, id ident.RequestID) bool {
	_, ok := q.running[id]
	return ok
}

// FirstToken records the first byte of the answer of a running request.
func (q *Queue) FirstToken(time.Time, ident.RequestID) {}

// Progress records n more output tokens of a running request.
func (q *Queue) Progress(_ time.Time, _ ident.RequestID, _ ident.Tokens) {}

// Finished frees the room of a running request and learns from its outcome.
func (q *Queue) Finished(_ time.Time, id ident.RequestID, _ Outcome) { delete(q.running, id) }

// Drain removes and returns all waiting offers as refusals with the given fault, for a stop.
func (q *Queue) Drain(_ time.Time, f *fault.Error) (out []Refusal) {
	for _, it := range q.waiting {
		out = append(out, Refusal{Item: it, Fault: f})
	}
	q.waiting = nil
	return out
}

// Load returns the state for a load report.
func (q *Queue) Load() Summary { return Summary{Running: len(q.running), Floor: NoFloor} }
