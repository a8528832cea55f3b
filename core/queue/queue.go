// Package queue decides, for one target, which offers wait, in which order they are granted, how much
// the engine is given at a time, and what is refused.
package queue

import (
	"time"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
)

const (
	// ItemsMax bounds the waiting offers.
	ItemsMax = 512
	// TokensMax is the number of waiting tokens from which the queue is full. One offer may exceed it, so
	// that a long offer of a high tier is not refused while lower tiers wait.
	TokensMax ident.Tokens = 1 << 20
	// NoFloor is the floor of a queue in which nothing waits.
	NoneWaiting ident.Tier = 255
	// GapTarget is the time between output tokens that the window keeps.
	GapTarget = 36 * time.Millisecond
	// FirstTarget is the time to the first token that the window keeps, in addition to the prefill time.
	FirstTokenTarget = 670 * time.Millisecond
	// GrantTime is the time after which a grant that was not started lapses.
	GrantTimeout = time.Second
	// shedRetry is the time told to callers of shed requests.
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
	// held is the sum of the charges in run; alone is true while a suspected request is in run.
	held  ident.Tokens
	alone bool
	// unread is the sum of the prompts that the engine was given and that had no first token yet.
	pendingPrompt ident.Tokens
	// starts numbers the requests in the order of their start.
	starts uint64
	window window
	rates  engineRates
}

// Option changes a limit of a Queue.
type Option func(*Queue)

// WithBounds sets the bounds of waiting offers and of their tokens.
func WithBounds(items int, tokens ident.Tokens) Option {
	return func(q *Queue) { q.maxItems, q.maxTokens = items, tokens }
}

// WithWindow sets the requests and tokens that the engine is given at first.
func WithWindow(requests int, tokens ident.Tokens) Option {
	return func(q *Queue) { q.window.requests, q.window.tokens = requests, tokens }
}

// WithTargets sets the token gap and the first-token time that the window keeps.
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

// Push adds an offer. It returns the offers of lower tiers that were evicted for it, or an error with
// reason Shed, Deadline or Duplicate when the offer itself is refused. A refused offer evicts nothing:
// a push that exceeds the bound evicts at once all lower tiers that the excess takes the place of, so a
// queue never holds lower tiers while the others alone fill it.
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

// Remove takes back an offer that waits or was granted but not started, and reports whether there was one.
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

// Suspect marks the waiting offers with a fingerprint to run alone, or ends that.
func (q *Queue) SetAlone(p ident.Fingerprint, alone bool) {
	for _, e := range q.waiting.all() {
		if e.Fingerprint == p {
			e.Alone = alone
		}
	}
}

// Block removes the waiting offers with a fingerprint that crashes targets.
func (q *Queue) RefuseFingerprint(_ time.Time, p ident.Fingerprint) (out []Refusal) {
	for _, e := range q.waiting.all() {
		if e.Fingerprint == p {
			q.dequeue(e)
			out = append(out, Refusal{Item: e.Item, Fault: fault.NotRunf(fault.Crashes, "request crashes targets")})
		}
	}
	return out
}

// Drain removes and returns all waiting offers as refusals with the given fault, for a stop.
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

// take removes a waiting entry that is not granted.
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
