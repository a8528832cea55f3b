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
	facts [][]quota.Demand
	// sent counts facts.
	sent int
	// rounds counts steps, so that facts are exchanged once a second.
	rounds int
}

func newFleet(n int) *fleet {
	f := &fleet{now: t0}
	for i := range n {
		q := quota.New(ident.ProcessID(fmt.Sprint(i)))
		q.SetRouters(n)
		q.Set(t0, "a", quota.Limit{Rate: rate, Burst: burst})
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
		if f.rounds++; f.rounds%int(quota.Round/step) == 0 {
			f.exchange()
		}
	}
	return admitted
}

func (f *fleet) exchange() {
	var sent []quota.Demand
	for _, q := range f.routers {
		sent = append(sent, q.Demands(f.now)...)
	}
	f.facts = append(f.facts, sent)
	f.sent += len(sent)
	if len(f.facts) <= int(quota.Settle/quota.Round) {
		return
	}
	for _, q := range f.routers {
		for _, d := range f.facts[0] {
			q.Merge(f.now, d)
		}
	}
	f.facts = f.facts[1:]
}

// held returns the tokens that the buckets of n routers hold at most.
func held(n int) int { return max(burst, n*quota.BurstMin) }

func only(routers ...int) func(int) int {
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
		"all at once":   {only(0, 1, 2, 3)},
		"one":           {only(0)},
		"moves":         {only(0), only(1), only(2, 3)},
		"spreads":       {only(0), only(0, 1, 2, 3)},
		"joined, moves": {only(0, 1), only(1, 2), only(3)},
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
			g.Expect(admitted).To(BeNumerically("<=", rate*(seconds+2)+held(len(f.routers))))
			g.Expect(admitted).To(BeNumerically(">=", rate*seconds*3/4))
		})
	}
}

// Guards against an overshoot that adds up each time demand moves to other routers.
func TestOvershootDoesNotAddUp(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	f := newFleet(10)
	admitted, seconds := 0, 0
	for range 60 {
		d := 1 + rnd.IntN(6)
		admitted += f.run(time.Duration(d)*time.Second, only(rnd.IntN(10), rnd.IntN(10), rnd.IntN(10)))
		seconds += d
		g.Expect(admitted).To(BeNumerically("<=", rate*(seconds+2)+held(len(f.routers))))
	}
	t.Logf("admitted %d over a limit of %d", admitted, rate*seconds)
}

// Guards against refusals far below the limit, when an account's requests are spread over so many
// routers that each sees one only now and then; and against a flood of facts about them.
func TestSparseRequestsBelowTheLimitPass(t *testing.T) {
	g := NewWithT(t)
	rnd := rand.New(rand.NewPCG(1, 2))
	f := newFleet(40)
	sent, refused := 0, 0
	for range 300 * 2 { // 2 requests of 250 tokens per second, half of the limit
		sent++
		if f.routers[rnd.IntN(40)].Take(f.now, "a", 250) != nil {
			refused++
		}
		f.run(500*time.Millisecond, only())
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
	f.run(20*time.Second, only(0))
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
	q.Set(t0, "a", quota.Limit{Rate: rate, Burst: 2000})
	g.Expect(q.Take(t0, "a", 6000)).To(BeNil())
	err := q.Take(t0, "a", 10)
	g.Expect(err).To(And(HaveField("Run", fault.NotRun), HaveField("Reason", fault.Quota)))
	g.Expect(err.RetryAfter).To(BeNumerically("~", 4010*time.Millisecond, 10*time.Millisecond))
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 10)).To(BeNil())
	g.Expect(q.Take(t0, "unlimited", 1<<40)).To(BeNil())

	q.Correct(t0, "a", -500)
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 500)).To(BeNil())
	g.Expect(q.Take(t0.Add(err.RetryAfter), "a", 500)).NotTo(BeNil())
}
