package quota_test

import (
	"fmt"
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
						other.Merge(after(ms+i), names[i], quota.UsageReport{Boot: 1, Used: q.Used()})
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
	for _, after := range []time.Duration{5 * time.Second, 10 * time.Second, 10 * time.Second, 10 * time.Second} { // see promise
		err := q.Take(start, "a", 50)
		g.Expect(err).NotTo(BeNil())
		g.Expect(err.Run).To(Equal(fault.NotRun))
		g.Expect(err.RetryAfter).To(Equal(after))
	}
	g.Expect(q.Level(start, "a")).To(BeZero())
	g.Expect(q.Used()).To(Equal(usage{"a": 100}))
}

// Load pattern: one account sends several times its limit, and each refused caller returns at the time
// that it was told. Guards against callers that are all told the same time, find the bucket empty again and are refused
// once more.
func TestRefusedCallersFindTheirTokens(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 1000, Burst: 1000}, 1)
	g.Expect(q.Take(start, "a", 1000)).To(BeNil())
	due := map[int]time.Duration{}
	for n := range 20 {
		err := q.Take(start, "a", 100)
		g.Expect(err).NotTo(BeNil())
		due[n] = err.RetryAfter
	}
	refused := 0
	for n := range 20 {
		if q.Take(start.Add(due[n]+time.Millisecond), "a", 100) != nil {
			refused++
		}
	}
	g.Expect(refused).To(BeZero())
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
	q.Merge(start, "r2", quota.UsageReport{Boot: 1, Used: usage{}})
	g.Expect(q.Level(after(900), "a")).To(BeNumerically("~", 900, 1), "r2 reports")
	before := q.Level(after(1100), "a")
	g.Expect(q.Level(after(2100), "a")-before).To(BeNumerically("~", 500, 1), "r2 is silent")
}

// Guards against charging at once what a router took before this router started, and against use that is not charged
// because the router restarted: its count begins anew then.
func TestFirstReportOfARouterIsNotCharged(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	q.Merge(start, "r2", quota.UsageReport{Boot: 1, Used: usage{"a": 900}})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(1000))
	q.Merge(start, "r2", quota.UsageReport{Boot: 1, Used: usage{"a": 950}})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(950))
	q.Merge(start, "r2", quota.UsageReport{Boot: 2, Used: usage{"a": 10}})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(940))
}

// Guards against a lowered limit that still lets the old burst be used.
func TestLowerLimitReducesTheLevel(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 1)
	q.SetLimit(start, "a", quota.Limit{Rate: 1, Burst: 50}, 1)
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(50))
}

// Load pattern: all routers are killed and start again while an account asks for four times its limit. Guards against
// a whole burst, and the whole rate, at each of them before they hear of each other: in any 8 s the account gets at
// most 1.1 x (rate x 8 s + burst) and, by the platform's allowance, 72,000 more.
func TestMassRestartStaysWithinTheLimit(t *testing.T) {
	g := NewWithT(t)
	limit := quota.Limit{Rate: 147_000, Burst: 147_000}
	const routers, request, reportMillis, restart = 28, 5000, 280, 12_000
	names := make([]ident.ProcessID, routers)
	replicas, seq := make([]*quota.Replicated, routers), make([]int, routers)
	boot := func(ms int) {
		for i := range replicas {
			names[i] = ident.ProcessID(fmt.Sprint("r", i))
			replicas[i], seq[i] = quota.NewReplicated(), 0
			replicas[i].SetLimit(after(ms), "a", limit, 0)
		}
		for i, q := range replicas {
			for k, id := range names {
				if k != i {
					q.AddRouter(after(ms), id)
				}
			}
			q.Start(after(ms), 1.0/routers)
		}
	}
	boot(0)
	var taken []ident.Tokens // by step of 10 ms
	for ms := 0; ms < 24_000; ms += 10 {
		if ms == restart {
			boot(ms)
		}
		var n ident.Tokens
		for i, q := range replicas {
			if (ms/10+i)%7 == 0 && q.Take(after(ms), "a", request) == nil { // 2 million tokens a second are asked for
				n += request
			}
			if (ms+i*10)%reportMillis == 0 {
				seq[i]++
				for k, other := range replicas {
					if k != i {
						other.Merge(after(ms), names[i], quota.UsageReport{Boot: ident.Boot(1 + ms/restart), Used: q.Used(), Levels: q.Levels(after(ms)), Starting: seq[i] <= 10})
					}
				}
			}
		}
		taken = append(taken, n)
	}
	var window, most, total ident.Tokens
	for i, n := range taken {
		window += n
		total += n
		if i >= 800 {
			window -= taken[i-800]
		}
		most = max(most, window)
	}
	g.Expect(float64(most)).To(BeNumerically("<=", 1.1*(147_000*8+147_000)+72_000))
	g.Expect(float64(total)).To(BeNumerically(">=", 0.8*147_000*24), "what the limit allows is admitted")
}

// Guards against a router that starts with an empty bucket although others know how much is left.
func TestStartingRouterCopiesTheLevel(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 10, Burst: 1000}, 0)
	q.AddRouter(start, "r2")
	q.Merge(start, "r2", quota.UsageReport{Boot: 1, Used: usage{"a": 900}, Levels: usage{"a": 640}})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(640))
	q.Merge(start, "r3", quota.UsageReport{Boot: 1, Used: usage{"a": 10}, Levels: usage{"a": 900}})
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(640), "it is copied once")
}

// Load pattern: an outage of all routers, after which callers return at once. Guards against a router that refuses
// what the limit allows because it starts with empty buckets, and against a share that is granted again.
func TestStartingRouterHasAShareOfTheRate(t *testing.T) {
	g := NewWithT(t)
	q := quota.NewReplicated()
	q.SetLimit(start, "a", quota.Limit{Rate: 1000, Burst: 2000}, 0)
	q.AddRouter(start, "r2")
	q.Start(start, 1.0/2)
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(250))
	q.Start(start, 1.0/2)
	g.Expect(q.Level(start, "a")).To(BeEquivalentTo(250))
}
