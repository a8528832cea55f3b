package quota_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/quota"
)

const (
	rate  = 1000 // tokens per second
	burst = 8000 // tokens
	step  = 10 * time.Millisecond
)

var t0 = time.Unix(1_800_000_000, 0)

// fleet is a set of routers whose demand facts arrive after quota.Settle.
type fleet struct {
	now     time.Time
	routers []*quota.Quota
	// facts are on their way, those sent first in front.
	inFlight [][]quota.Demand
	// sent counts facts.
	sent int
	// rounds counts steps, so that facts are exchanged once a second.
	steps int
}

func newFleet(n int) *fleet {
	f := &fleet{now: t0}
	for i := range n {
		q := quota.New(ident.ProcessID(fmt.Sprint(i)))
		q.SetRouterCount(n)
		q.SetLimit(t0, "a", quota.Limit{Rate: rate, Burst: burst})
		f.routers = append(f.routers, q)
	}
	return f
}

// run sends requests of 10 tokens to each router, as many per step as demand says, for the time d and
// returns the tokens that were admitted.
func (f *fleet) run(d time.Duration, demand func(router int) int) (admitted int) {
	for end := f.now.Add(d); f.now.Before(end); f.now = f.now.Add(step) {
		for i, q := range f.routers {
			for range demand(i) {
				if q.Take(f.now, "a", 10) == nil {
					admitted += 10
				}
			}
		}
		if f.steps++; f.steps%int(quota.AnnounceInterval/step) == 0 {
			f.exchange()
		}
	}
	return admitted
}

func (f *fleet) exchange() {
	var sent []quota.Demand
	for _, q := range f.routers {
		sent = append(sent, q.AnnounceDemands(f.now)...)
	}
	f.inFlight = append(f.inFlight, sent)
	f.sent += len(sent)
	if len(f.inFlight) <= int(quota.SettleTime/quota.AnnounceInterval) {
		return
	}
	for _, q := range f.routers {
		for _, d := range f.inFlight[0] {
			q.Merge(f.now, d)
		}
	}
	f.inFlight = f.inFlight[1:]
}

// held returns the tokens that the buckets of n routers hold at most.
func capacity(n int) int { return max(burst, n*quota.BurstMin) }

func onlyRouters(routers ...int) func(int) int {
	return func(i int) int {
		for _, r := range routers {
			if r == i {
				return 5 // 5,000 tokens per second, five times the limit
			}
		}
		return 0
	}
}

// Guards against an account that exceeds its limit by more than the rate in the settling time plus the
// burst, however its demand moves between routers; and against a limit that is not reached.
func TestOvershootIsBounded(t *testing.T) {
	for name, phases := range map[string][]func(int) int{
		"all at once":   {onlyRouters(0, 1, 2, 3)},
		"one":           {onlyRouters(0)},
		"moves":         {onlyRouters(0), onlyRouters(1), onlyRouters(2, 3)},
		"spreads":       {onlyRouters(0), onlyRouters(0, 1, 2, 3)},
		"joined, moves": {onlyRouters(0, 1), onlyRouters(1, 2), onlyRouters(3)},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			f := newFleet(4)
			admitted, seconds := 0, 0
			for _, demand := range phases {
				admitted += f.run(20*time.Second, demand)
				seconds += 20
			}
			t.Logf("admitted %d over a limit of %d and a burst of %d", admitted, rate*seconds, burst)
			g.Expect(admitted).To(BeNumerically("<=", rate*(seconds+2)+capacity(len(f.routers))))
			g.Expect(admitted).To(BeNumerically(">=", rate*seconds*3/4))
		})
	}
}

// Guards against an overshoot that adds up each time demand moves to other routers.
func TestOvershootDoesNotAccumulate(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	f := newFleet(10)
	admitted, seconds := 0, 0
	for range 60 {
		d := 1 + rnd.IntN(6)
		admitted += f.run(time.Duration(d)*time.Second, onlyRouters(rnd.IntN(10), rnd.IntN(10), rnd.IntN(10)))
		seconds += d
		g.Expect(admitted).To(BeNumerically("<=", rate*(seconds+2)+capacity(len(f.routers))))
	}
	t.Logf("admitted %d over a limit of %d", admitted, rate*seconds)
}

// Guards against refusals far below the limit, when an account's requests are spread over so many
// routers that each sees one only now and then; and against a flood of facts about them.
func TestSparseRequestsBelowTheLimitAreAdmitted(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	f := newFleet(40)
	sent, refused := 0, 0
	for range 300 * 2 { // 2 requests of 250 tokens per second, half of the limit
		sent++
		if f.routers[rnd.IntN(40)].Take(f.now, "a", 250) != nil {
			refused++
		}
		f.run(500*time.Millisecond, onlyRouters())
	}
	t.Logf("refused %d of %d, %d facts", refused, sent, f.sent)
	g.Expect(refused).To(BeNumerically("<=", sent/50))
	g.Expect(f.sent).To(BeNumerically("<=", 300), "less than one fact a second")
}

// Guards against an account that is held to an equal part of its rate although it uses one router only,
// and against shares that add up to more than the rate.
func TestSharesFollowDemand(t *testing.T) {
	g := NewWithT(t)
	f := newFleet(4)
	f.run(20*time.Second, onlyRouters(0))
	g.Expect(f.routers[0].Share(f.now, "a")).To(BeNumerically(">", 0.95))
	sum := 0.0
	for _, q := range f.routers {
		sum += q.Share(f.now, "a")
	}
	g.Expect(sum).To(BeNumerically("<=", 1.0001))
}

// Guards against a refusal that is not told apart from shedding or gives no time for a new try, and
// against a request that can never pass because it is larger than the bucket.
func TestTakeRefusesWithAReasonAndATime(t *testing.T) {
	g := NewWithT(t)
	q := quota.New("r")
	q.SetLimit(t0, "a", quota.Limit{Rate: rate, Burst: 2000})
	g.Expect(q.Take(t0, "a", 6000)).To(BeNil())
	err := q.Take(t0, "a", 10)
	g.Expect(err).To(And(HaveField("Run", fault.NotRun), HaveField("Reason", fault.Quota)))
	g.Expect(err.RetryAfter).To(BeNumerically("~", 4010*time.Millisecond, 10*time.Millisecond))
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 10)).To(BeNil())
	g.Expect(q.Take(t0, "unlimited", 1<<40)).To(BeNil())

	q.Adjust(t0, "a", -500)
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 500)).To(BeNil())
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 500)).NotTo(BeNil())
}
