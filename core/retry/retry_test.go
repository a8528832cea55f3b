package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/retry"
)

var t0 = time.Unix(1_800_000_000, 0)

func newBudget() *retry.Budget { return retry.New(rand.New(rand.NewPCG(1, 2))) }

// Guards against retries that multiply the load of an overloaded pool, and against a router with few requests
// that may never retry.
func TestBudgetFollowsRecentRequests(t *testing.T) {
	g := NewWithT(t)
	b := newBudget()
	allowed := func(at time.Time, tries int) (n int) {
		for range tries {
			if _, ok := b.Allow(at, 1); ok {
				n++
			}
		}
		return n
	}
	g.Expect(allowed(t0, 100)).To(Equal(1))
	g.Expect(allowed(t0.Add(time.Second), 100)).To(Equal(1))
	for range 1000 {
		b.RecordRequest(t0.Add(2 * time.Second))
	}
	g.Expect(allowed(t0.Add(2*time.Second), 1000)).To(Equal(98), "10% of 1000, less the two retries before")
	g.Expect(allowed(t0.Add(11*time.Second), 1000)).To(BeNumerically("<=", 2))
	g.Expect(allowed(t0.Add(time.Hour), 1000)).To(Equal(1), "the requests are no longer recent")
}

// Guards against retries that arrive simultaneously, too early, or after an unbounded delay.
func TestDelayGrowsWithJitterToTheMaximum(t *testing.T) {
	g := NewWithT(t)
	for attempt, bound := range map[int]time.Duration{
		1: retry.BaseDelay, 2: 2 * retry.BaseDelay, 5: 16 * retry.BaseDelay, 7: retry.MaxDelay, 1000: retry.MaxDelay,
	} {
		seen := map[time.Duration]bool{}
		for i := range 20 {
			b := retry.New(rand.New(rand.NewPCG(1, uint64(i))))
			d, ok := b.Allow(t0, attempt)
			g.Expect(ok).To(BeTrue())
			g.Expect(d).To(And(BeNumerically(">=", bound/2), BeNumerically("<=", bound)))
			seen[d] = true
		}
		g.Expect(len(seen)).To(BeNumerically(">", 15))
	}
}

// Guards against extra retries that are not allowed, or that exceed their number within a period.
func TestExtraRetriesAreAllowedBesideTheRatio(t *testing.T) {
	g := NewWithT(t)
	b := retry.New(rand.New(rand.NewPCG(1, 2)),
		retry.WithRetryRatio(0), retry.WithExtraRetries(3), retry.WithPeriod(5*time.Second))
	now := time.Unix(1_700_000_000, 0)
	allowed := 0
	for range 10 {
		if _, ok := b.Allow(now, 1); ok {
			allowed++
		}
	}
	g.Expect(allowed).To(Equal(3))
	_, ok := b.Allow(now.Add(6*time.Second), 1)
	g.Expect(ok).To(BeTrue(), "the period has passed")
}

// Guards against a reservation that exceeds the budget, and against reserved retries that stay charged.
func TestReservedRetriesAreWithinTheBudget(t *testing.T) {
	g := NewWithT(t)
	b := retry.New(rand.New(rand.NewPCG(1, 2)), retry.WithRetryRatio(0), retry.WithExtraRetries(3))
	g.Expect(b.Reserve(t0, 2)).To(BeTrue())
	g.Expect(b.Reserve(t0, 2)).To(BeFalse())
	b.Return(t0, 1)
	g.Expect(b.Reserve(t0, 2)).To(BeTrue())
	g.Expect(b.Reserve(t0.Add(2*time.Second), 1)).To(BeTrue(), "one a second is free")
	g.Expect(b.Reserve(t0.Add(4*time.Second), 2)).To(BeFalse(), "only one is free")
}

// Guards against changed limits that forget the retries of the last seconds, so that each change allows the whole budget
// again.
func TestChangedLimitsKeepWhatWasCounted(t *testing.T) {
	g := NewWithT(t)
	for _, period := range []time.Duration{10 * time.Second, 5 * time.Second, 20 * time.Second} {
		b := retry.New(rand.New(rand.NewPCG(1, 2)), retry.WithRetryRatio(0), retry.WithExtraRetries(3), retry.WithPeriod(10*time.Second))
		g.Expect(b.Reserve(t0, 3)).To(BeTrue())
		b.SetLimits(t0.Add(500*time.Millisecond), retry.WithRetryRatio(0.5), retry.WithPeriod(period))
		g.Expect(b.Reserve(t0.Add(800*time.Millisecond), 1)).To(BeFalse(), "%v", period)
		for range 2 {
			b.RecordRequest(t0.Add(800 * time.Millisecond))
		}
		g.Expect(b.Reserve(t0.Add(800*time.Millisecond), 1)).To(BeTrue(), "the new ratio")
		g.Expect(b.Reserve(t0.Add(period+time.Second), 3)).To(BeTrue(), "the period is over")
	}
}
