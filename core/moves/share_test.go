package moves_test

import (
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/wire"
)

// oneMachine replays a rollout on one machine: two agents of each version, which report every 2 s at different times, and
// two routers for a closed loop of six callers. slow returns by which factor the answers of a version are slower at a time
// after the start.
type oneMachine struct {
	offset time.Duration // of the start in its epoch
	slow   func(v ident.Version, t time.Duration) float64
}

// run returns the conclusion, with the time of the decision after the start, and the last judgement.
func (c oneMachine) run(seed uint64) (moves.Conclusion, time.Duration, moves.Judgement) {
	const step, length, callers = time.Millisecond, 130 * time.Second, 6
	rnd, begin := rand.New(rand.NewPCG(seed, 3)), start.Add(c.offset)
	versions := []ident.Version{"v1", "v1", "v2", "v2"}
	counters, reportAt := make([]*moves.OutcomeCounter, 4), make([]time.Time, 4)
	entries, arriving, arriveAt := make([]wire.GossipEntry, 4), make([][]byte, 4), make([]time.Time, 4)
	for i, v := range versions {
		counters[i] = moves.NewOutcomeCounter(v, "c", begin)
		entries[i].Value = counters[i].EncodeEvidence()
		reportAt[i] = begin.Add(time.Duration(rnd.Int64N(int64(2 * time.Second))))
	}
	m := moves.New(conf.Rollout{Name: "m", Service: "s", From: "v1", To: "v2", Deadline: begin.Add(length)}, []ident.Class{"c"})
	m.Start(begin)
	routers := []*moves.Chooser{moves.NewChooser(m, rnd), moves.NewChooser(m, rnd)}
	freeAt, target, took := make([]time.Time, callers), make([]int, callers), make([]time.Duration, callers)
	for now := begin; ; now = now.Add(step) {
		for i := range callers {
			if freeAt[i].After(now) {
				continue
			}
			if took[i] > 0 {
				counters[target[i]].Add(now, moves.Outcome{Route: "ask", TimeToFirstByte: took[i]})
			}
			v := routers[rnd.IntN(2)].Assign("a", "", "ask", "")
			target[i] = rnd.IntN(2)
			if v == "v2" {
				target[i] += 2
			}
			first := 20 * math.Exp(0.1*rnd.NormFloat64()) * c.slow(v, now.Sub(begin))
			if rnd.Float64() < 0.03 {
				first *= 1 + 2*rnd.Float64()
			}
			took[i] = time.Duration(first * float64(time.Millisecond))
			freeAt[i] = now.Add(2*took[i] + 20*time.Millisecond)
		}
		for i, counter := range counters {
			if changed, _ := counter.Changed(); changed && !now.Before(reportAt[i]) {
				arriving[i], arriveAt[i] = counter.EncodeEvidence(), now.Add(time.Duration(20+rnd.IntN(500))*time.Millisecond)
				reportAt[i] = now.Add(moves.PublishInterval(len(counters)))
			}
			if arriving[i] != nil && !now.Before(arriveAt[i]) {
				entries[i].Value, arriving[i] = arriving[i], nil
			}
		}
		if now.Sub(begin)%moves.MinJudgeInterval != 0 {
			continue
		}
		m.HandleEvidence(now, entries)
		if conclusion, _ := m.Conclusion(); conclusion != nil {
			return *conclusion, now.Sub(begin), m.Judgement()
		}
	}
}

// slowBetween makes the answers of both versions slower by a factor for some time.
func slowBetween(from, length time.Duration, factor float64) func(ident.Version, time.Duration) float64 {
	return func(_ ident.Version, t time.Duration) float64 {
		if t >= from && t < from+length {
			return factor
		}
		return 1
	}
}

// Guards against rolling back a good version as slow because the machine became slow just after all requests went to it:
// the old version's requests of that epoch were from before.
func TestBusyMachineAfterFullShareIsNotBlamed(t *testing.T) {
	for _, offset := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 15 * time.Second} {
		for from := 48 * time.Second; from < 80*time.Second; from += 4 * time.Second {
			for _, factor := range []float64{1.5, 2} {
				c := oneMachine{offset, slowBetween(from, 8*time.Second, factor)}
				conclusion, at, judgement := c.run(1)
				NewWithT(t).Expect(conclusion.State).To(Equal(moves.Done), "offset %v, %.1f times slower from %v: %s after %v: %s",
					offset, factor, from, conclusion.Reason, at, judgement.Counts)
			}
		}
	}
}

// Guards against rolling back a good version as slow because its first answers of an epoch came out of a stall.
func TestStallAtStartOfEpochIsNotBlamed(t *testing.T) {
	for _, offset := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 15 * time.Second} {
		for from := 60 * time.Second; from < 72*time.Second; from += time.Second {
			c := oneMachine{offset, slowBetween(from, 2*time.Second, 5)}
			conclusion, at, judgement := c.run(2)
			NewWithT(t).Expect(conclusion.State).To(Equal(moves.Done), "offset %v, stall at %v: %s after %v: %s",
				offset, from, conclusion.Reason, at, judgement.Counts)
		}
	}
}

// Guards against rolling back a good version as slow because its agents reported slow seconds of the machine before those
// of the old version did.
func TestSlowSecondsReportedFirstAreNotBlamed(t *testing.T) {
	for _, offset := range []time.Duration{0, 5 * time.Second, 10 * time.Second, 15 * time.Second} {
		for seed := uint64(2600); seed < 2608; seed++ {
			c := oneMachine{offset, slowBetween(26300*time.Millisecond, 2*time.Second, 2)}
			conclusion, at, judgement := c.run(seed)
			NewWithT(t).Expect(conclusion.State).To(Equal(moves.Done), "offset %v, seed %d: %s after %v: %s",
				offset, seed, conclusion.Reason, at, judgement.Counts)
		}
	}
}

// Guards against a slow version that is not rolled back, or completed, because of the rules for busy machines.
func TestSlowVersionIsRolledBackAtAnyShare(t *testing.T) {
	for _, from := range []time.Duration{0, 25 * time.Second, 45 * time.Second, 55 * time.Second} {
		for seed := range uint64(5) {
			c := oneMachine{5 * time.Second, func(v ident.Version, t time.Duration) float64 {
				if v == "v2" && t >= from {
					return 3
				}
				return 1
			}}
			conclusion, at, _ := c.run(seed)
			t.Logf("slow from %v: %s after %v", from, conclusion.Reason, at)
			NewWithT(t).Expect(conclusion.Reason).To(Equal(moves.ReasonSlow))
			NewWithT(t).Expect(at - from).To(BeNumerically("<", 45*time.Second))
		}
	}
}
