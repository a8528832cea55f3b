// Package retry bounds retries of idempotent calls by a budget and spaces them by a jittered back-off.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// Share is the largest number of retries per recent request.
	Share = 0.1
	// Base is the upper bound of the first delay.
	Base = 25 * time.Millisecond
	// Cap is the upper bound of every delay.
	Cap = time.Second
	// Spare is the interval in which one retry is allowed even when the share is used up.
	Spare = time.Second
	// Span is the recent time in which requests and retries are counted, in slots steps.
	Span  = 10 * time.Second
	slots = 10
)

// Retry is the budget of one router. It is not safe for concurrent use.
type Retry struct {
	rnd   *rand.Rand
	share float64
	slack float64
	slot  time.Duration
	base  time.Duration
	limit time.Duration
	// requests and retries count per slot; at is the slot number of the newest.
	requests [slots]int
	retries  [slots]int
	at       int64
	// last is the time of the last allowed retry.
	last time.Time
}

// Option changes a limit of a Retry.
type Option func(*Retry)

// WithShare sets the largest number of retries per recent request.
func WithShare(share float64) Option { return func(r *Retry) { r.share = share } }

// WithSlack sets the number of retries within the span that are allowed beside the share.
func WithSlack(n float64) Option { return func(r *Retry) { r.slack = n } }

// WithSpan sets the recent time in which requests and retries are counted.
func WithSpan(d time.Duration) Option { return func(r *Retry) { r.slot = d / slots } }

// WithDelays sets the upper bounds of the first and of every delay.
func WithDelays(base, limit time.Duration) Option {
	return func(r *Retry) { r.base, r.limit = base, limit }
}

// New returns an unused budget.
func New(rnd *rand.Rand, opts ...Option) *Retry {
	r := &Retry{rnd: rnd, share: Share, slot: Span / slots, base: Base, limit: Cap}
	for _, o := range opts {
		o(r)
	}
	return r
}

// Request counts a first try.
func (r *Retry) Request(now time.Time) {
	r.advance(now)
	r.requests[r.at%slots]++
}

// SetSlack changes the number of WithSlack.
func (r *Retry) SetSlack(n float64) { r.slack = n }

// Allow reports whether the call may be tried once more and counts the retry if so. The first retry of
// a call has attempt 1. The caller waits for delay, which lies between half of and the whole bound
// Base x 2^(attempt-1), at most Cap.
func (r *Retry) Allow(now time.Time, attempt int) (delay time.Duration, ok bool) {
	r.advance(now)
	spare := r.last.IsZero() || now.Sub(r.last) >= Spare
	if !spare && float64(sum(r.retries)+1) > r.share*float64(sum(r.requests))+r.slack {
		return 0, false
	}
	r.last = now
	r.retries[r.at%slots]++
	return r.delay(attempt), true
}

func (r *Retry) delay(attempt int) time.Duration {
	d := r.base
	for i := 1; i < attempt && d < r.limit; i++ {
		d *= 2
	}
	d = min(d, r.limit)
	return d/2 + time.Duration(r.rnd.Int64N(int64(d/2)+1))
}

// advance clears the slots between the newest one and now.
func (r *Retry) advance(now time.Time) {
	n := now.UnixNano() / int64(r.slot)
	if n <= r.at {
		return
	}
	for i := max(r.at+1, n-slots+1); i <= n; i++ {
		r.requests[i%slots], r.retries[i%slots] = 0, 0
	}
	r.at = n
}

func sum(counts [slots]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
