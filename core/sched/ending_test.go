package sched_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/sched"
)

// stopReplay is a replay of streams at a router that learns their lengths for 12 s and then stops within 5 s.
type stopReplay struct {
	// spread is the standard deviation of the logarithm of actual over expected length.
	spread float64
	// gaps are the times between events at the targets, firstEvent is the time to the first one.
	gaps       []time.Duration
	firstEvent time.Duration
	// bound is false for a router that places streams until its end.
	bound bool
}

const (
	stopBeginMillis = 12_000
	stopEndMillis   = 17_000
)

// run returns how many of the streams that arrived during the shutdown ended, were cut by its end, and were refused
// although they would have ended at the target that was next.
func (s stopReplay) run(seed uint64) (ended, cut, refused, refusedInVain int) {
	rnd := rand.New(rand.NewPCG(seed, 32))
	p := pool(len(s.gaps), 12)
	lengths, late := map[*sched.Job]int{}, map[*sched.Job]bool{}
	var runs []*answerRun
	for ms := 0; ms <= stopEndMillis; ms += 5 {
		now := at(ms)
		if s.bound && ms == stopBeginMillis {
			p.StopAt(at(stopEndMillis))
		}
		if ms < stopEndMillis-1000 && rnd.Float64() < 0.1 { // 20 a second
			j := job(fmt.Sprint(ms), ms, 1, 0)
			j.Stride = 6
			expected := math.Max(30*math.Exp(rnd.NormFloat64()), 1)
			j.Output = ident.Tokens(6 * expected)
			lengths[j], late[j] = max(int(expected*math.Exp(s.spread*rnd.NormFloat64())), 1), ms >= stopBeginMillis
			p.Add(j)
		}
		kept := runs[:0]
		for _, r := range runs {
			if !r.begun && !now.Before(r.first) {
				r.begun = true
				p.FirstEvent(now, r.target, r.job)
			}
			if r.begun && int(now.Sub(r.first)/r.gap)+1 > r.length {
				p.Done(now, r.target, r.job, sched.Outcome{Gap: r.gap, Events: r.length})
				if late[r.job] {
					ended++
				}
				continue
			}
			kept = append(kept, r)
		}
		runs = kept
		placed, turnedAway := p.Schedule(now)
		for _, d := range placed {
			var i int
			_, _ = fmt.Sscanf(string(d.Target), "t%d", &i)
			runs = append(runs, &answerRun{job: d.Job, target: d.Target, gap: s.gaps[i], first: now.Add(s.firstEvent), length: lengths[d.Job]})
		}
		for _, d := range turnedAway {
			if !late[d.Job] {
				continue
			}
			refused++
			if now.Add(s.firstEvent + time.Duration(lengths[d.Job])*s.gaps[0]).Before(at(stopEndMillis)) {
				refusedInVain++
			}
		}
	}
	for _, r := range runs {
		if late[r.job] {
			cut++
		}
	}
	return ended, cut, refused, refusedInVain
}

// Load pattern: see stopReplay; lengths are off by e at one standard deviation, targets differ four times in speed.
// Guards against streams that are taken by an estimate of their duration, outlast the shutdown and are cut. The table is
// logged with -v.
func TestStreamsPlacedWhileStoppingEndInTime(t *testing.T) {
	g := NewWithT(t)
	unlike := []time.Duration{15 * time.Millisecond, 18 * time.Millisecond, 25 * time.Millisecond, 60 * time.Millisecond}
	for _, spread := range []float64{0.5, 1} {
		for _, bound := range []bool{false, true} {
			var sum [4]int
			for seed := range uint64(40) {
				ended, cut, refused, inVain := stopReplay{spread: spread, gaps: unlike, firstEvent: 150 * time.Millisecond, bound: bound}.run(seed)
				for i, n := range []int{ended, cut, refused, inVain} {
					sum[i] += n
				}
			}
			t.Logf("spread %.1f, bound %v: ended %d, cut %d, refused %d, of these %d in vain", spread, bound, sum[0], sum[1], sum[2], sum[3])
			if bound {
				g.Expect(sum[1]).To(BeZero())
				g.Expect(sum[0]).NotTo(BeZero())
			}
		}
	}
}
