// Package queue is the admission queue of one target: it decides which offers wait, in which order they are
// granted, how much work the engine (the server behind the target's agent that runs the requests) is given at a
// time, and what is refused. The agent has one Queue, tells it of every start, token and end of a request, and
// sends the routers the grants and refusals that it returns.
package queue

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// ItemsMax bounds the number of waiting offers.
	ItemsMax = 512
	// TokensMax is the number of waiting tokens from which the queue is full. One offer may exceed it, so that a
	// long offer of a high tier is not refused while lower tiers wait.
	TokensMax ident.Tokens = 1 << 20
	// NoneWaiting stands for the lowest waiting tier of a queue in which nothing waits.
	NoneWaiting ident.Tier = 255
	// GapTarget is the time between output tokens that the window is adapted to.
	GapTarget = 36 * time.Millisecond
	// FirstTokenTarget is the time to the first token, without the prefill time, that the window is adapted to.
	FirstTokenTarget = 670 * time.Millisecond
	// GrantTimeout is the time after which a grant that was not started expires.
	GrantTimeout = time.Second
	// shedRetry is the retry time given to callers of shed requests.
	shedRetry = time.Second
)

// Queue is the queue and window of one target. It is not safe for concurrent use.
type Queue struct {
	maxItems     int
	maxTokens    ident.Tokens
	grantTimeout time.Duration

	waiting waitList
	fair    fairShares
	active  map[ident.RequestID]*run
	// held is the sum of the charges in active; alone is true while active contains a request that must run
	// alone.
	held  ident.Tokens
	alone bool
	// pendingPrompt is the sum of the prompts given to the engine that have no first token yet.
	pendingPrompt ident.Tokens
	// starts numbers the requests in the order of their start.
	starts uint64
	window window
	rates  engineRates
}

// Option changes a limit of a Queue.
type Option func(*Queue)

// WithBounds sets the bounds on waiting offers and on their tokens.
func WithBounds(items int, tokens ident.Tokens) Option {
	return func(q *Queue) { q.maxItems, q.maxTokens = items, tokens }
}

// WithWindow sets the initial window: the requests and tokens that the engine is given at a time.
func WithWindow(requests int, tokens ident.Tokens) Option {
	return func(q *Queue) { q.window.requests, q.window.tokens = requests, tokens }
}

// WithLatencyTargets sets the token gap and the first-token time that the window is adapted to.
func WithLatencyTargets(gap, first time.Duration) Option {
	return func(q *Queue) { q.window.gapTarget, q.window.firstTokenTarget = gap, first }
}

// New returns an empty queue.
func New(opts ...Option) *Queue {
	q := &Queue{
		maxItems:     ItemsMax,
		maxTokens:    TokensMax,
		grantTimeout: GrantTimeout,
		waiting:      newWaitList(),
		fair:         newFairShares(),
		active:       map[ident.RequestID]*run{},
		window:       newWindow(),
	}
	for _, o := range opts {
		o(q)
	}
	return q
}

// Push adds an offer. It returns the offers of lower tiers that were evicted for it, or an error with reason
// Shed, Deadline or Duplicate when the offer itself is refused. A refused offer evicts nothing, because a queue
// never holds lower tiers while the other offers alone fill it: when an accepted offer exceeds the token bound,
// Push evicts lower tiers at once until the bound is met or none of them is left.
func (q *Queue) Push(now time.Time, it Item) (evicted []Refusal, err *fault.Error) {
	if q.waiting.byID[it.ID] != nil || q.active[it.ID] != nil {
		return nil, fault.NotRunf(fault.Duplicate, "request is here already")
	}
	it.Arrived = now
	it.Weight = max(it.Weight, 1)
	if !q.feasibleOnArrival(now, &it) {
		return nil, fault.NotRunf(fault.Deadline, "deadline cannot be met")
	}
	for q.full() {
		e := q.waiting.evictionCandidate(it.Tier)
		if e == nil {
			return evicted, shedFault()
		}
		evicted = append(evicted, q.evict(e))
	}
	q.fair.addRequest(it.Account)
	q.waiting.add(&entry{Item: it})
	for q.waiting.tokens > q.maxTokens {
		e := q.waiting.evictionCandidate(it.Tier)
		if e == nil {
			break
		}
		evicted = append(evicted, q.evict(e))
	}
	return evicted, nil
}

// Remove removes an offer that waits or was granted but not started, and reports whether there was one.
func (q *Queue) Remove(_ time.Time, id ident.RequestID) bool {
	if e := q.waiting.byID[id]; e != nil {
		q.dequeue(e)
		return true
	}
	r := q.active[id]
	if r == nil || r.started {
		return false
	}
	q.cancelGrant(r)
	return true
}

// SetAlone sets whether the waiting offers with a fingerprint must run alone.
func (q *Queue) SetAlone(p ident.Fingerprint, alone bool) {
	for _, e := range q.waiting.all() {
		if e.Fingerprint == p {
			e.Alone = alone
		}
	}
}

// RefuseFingerprint removes the waiting offers with a fingerprint that crashes targets.
func (q *Queue) RefuseFingerprint(_ time.Time, p ident.Fingerprint) (out []Refusal) {
	for _, e := range q.waiting.all() {
		if e.Fingerprint == p {
			q.dequeue(e)
			out = append(out, Refusal{Item: e.Item, Fault: fault.NotRunf(fault.Crashes, "request crashes targets")})
		}
	}
	return out
}

// Drain removes all waiting offers and returns them as refusals with the given fault, as when the target stops.
func (q *Queue) Drain(_ time.Time, f *fault.Error) (out []Refusal) {
	for _, e := range q.waiting.all() {
		q.dequeue(e)
		out = append(out, Refusal{Item: e.Item, Fault: f})
	}
	return out
}

// Len returns the number of waiting offers.
func (q *Queue) Len() int { return len(q.waiting.byID) }

func (q *Queue) full() bool {
	return len(q.waiting.byID) >= q.maxItems || q.waiting.tokens >= q.maxTokens
}

// dequeue removes a waiting entry that is not granted.
func (q *Queue) dequeue(e *entry) {
	q.waiting.remove(e)
	q.fair.removeRequest(e.Account)
}

func (q *Queue) evict(e *entry) Refusal {
	q.dequeue(e)
	return Refusal{Item: e.Item, Fault: shedFault()}
}

func shedFault() *fault.Error {
	f := fault.NotRunf(fault.Shed, "queue is full of equal or higher tiers")
	f.RetryAfter = shedRetry
	return f
}
