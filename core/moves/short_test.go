package moves_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
)

// replay describes the load during a short rollout and the behaviour of the new version. rates are the requests per
// second on each route, durations how long they take.
type replay struct {
	routers   int
	length    time.Duration
	rates     map[ident.Route]float64
	durations map[ident.Route]time.Duration
	// behaviour returns the failure rate of the new version and the factor by which its time to the first event is
	// longer, given the elapsed fraction of the rollout and the share of requests that the version gets in the
	// current second.
	behaviour      func(r ident.Route, elapsed, share float64) (failureRate, slow float64)
	oldFailureRate float64
}

var modelRates = map[ident.Route]float64{"draft": 19, "question": 27, "photo": 37}

var modelDurations = map[ident.Route]time.Duration{"draft": 3500 * time.Millisecond, "question": 2500 * time.Millisecond, "photo": 400 * time.Millisecond}

// replayResult is the result of a replay: the recorded state and its time since the start, the number of all
// requests, those to the new version until the deadline (canary), and those to it more than five seconds after its
// 50th bad answer (lateCanary).
type replayResult struct {
	state                     moves.State
	at                        time.Duration
	total, canary, lateCanary int
}

// run replays a rollout in steps of 10 ms. The routers exchange their outcomes every 100 ms and write states every
// 50 ms.
func (rp replay) run(seed uint64) (res replayResult) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var rollouts []*moves.ShortRollout
	for i := range rp.routers {
		seen := start.Add(time.Duration(i) * 5 * time.Millisecond)
		rollouts = append(rollouts, moves.NewShortRollout(seen, moves.Request{Service: "s", To: "v2", Duration: rp.length}, moves.ExposureLimit{Share: 0.1, ExtraRequests: 50}))
	}
	type answer struct {
		at      time.Time
		router  int
		outcome moves.RouterOutcome
	}
	var running []answer
	const step = 10 * time.Millisecond
	bad := 0
	var fiftiethBadAt time.Time
	var secondTotal, secondCanary float64 // requests in the current second
	for now := start.Add(50 * time.Millisecond); now.Before(start.Add(rp.length + 2*time.Second)); now = now.Add(step) {
		elapsed := now.Sub(start).Seconds() / rp.length.Seconds()
		if now.Sub(start)%time.Second < step {
			secondTotal, secondCanary = 0, 0
		}
		for _, r := range []ident.Route{"draft", "photo", "question"} {
			for n := rp.rates[r] * step.Seconds(); n > 0; n-- {
				if n < 1 && rnd.Float64() > n {
					break
				}
				i := rnd.IntN(rp.routers)
				canary := rollouts[i].AssignCanary(now, rp.routers, r, rp.durations[r])
				res.total++
				secondTotal++
				o := moves.RouterOutcome{Route: r, Version: "v1", Target: "o", TimeToFirstEvent: time.Duration(50+rnd.IntN(150)) * time.Millisecond, Failed: rnd.Float64() < rp.oldFailureRate}
				if rollouts[i].CanaryOnly("v1") {
					canary = true
				}
				if canary {
					secondCanary++
					if now.Before(start.Add(rp.length)) {
						res.canary++
					}
					failureRate, slow := rp.behaviour(r, elapsed, secondCanary/secondTotal)
					o.Version, o.Target = "v2", "n"
					o.Failed = rnd.Float64() < failureRate
					o.TimeToFirstEvent = time.Duration(float64(o.TimeToFirstEvent) * slow)
					if o.Failed || slow >= 3 {
						bad++
					}
					if bad == 50 && fiftiethBadAt.IsZero() {
						fiftiethBadAt = now
					}
					if !fiftiethBadAt.IsZero() && now.Sub(fiftiethBadAt) > 5*time.Second {
						res.lateCanary++
					}
				}
				running = append(running, answer{now.Add(o.TimeToFirstEvent), i, o})
			}
		}
		remaining := running[:0]
		for _, x := range running {
			if x.at.After(now) {
				remaining = append(remaining, x)
				continue
			}
			rollouts[x.router].Add(now, x.outcome)
		}
		running = remaining
		if now.Sub(start)%(100*time.Millisecond) < step {
			for i, a := range rollouts {
				for j, b := range rollouts {
					if i != j {
						_ = b.SetPeerOutcomes(ident.ProcessID(fmt.Sprint(i)), 1, a.EncodeOutcomes())
						b.MergeAge(now, a.Age(now))
						if v := a.Verdict(); v != nil {
							b.SetVerdict(*v)
						}
					}
				}
			}
		}
		for _, x := range rollouts {
			if now.Sub(start)%(50*time.Millisecond) >= step {
				break
			}
			s, ok := x.DueState(now)
			if !ok {
				continue
			}
			for _, y := range rollouts {
				y.SetRecorded(s)
			}
			if s != moves.Running && res.state == "" {
				res.state, res.at = s, now.Sub(start)
			}
		}
	}
	return res
}

