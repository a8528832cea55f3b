package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/moves"
)

const seeds = 10

// timetable is the baseline: 5, 25, 50 and 100% for a minute each and two more at 100%, taken back
// when more than 5% of the last 40 answers of the new version failed.
type timetable struct {
	last []bool
	back bool
}

func (t *timetable) share(now time.Time) float64 {
	i := int(now.Sub(start) / time.Minute)
	if t.back {
		return 0
	}
	return []float64{0.05, 0.25, 0.5, 1}[min(i, 3)]
}

func (t *timetable) add(s *sim, isNew, failed bool) {
	if !isNew {
		return
	}
	t.last = append(t.last, failed)
	t.last = t.last[max(0, len(t.last)-40):]
	n := 0
	for _, f := range t.last {
		if f {
			n++
		}
	}
	if len(t.last) == 40 && n > 2 {
		t.back = true
		s.judged()
	}
}

func (s *sim) runTimed() (done bool) {
	s.timed = &timetable{}
	for s.now.Before(start.Add(6*time.Minute)) && !s.timed.back {
		s.step()
	}
	return !s.timed.back
}

// run lets the move run to its recorded end, at most four minutes beyond its deadline.
func (s *sim) run() {
	for s.now.Before(start.Add(window+4*time.Minute)) && s.ended == nil {
		s.step()
	}
	for range 100 { // ten more seconds, for requests after the evidence
		s.step()
	}
}

// scenarios are the troubles around a move.
var scenarios = []struct {
	name  string
	apply func(*sim)
}{
	{"calm", func(*sim) {}},
	{"store outage", func(s *sim) {
		from := start.Add(time.Duration(s.rnd.Int64N(int64(window))))
		s.out = func(t time.Time) bool { return !t.Before(from) && t.Before(from.Add(3*time.Minute)) }
	}},
	{"router deaths", func(s *sim) {
		s.die = func(time.Time) bool { return s.rnd.Float64() < 0.001 } // one in 100 s on average
	}},
}

// Guards against a bad version that is moved to, a good one that is taken back, requests that reach a
// bad version 2 s after the evidence, and more than 5% before a route is proved.
func TestMeasureMoves(t *testing.T) {
	t.Logf("%-19s %-14s | %5s %5s | %9s %9s %9s %9s | %8s %8s", "version", "scenario", "done", "back",
		"share", "requests", "met it", "after 2s", "mean s", "worst s")
	for _, k := range kinds {
		for _, sc := range scenarios {
			t.Run(k.name+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				measure(t, k, sc.name, sc.apply)
			})
		}
	}
}

func measure(t *testing.T, k kind, name string, apply func(*sim)) {
	g := NewWithT(t)
	done, back, after, before, shown := 0, 0, 0, 0, 0
	var share float64
	var sum, worst time.Duration
	for seed := range uint64(seeds) {
		s := newSim(k, seed+1)
		apply(s)
		s.run()
		g.Expect(s.ended).NotTo(BeNil(), "seed %d", seed)
		g.Expect(s.store.writes).To(Equal(1))
		g.Expect(s.overs).To(BeZero(), "requests beyond 5%% before proof")
		g.Expect(s.ended.At).NotTo(BeTemporally(">", s.move.Deadline))
		if s.ended.State == moves.Done {
			done++
		} else {
			back++
		}
		if s.ended.State == moves.Done && k.bad() || s.ended.State == moves.Back && !k.bad() {
			t.Logf("seed %d: %+v", seed+1, *s.ended)
		}
		took := s.ended.At.Sub(start)
		sum, worst = sum+took, max(worst, took)
		after, before, share, shown = after+s.after, max(before, s.before), max(share, s.share), max(shown, s.shown)
	}
	if !k.bad() {
		share, before = 1, 0
	}
	t.Logf("%-19s %-14s | %5d %5d | %8.0f%% %9d %9d %9d | %8.0f %8.0f", k.name, name, done, back, share*100, before, shown, after,
		sum.Seconds()/seeds, worst.Seconds())
	if k.bad() {
		g.Expect(back).To(Equal(seeds))
		g.Expect(after).To(BeZero())
	} else {
		g.Expect(done).To(Equal(seeds))
	}
}

// Shows what a fixed timetable with an error threshold does with the same versions; nothing is asserted.
func TestMeasureBaseline(t *testing.T) {
	t.Logf("%-19s | %5s %5s | %9s %9s %9s", "version", "done", "back", "share", "requests", "met it")
	for _, k := range kinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			baseline(t, k)
		})
	}
}

func baseline(t *testing.T, k kind) {
	done, before, shown := 0, 0, 0
	var share float64
	for seed := range uint64(seeds) {
		s := newSim(k, seed+1)
		if s.runTimed() {
			done++
		}
		before, share, shown = max(before, s.before), max(share, s.share), max(shown, s.shown)
	}
	t.Logf("%-19s | %5d %5d | %8.0f%% %9d %9d", k.name, done, seeds-done, share*100, before, shown)
}
