package quota_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/quota"
)

var start = time.Unix(1_700_000_000, 0)

func after(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }

type usage = map[ident.AccountID]ident.Tokens

// Guards against several routers that each admit the full rate: three routers together stay within rate x time
// + burst, plus what they take between two reports.
func TestReplicasShareOneRate(t *testing.T) {
	g := NewWithT(t)
	limit := quota.Limit{Rate: 1000, Burst: 1000}
	names := []ident.ProcessID{"r1", "r2", "r3"}
	replicas := make([]*quota.Replicated, len(names))
	for i := range replicas {
		replicas[i] = quota.NewReplicated()
		replicas[i].SetLimit(start, "a", limit, 1.0/3)
	}
	var taken ident.Tokens
	const seconds, reportMillis = 20, 50
	for ms := 0; ms < seconds*1000; ms += 10 {
		for i, q := range replicas {
			if q.Take(after(ms+i), "a", 30) == nil {
				taken += 30
			}
			if ms%reportMillis == 0 {
				for k, other := range replicas {
					if k != i {
						other.Merge(after(ms+i), names[i], 1, q.Used())
					}
				}
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 1.1*(1000*seconds+1000)))
	g.Expect(taken).To(BeNumerically(">=", 0.9*1000*seconds), "requests within the limit are admitted")
}

// Guards against refused requests that change the level or the usage: nothing was taken, so nothing is refunded.
func TestRefusalsDoNotChangeTheLevel(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 100}, 1)
	g.Expect(q.Take(start, "a", 100)).To(BeNil())
	for range 5 {
		err := q.Take(start, "a", 50)
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Run).To(Equal(fault.NotRun))
		g.Expect(err.RetryAfter).To(Equal(5 * time.Second))
	}
	g.Expect(q.Level(start, "a")).To(BeZero())
	g.Expect(q.Used()).To(Equal(usage{"a": 100}))
}

// Guards against a request that is never admitted because it is larger than the burst.
func TestOversizedRequestIsAdmittedWhenFull(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 100}, 1)
	g.Expect(q.Take(start, "a", 500)).To(BeNil())
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(-400))
}

// Guards against a partitioned router and the others admitting twice the rate together.
func TestSilentRouterIsChargedItsShare(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 1000, Burst: 5000}, 0)
	q.Merge(start, "r2", 1, usage{})
	g.Expect(q.Level(after(900), "a")).To(BeNumerically("~", 900, 1), "r2 reports")
	before := q.Level(after(1100), "a")
	g.Expect(q.Level(after(2100), "a")-before).To(BeNumerically("~", 500, 1), "r2 is silent")
}

// Guards against charging at once what a router took before its restart, or before this router started.
func TestFirstReportOfABootIsNotCharged(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	q.Merge(start, "r2", 1, usage{"a": 900})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(1000))
	q.Merge(start, "r2", 1, usage{"a": 950})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(950))
	q.Merge(start, "r2", 2, usage{"a": 10})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(950))
}

// Guards against a lowered limit that still lets the old burst be used.
func TestLowerLimitReducesTheLevel(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	q.SetLimit(start, "a", quota.Limit{Rate: 1, Burst: 50}, 1)
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(50))
}
