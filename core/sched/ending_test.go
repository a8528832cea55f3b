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
	// silence is the time for which each target sends nothing in every 5 s, at times of its own; 7.5 s if it is longer than
	// two seconds.
	silence time.Duration
	// events is the median of the estimated lengths, in events; perSecond is the number of arrivals.
	events, perSecond float64
	// longest is the longest answer as a multiple of its estimate, which callers state; zero means that they state none.
	longest float64
	// bound is false for a router that places streams until its end.
	bound bool
}

const (
	stopBeginMillis = 12_000
	stopEndMillis   = 17_000
)

// awaken returns the time from at on at which the target sends.
func (s stopReplay) awaken(target int, at time.Time) time.Time {
	every := 5 * time.Second
	if s.silence > 2*time.Second {
		every = 7500 * time.Millisecond
	}
	into := (time.Duration(at.UnixNano()) + time.Duration(target)*1700*time.Millisecond) % every
	return at.Add(max(s.silence-into, 0))
}

// answer returns the times of the first and the last event of an answer, and its outcome.
func (s stopReplay) answer(target int, sent time.Time, events int) (first, last time.Time, o sched.Outcome) {
	first = s.awaken(target, sent.Add(s.firstEvent))
	last = first
	for range events - 1 {
		next := s.awaken(target, last.Add(s.gaps[target]))
		o.Silence = max(o.Silence, next.Sub(last))
		last = next
	}
	o.Events, o.Resumed = events, o.Silence
	if o.Streamed = last.Sub(first); events > 1 {
		o.Gap = o.Streamed / time.Duration(events-1)
	}
	return first, last, o
}

// stopRun is a stream that runs at a target of a stopReplay.
type stopRun struct {
	job         *sched.Job
	target      ident.TargetID
	first, last time.Time
	outcome     sched.Outcome
	begun       bool
}

// run returns how many of the streams that arrived during the shutdown ended, were cut by its end, and were refused
// although they would have ended at the target that was next.
func (s stopReplay) run(seed uint64) (ended, cut, refused, refusedInVain int) {
	rnd := rand.New(rand.NewPCG(seed, 32))
	p := pool(len(s.gaps), 12)
	lengths, late := map[*sched.Job]int{}, map[*sched.Job]bool{}
	var runs []*stopRun
	for ms := 0; ms <= stopEndMillis; ms += 5 {
		now := at(ms)
		if s.bound && ms == stopBeginMillis {
			p.StopAt(at(stopEndMillis))
		}
		if ms < stopEndMillis-1000 && rnd.Float64() < s.perSecond/200 {
			j := job(fmt.Sprint(ms), ms, 1, 0)
			j.Stride = 6
			expected := math.Max(s.events*math.Exp(rnd.NormFloat64()), 1)
			j.Output = ident.Tokens(6 * expected)
			length := expected * math.Exp(s.spread*rnd.NormFloat64())
			if s.longest > 0 {
				j.OutputMax = ident.Tokens(s.longest * float64(j.Output))
				length = min(length, s.longest*expected)
			}
			lengths[j], late[j] = max(int(length), 1), ms >= stopBeginMillis
			p.Add(j)
		}
		kept := runs[:0]
		for _, r := range runs {
			if !r.begun && !now.Before(r.first) {
				r.begun = true
				p.FirstEvent(now, r.target, r.job)
			}
			if !now.Before(r.last) {
				p.Done(now, r.target, r.job, r.outcome)
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
			r := &stopRun{job: d.Job, target: d.Target}
			r.first, r.last, r.outcome = s.answer(i, now, lengths[d.Job])
			runs = append(runs, r)
		}
		for _, d := range turnedAway {
			if !late[d.Job] {
				continue
			}
			refused++
			if _, last, _ := s.answer(0, now, lengths[d.Job]); last.Before(at(stopEndMillis)) {
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

// Load pattern: see stopReplay; lengths are off by e or less at one standard deviation, targets differ four times in speed
// and fall silent, callers state a longest answer. Guards against streams that are taken by an estimate of their duration,
// outlast the shutdown and are cut. The table is logged with -v.
func TestStreamsPlacedWhileStoppingEndInTime(t *testing.T) {
	unlike := []time.Duration{15 * time.Millisecond, 18 * time.Millisecond, 25 * time.Millisecond, 60 * time.Millisecond}
	var replays []stopReplay
	for _, silence := range []time.Duration{0, 1400 * time.Millisecond, 2900 * time.Millisecond} {
		for _, s := range []stopReplay{{events: 30, perSecond: 20}, {events: 4, perSecond: 60}} {
			s.gaps, s.firstEvent, s.silence, s.bound = unlike, 150*time.Millisecond, silence, true
			for _, s.spread = range []float64{0.1, 0.5, 1} {
				replays = append(replays, s)
			}
			s.longest = 4
			replays = append(replays, s)
		}
	}
	for _, s := range replays {
		t.Run(fmt.Sprintf("%.0f events, spread %.1f, longest %.0f, silence %v", s.events, s.spread, s.longest, s.silence), func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			ended, cut := s.runAll(t)
			g.Expect(cut).To(BeZero())
			g.Expect(ended).NotTo(BeZero())
			if s.silence == 0 && s.events == 30 {
				s.bound = false
				s.runAll(t)
			}
		})
	}
}

// runAll adds up 40 runs and logs the sums.
func (s stopReplay) runAll(t *testing.T) (ended, cut int) {
	refused, refusedInVain := 0, 0
	for seed := range uint64(40) {
		e, c, r, v := s.run(seed)
		ended, cut, refused, refusedInVain = ended+e, cut+c, refused+r, refusedInVain+v
	}
	t.Logf("bound %v: ended %d, cut %d, refused %d, of these %d in vain", s.bound, ended, cut, refused, refusedInVain)
	return ended, cut
}
