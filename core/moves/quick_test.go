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

// flow is the load of a quick move in a replay: requests a second of each route, and how its version fails.
type replay struct {
	routers   int
	length    time.Duration
	rates     map[ident.Route]float64
	durations map[ident.Route]time.Duration
	// fails returns the chance of a failure and the factor of the time to the first event, given the part
	// of the move that has passed and the part of requests that the version gets.
	behaviour func(r ident.Route, passed, load float64) (chance, slow float64)
	// base is the chance of a failure of the old version.
	oldFailureRate float64
}

var modelRates = map[ident.Route]float64{"draft": 19, "question": 27, "photo": 37}

var modelDurations = map[ident.Route]time.Duration{"draft": 3500 * time.Millisecond, "question": 2500 * time.Millisecond, "photo": 400 * time.Millisecond}

// moved is the end of a replay: the recorded state and its time, all requests and those of the new version until
// the deadline, and those of it more than five seconds after its 50th bad answer.
type replayResult struct {
	state                     moves.State
	at                        time.Duration
	total, canary, lateCanary int
}

// play runs a move second by second with reports every 100 ms.
func (f replay) run(seed uint64) (m replayResult) {
	rnd := rand.New(rand.NewPCG(seed, 7))
	var qs []*moves.ShortRollout
	for i := range f.routers {
		seen := start.Add(time.Duration(i) * 5 * time.Millisecond)
		qs = append(qs, moves.NewShortRollout(seen, moves.Request{Service: "s", To: "v2", Duration: f.length}, moves.ExposureLimit{Share: 0.1, ExtraRequests: 50}))
	}
	type ending struct {
		at     time.Time
		router int
		e      moves.RouterOutcome
	}
	var running []ending
	const step = 10 * time.Millisecond
	bad := 0
	var fiftieth time.Time
	var window, windowTrial float64
	for now := start.Add(50 * time.Millisecond); now.Before(start.Add(f.length + 2*time.Second)); now = now.Add(step) {
		passed := now.Sub(start).Seconds() / f.length.Seconds()
		if now.Sub(start)%time.Second < step {
			window, windowTrial = 0, 0
		}
		for _, r := range []ident.Route{"draft", "photo", "question"} {
			for n := f.rates[r] * step.Seconds(); n > 0; n-- {
				if n < 1 && rnd.Float64() > n {
					break
				}
				i := rnd.IntN(f.routers)
				trial := qs[i].AssignCanary(now, f.routers, r, f.durations[r])
				m.total++
				window++
				e := moves.RouterOutcome{Route: r, Version: "v1", Target: "o", TimeToFirstEvent: time.Duration(50+rnd.IntN(150)) * time.Millisecond, Failed: rnd.Float64() < f.oldFailureRate}
				if qs[i].CanaryOnly("v1") {
					trial = true
				}
				if trial {
					windowTrial++
					if now.Before(start.Add(f.length)) {
						m.canary++
					}
					chance, slow := f.behaviour(r, passed, windowTrial/window)
					e.Version, e.Target = "v2", "n"
					e.Failed = rnd.Float64() < chance
					e.TimeToFirstEvent = time.Duration(float64(e.TimeToFirstEvent) * slow)
					if e.Failed || slow >= 3 {
						bad++
					}
					if bad == 50 && fiftieth.IsZero() {
						fiftieth = now
					}
					if !fiftieth.IsZero() && now.Sub(fiftieth) > 5*time.Second {
						m.lateCanary++
					}
				}
				running = append(running, ending{now.Add(e.TimeToFirstEvent), i, e})
			}
		}
		kept := running[:0]
		for _, x := range running {
			if x.at.After(now) {
				kept = append(kept, x)
				continue
			}
			qs[x.router].Add(now, x.e)
		}
		running = kept
		if now.Sub(start)%(100*time.Millisecond) < step {
			for i, a := range qs {
				for j, b := range qs {
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
		for _, q := range qs {
			if now.Sub(start)%(50*time.Millisecond) >= step {
				break
			}
			s, ok := q.DueState(now)
			if !ok {
				continue
			}
			for _, x := range qs {
				x.SetRecorded(s)
			}
			if s != moves.Running && m.state == "" {
				m.state, m.at = s, now.Sub(start)
			}
		}
	}
	return m
}

// sizes are the replays of each pattern; more routers take longer to replay.
var replaySizes = []struct {
	routers int
	length  time.Duration
	seeds   uint64
}{{1, 12 * time.Second, 8}, {3, 12 * time.Second, 8}, {3, 40 * time.Second, 4}, {21, 12 * time.Second, 2}}

func goodVersion(ident.Route, float64, float64) (float64, float64) { return 0.005, 1 }

// Load pattern: moves of 12 to 60 s under a steady mix. Guards against a good version that is not taken by
// its deadline, and against more requests for the new version than allowed if it had turned out bad.
func TestShortRolloutOfGoodVersion(t *testing.T) {
	g := NewWithT(t)
	for _, s := range replaySizes {
		for seed := range s.seeds {
			m := replay{routers: s.routers, length: s.length, rates: modelRates, durations: modelDurations, behaviour: goodVersion, oldFailureRate: 0.005}.run(seed)
			about := fmt.Sprintf("%d routers, %s, seed %d: %+v", s.routers, s.length, seed, m)
			g.Expect(m.state).To(Equal(moves.Done), about)
			g.Expect(m.at).To(BeNumerically("<=", s.length), about)
			g.Expect(float64(m.canary)).To(BeNumerically("<=", 0.1*float64(m.total)+50), about)
		}
	}
}

// Guards against a bad version that is taken, gets more requests than allowed, or gets any long after it
// showed: bad at once, late, on one route, slow, and under load.
func TestShortRolloutOfBadVersion(t *testing.T) {
	for name, f := range map[string]func(ident.Route, float64, float64) (float64, float64){
		"at once": func(ident.Route, float64, float64) (float64, float64) { return 0.3, 1 },
		"late": func(_ ident.Route, passed, _ float64) (float64, float64) {
			if passed > 0.6 {
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
		"under load": func(_ ident.Route, _, load float64) (float64, float64) {
			if load > 0.3 {
				return 0.6, 1
			}
			return 0.005, 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			g := NewWithT(t)
			for _, s := range replaySizes {
				for seed := range s.seeds {
					m := replay{routers: s.routers, length: s.length, rates: modelRates, durations: modelDurations, behaviour: f, oldFailureRate: 0.005}.run(seed)
					about := fmt.Sprintf("%d routers, %s, seed %d: %+v", s.routers, s.length, seed, m)
					g.Expect(m.state).To(Equal(moves.RolledBack), about)
					g.Expect(float64(m.canary)).To(BeNumerically("<=", 0.1*float64(m.total)+50), about)
					g.Expect(m.lateCanary).To(BeZero(), about)
				}
			}
		})
	}
}