// replaySizes are the replays of each load pattern. There are fewer seeds for sizes that take long to replay.
var replaySizes = []struct {
	routers int
	length  time.Duration
	seeds   uint64
}{{1, 12 * time.Second, 8}, {3, 12 * time.Second, 8}, {3, 40 * time.Second, 4}, {21, 12 * time.Second, 2}}

func goodVersion(ident.Route, float64, float64) (float64, float64) { return 0.005, 1 }

// Load pattern: rollouts of 12 to 60 s under a steady mix. Guards against a good version that is not rolled out by
// the deadline, and against more requests to the new version before that than the exposure limit allows for a bad
// version.
func TestShortRolloutOfGoodVersion(t *testing.T) {
	g := NewWithT(t)
	for _, s := range replaySizes {
		for seed := range s.seeds {
			res := replay{routers: s.routers, length: s.length, rates: modelRates, durations: modelDurations, behaviour: goodVersion, oldFailureRate: 0.005}.run(seed)
			description := fmt.Sprintf("%d routers, %s, seed %d: %+v", s.routers, s.length, seed, res)
			g.Expect(res.state).To(Equal(moves.Done), description)
			g.Expect(res.at).To(BeNumerically("<=", s.length), description)
			g.Expect(float64(res.canary)).To(BeNumerically("<=", 0.1*float64(res.total)+50), description)
		}
	}
}

// Guards against a bad version that is rolled out, gets more requests than the exposure limit allows, or still
// gets requests 5 s after its 50th bad answer. The version is bad from the start, late, on one route, by slow
// answers, or under load.
func TestShortRolloutOfBadVersion(t *testing.T) {
	for name, f := range map[string]func(ident.Route, float64, float64) (float64, float64){
		"at once": func(ident.Route, float64, float64) (float64, float64) { return 0.3, 1 },
		"late": func(_ ident.Route, elapsed, _ float64) (float64, float64) {
			if elapsed > 0.6 {
				return 0.5, 1
			}
			return 0.005, 1
		},
		"one route": func(r ident.Route, _, _ float64) (float64, float64) {
			if r == "draft" {
				return 0.6, 1
			}
			return 0.005, 1
		},
		"slow": func(ident.Route, float64, float64) (float64, float64) { return 0, 5 },
		"under load": func(_ ident.Route, _, share float64) (float64, float64) {
			if share > 0.3 {
				return 0.6, 1
			}
			return 0.005, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, s := range replaySizes {
				for seed := range s.seeds {
					res := replay{routers: s.routers, length: s.length, rates: modelRates, durations: modelDurations, behaviour: f, oldFailureRate: 0.005}.run(seed)
					description := fmt.Sprintf("%d routers, %s, seed %d: %+v", s.routers, s.length, seed, res)
					g.Expect(res.state).To(Equal(moves.RolledBack), description)
					g.Expect(float64(res.canary)).To(BeNumerically("<=", 0.1*float64(res.total)+50), description)
					g.Expect(res.lateCanary).To(BeZero(), description)
				}
			}
		})
	}
}
