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

// Guards against several routers that each give out the whole rate: three routers together stay within rate
// x time + burst, and what they take between two reports.
func TestReplicasShareOneRate(t *testing.T) {
	g := NewWithT(t)
	limit := quota.Limit{Rate: 1000, Burst: 1000}
	names := []ident.ProcessID{"r1", "r2", "r3"}
	tallies := make([]*quota.Replicated, len(names))
	for i := range tallies {
		tallies[i] = quota.NewReplicated()
		tallies[i].SetLimit(start, "a", limit, 1.0/3)
	}
	var taken ident.Tokens
	const seconds, report = 20, 50
	for ms := 0; ms < seconds*1000; ms += 10 {
		for i, y := range tallies {
			if y.Take(after(ms+i), "a", 30) == nil {
				taken += 30
			}
			if ms%report == 0 {
				for k, o := range tallies {
					if k != i {
						o.Merge(after(ms+i), names[i], 1, y.Used())
					}
				}
			}
		}
	}
	g.Expect(taken).To(BeNumerically("<=", 1.1*(1000*seconds+1000)))
	g.Expect(taken).To(BeNumerically(">=", 0.9*1000*seconds), "what is within the limit is served")
}

// Guards against refused requests that raise the level: nothing was taken, so nothing is given back.
func TestRefusalsDoNotChangeTheLevel(t *testing.T) {
	g := NewWithT(t)
	y := quota.NewReplicated()
	y.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 100}, 1)
	g.Expect(y.Take(start, "a", 100)).To(BeNil())
	for range 5 {
		err := y.Take(start, "a", 50)
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Run).To(Equal(fault.NotRun))
		g.Expect(err.RetryAfter).To(Equal(5 * time.Second))
	}
	g.Expect(y.Level(start, "a")).To(BeZero())
	g.Expect(y.Used()).To(Equal(usage{"a": 100}))
}

// Guards against a request that can never pass because it is larger than the burst.
func TestOversizedRequestIsAdmittedWhenFull(t *testing.T) {
	g := NewWithT(t)
	y := quota.NewReplicated()
	y.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 100}, 1)
	g.Expect(y.Take(start, "a", 500)).To(BeNil())
	g.Expect(y.Level(start, "a")).To(BeEquivalentTo(-400))
}

// Guards against a router that is cut off and the others together taking twice the rate.
func TestSilentRouterIsChargedItsShare(t *testing.T) {
	g := NewWithT(t)
	y := quota.NewReplicated()
	y.SetLimit(start, "a", quota.Limit{Rate: 1000, Burst: 5000}, 0)
	y.Merge(start, "r2", 1, usage{})
	g.Expect(y.Level(after(900), "a")).To(BeNumerically("~", 900, 1), "r2 reports")
	before := y.Level(after(1100), "a")
	g.Expect(y.Level(after(2100), "a")-before).To(BeNumerically("~", 500, 1), "r2 is silent")
}

// Guards against what a router took before its restart, or before this one started, being charged at once.
func TestFirstReportOfABootIsNotCharged(t *testing.T) {
	g := NewWithT(t)
	y := quota.NewReplicated()
	y.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	y.Merge(start, "r2", 1, usage{"a": 900})
	g.Expect(y.Level(start, "a")).To(BeEquivalentTo(1000))
	y.Merge(start, "r2", 1, usage{"a": 950})
	g.Expect(y.Level(start, "a")).To(BeEquivalentTo(950))
	y.Merge(start, "r2", 2, usage{"a": 10})
	g.Expect(y.Level(start, "a")).To(BeEquivalentTo(950))
}

// Guards against a lowered limit that leaves the old burst to be used.
func TestLowerLimitReducesTheLevel(t *testing.T) {
	g := NewWithT(t)
	y := quota.NewReplicated()
	y.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	y.SetLimit(start, "a", quota.Limit{Rate: 1, Burst: 50}, 1)
	g.Expect(y.Level(start, "a")).To(BeEquivalentTo(50))
}
