// Package retry bounds retries of idempotent calls by a budget and spaces them by a jittered back-off.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Share is the largest number of retries per recent request.
	RetryRatio = 0.1
	// Base is the upper bound of the first delay.
	BaseDelay = 25 * time.Millisecond
	// Cap is the upper bound of every delay.
	MaxDelay = time.Second
	// Spare is the interval in which one retry is allowed even when the share is used up.
	FreeRetryInterval = time.Second
	// Span is the recent time in which requests and retries are counted, in slots steps.
	Period = 10 * time.Second
	slots  = 10
)

// Retry is the budget of one router. It is not safe for concurrent use.
type Budget struct {
	rnd       *rand.Rand
	ratio     float64
	extra     float64
	slotTime  time.Duration
	baseDelay time.Duration
	maxDelay  time.Duration
	// requests and retries count per slot; at is the slot number of the newest.
	requests [slots]int
	retries  [slots]int
	newest   int64
	// last is the time of the last allowed retry.
	lastRetryAt time.Time
}

// Option changes a limit of a Retry.
type Option func(*Budget)

// WithShare sets the largest number of retries per recent request.
func WithRetryRatio(share float64) Option { return func(r *Budget) { r.ratio = share } }

// WithSlack sets the number of retries within the span that are allowed beside the share.
func WithExtraRetries(n float64) Option { return func(r *Budget) { r.extra = n } }

// WithSpan sets the recent time in which requests and retries are counted.
func WithPeriod(d time.Duration) Option { return func(r *Budget) { r.slotTime = d / slots } }

// WithDelays sets the upper bounds of the first and of every delay.
func WithDelays(base, limit time.Duration) Option {
	return func(r *Budget) { r.baseDelay, r.maxDelay = base, limit }
}

// New returns an unused budget.
func New(rnd *rand.Rand, opts ...Option) *Budget {
	r := &Budget{rnd: rnd, ratio: RetryRatio, slotTime: Period / slots, baseDelay: BaseDelay, maxDelay: MaxDelay}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Request counts a first try.
func (r *Budget) RecordRequest(now time.Time) {
	r.advance(now)
	r.requests[r.newest%slots]++
}

// SetSlack changes the number of WithSlack.
func (r *Budget) SetExtraRetries(n float64) { r.extra = n }

// Allow reports whether the call may be tried once more and counts the retry if so. The first retry of
// a call has attempt 1. The caller waits for delay, which lies between half of and the whole bound
// Base x 2^(attempt-1), at most Cap.
func (r *Budget) Allow(now time.Time, attempt int) (delay time.Duration, ok bool) {
	r.advance(now)
	spare := r.lastRetryAt.IsZero() || now.Sub(r.lastRetryAt) >= FreeRetryInterval
	if !spare && float64(sum(r.retries)+1) > r.ratio*float64(sum(r.requests))+r.extra {
		return 0, false
	}
	r.lastRetryAt = now
	r.retries[r.newest%slots]++
	return r.delay(attempt), true
}

func (r *Budget) delay(attempt int) time.Duration {
	d := r.baseDelay
	for i := 1; i < attempt && d < r.maxDelay; i++ {
		d *= 2
	}
	d = min(d, r.maxDelay)
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)+1))
}

// advance clears the slots between the newest one and now.
func (r *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(r.slotTime)
	if n <= r.newest {
		return
	}
	for i := max(r.newest+1, n-slots+1); i <= n; i++ {
		r.requests[i%slots], r.retries[i%slots] = 0, 0
	}
	r.newest = n
}

func sum(counts [slots]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
