// Package retry bounds retries of idempotent calls by a budget and spaces them by an exponential back-off with
// jitter.
package retry

import (
	"math/rand/v2"
	"time"
)

const (
	// RetryRatio is the largest number of retries per recent request.
	RetryRatio = 0.1
	// BaseDelay is the upper bound of the first delay.
	BaseDelay = 25 * time.Millisecond
	// MaxDelay is the upper bound of every delay.
	MaxDelay = time.Second
	// FreeRetryInterval is the interval in which one retry is allowed even when the ratio is used up.
	FreeRetryInterval = time.Second
	// Period is the recent time over which requests and retries are counted, divided into slots.
	Period = 10 * time.Second
	slots  = 10
)

// Budget is the retry budget of one router, or of one service at a router. It is not safe for concurrent use.
type Budget struct {
	rnd   *rand.Rand
	ratio float64
	// extra is the number of retries per period that are allowed in addition to the ratio.
	extra     float64
	slotTime  time.Duration
	baseDelay time.Duration
	maxDelay  time.Duration
	// requests and retries count per slot; newest is the number of the newest slot.
	requests [slots]int
	retries  [slots]int
	newest   int64
	// lastRetryAt is the time of the last allowed retry.
	lastRetryAt time.Time
}

// Option changes a limit of a Budget.
type Option func(*Budget)

// WithRetryRatio sets the largest number of retries per recent request.
func WithRetryRatio(ratio float64) Option { return func(b *Budget) { b.ratio = ratio } }

// WithExtraRetries sets the number of retries per period that are allowed in addition to the ratio.
func WithExtraRetries(n float64) Option { return func(b *Budget) { b.extra = n } }

// WithPeriod sets the recent time over which requests and retries are counted.
func WithPeriod(d time.Duration) Option { return func(b *Budget) { b.slotTime = d / slots } }

// WithDelays sets the upper bound of the first delay and that of every delay.
func WithDelays(base, limit time.Duration) Option {
	return func(b *Budget) { b.baseDelay, b.maxDelay = base, limit }
}

// New returns an unused budget.
func New(rnd *rand.Rand, opts ...Option) *Budget {
	b := &Budget{rnd: rnd, ratio: RetryRatio, slotTime: Period / slots, baseDelay: BaseDelay, maxDelay: MaxDelay}
	for _, o := range opts {
		o(b)
	}
	return b
}

// RecordRequest counts the first attempt of a call.
func (b *Budget) RecordRequest(now time.Time) {
	b.advance(now)
	b.requests[b.newest%slots]++
}

// SetExtraRetries changes the number set by WithExtraRetries.
func (b *Budget) SetExtraRetries(n float64) { b.extra = n }

// SetLimits changes limits. What was counted in the period stays counted; if the period changes, it counts as of now.
func (b *Budget) SetLimits(now time.Time, opts ...Option) {
	b.advance(now)
	before := b.slotTime
	for _, o := range opts {
		o(b)
	}
	if b.slotTime == before {
		return
	}
	requests, retries := sum(b.requests), sum(b.retries)
	b.requests, b.retries = [slots]int{}, [slots]int{}
	b.newest = now.UnixNano() / int64(b.slotTime)
	b.requests[b.newest%slots], b.retries[b.newest%slots] = requests, retries
}

// Allow reports whether the call may be retried and counts the retry if so. The first retry of a call has
// attempt 1. The caller waits for delay, which is random between half and all of the bound
// BaseDelay x 2^(attempt-1), limited to MaxDelay; WithDelays replaces both.
func (b *Budget) Allow(now time.Time, attempt int) (delay time.Duration, ok bool) {
	b.advance(now)
	free := b.lastRetryAt.IsZero() || now.Sub(b.lastRetryAt) >= FreeRetryInterval
	if !free && float64(sum(b.retries)+1) > b.ratio*float64(sum(b.requests))+b.extra {
		return 0, false
	}
	b.lastRetryAt = now
	b.retries[b.newest%slots]++
	return b.delay(attempt), true
}

// Reserve counts n retries if the budget has room for all of them, and reports whether it has. Return gives back those
// that are not used.
func (b *Budget) Reserve(now time.Time, n int) bool {
	b.advance(now)
	free := b.lastRetryAt.IsZero() || now.Sub(b.lastRetryAt) >= FreeRetryInterval
	counted := n
	if free {
		counted--
	}
	if counted > 0 && float64(sum(b.retries)+n) > b.ratio*float64(sum(b.requests))+b.extra {
		return false
	}
	b.lastRetryAt = now
	b.retries[b.newest%slots] += n
	return true
}

// Return gives back n retries that were reserved and not used. Those of earlier slots stay counted.
func (b *Budget) Return(now time.Time, n int) {
	b.advance(now)
	s := &b.retries[b.newest%slots]
	*s = max(*s-n, 0)
}

func (b *Budget) delay(attempt int) time.Duration {
	d := b.baseDelay
	for i := 1; i < attempt && d < b.maxDelay; i++ {
		d *= 2
	}
	d = min(d, b.maxDelay)
	return d/2 + time.Duration(b.rnd.Int64N(int64(d/2)+1))
}

// advance clears the slots between the newest one and that of now.
func (b *Budget) advance(now time.Time) {
	n := now.UnixNano() / int64(b.slotTime)
	if n <= b.newest {
		return
	}
	for i := max(b.newest+1, n-slots+1); i <= n; i++ {
		b.requests[i%slots], b.retries[i%slots] = 0, 0
	}
	b.newest = n
}

func sum(counts [slots]int) (n int) {
	for _, c := range counts {
		n += c
	}
	return n
}
