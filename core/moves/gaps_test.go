package moves_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
)

// unlikeGaps are the times between events at the targets of a service, which are of three kinds.
var unlikeGaps = []time.Duration{14, 14, 15, 25, 25, 27, 76, 76, 98}

// rollOutOnUnlikeTargets replays a rollout of a version whose answers are slower by a factor. Canary requests are few and
// nearly alone on their targets, so that the time to the first event shows little of it. It returns the state that is
// due at the deadline.
func rollOutOnUnlikeTargets(seed uint64, slow float64, canaries int) moves.State {
	const length, requests = 12 * time.Second, 900
	rnd := rand.New(rand.NewPCG(seed, 3))
	var routers []*moves.ShortRollout
	for range 3 {
		routers = append(routers, moves.NewShortRollout(start, moves.Request{Service: "s", To: "v2", Duration: length}, moves.ExposureLimit{Share: 0.1, ExtraRequests: 50}))
	}
	noise := func(sigma float64) float64 { return math.Exp(sigma * rnd.NormFloat64()) }
	ms := float64(time.Millisecond)
	for i := range requests {
		now := start.Add(time.Duration(i) * (length - time.Second) / requests)
		o := moves.RouterOutcome{Route: "question", Version: "v1"}
		k := min(rnd.IntN(len(unlikeGaps)), rnd.IntN(len(unlikeGaps))) // most go to the fast ones
		factor, first := 1.0, 80.0
		if i%(requests/canaries) == 0 {
			o.Version, factor, first = "v2", slow, 80*math.Sqrt(math.Sqrt(slow))
		}
		o.Target = ident.TargetID(fmt.Sprint(o.Version, "-", k))
		o.TimeToFirstEvent = time.Duration(first * noise(0.4) * ms)
		o.EventGap = time.Duration(factor * float64(unlikeGaps[k]) * noise(0.15) * ms)
		routers[i%len(routers)].Add(now, o)
		for a, r := range routers {
			for b, other := range routers {
				if a != b && i%50 == a {
					_ = other.SetPeerOutcomes(ident.ProcessID(fmt.Sprint(a)), 1, r.EncodeOutcomes()) // well-formed
					other.SetPeerGaps(ident.ProcessID(fmt.Sprint(a)), 1, r.CanaryGaps())
				}
			}
		}
	}
	s, _ := routers[0].DueState(start.Add(length - 200*time.Millisecond))
	return s
}

// Guards against completing the rollout of a version whose answers are several times slower, when targets are unlike
// and the canary is nearly alone on its targets; and against rolling back a good version for the kind of its targets.
func TestSlowVersionOnUnlikeTargetsIsRolledBack(t *testing.T) {
	for _, canaries := range []int{12, 30} {
		g := NewWithT(t)
		const seeds = 200
		good, slow := 0, 0
		for seed := range uint64(seeds) {
			if rollOutOnUnlikeTargets(seed, 1, canaries) == moves.Done {
				good++
			}
			if rollOutOnUnlikeTargets(seed, 4, canaries) == moves.RolledBack {
				slow++
			}
		}
		t.Logf("%d canary requests: %d good versions done, %d slow ones rolled back, of %d", canaries, good, slow, seeds)
		g.Expect(good).To(BeNumerically(">=", seeds*98/100))
		g.Expect(slow).To(BeNumerically(">=", seeds*98/100))
	}
}
