package moves_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/moves"
)

const seedsPerCase = 10

// timetable is the baseline for comparison: 5, 25, 50 and 100% for a minute each and two more minutes at 100%,
// rolled back when more than 5% of the last 40 answers of the new version failed.
type timetable struct {
	lastFailed []bool
	rolledBack bool
}

func (t *timetable) share(now time.Time) float64 {
	i := int(now.Sub(start) / time.Minute)
	if t.rolledBack {
		return 0
	}
	return []float64{0.05, 0.25, 0.5, 1}[min(i, 3)]
}

func (t *timetable) add(s *sim, isNew, failed bool) {
	if !isNew {
		return
	}
	t.lastFailed = append(t.lastFailed, failed)
	t.lastFailed = t.lastFailed[max(0, len(t.lastFailed)-40):]
	n := 0
	for _, f := range t.lastFailed {
		if f {
			n++
		}
	}
	if len(t.lastFailed) == 40 && n > 2 {
		t.rolledBack = true
		s.noteJudgedBad()
	}
}

func (s *sim) runTimetable() (done bool) {
	s.timetable = &timetable{}
	for s.now.Before(start.Add(6*time.Minute)) && !s.timetable.rolledBack {
		s.step()
	}
	return !s.timetable.rolledBack
}

// runToConclusion runs until the conclusion is recorded, at most until four minutes after the deadline.
func (s *sim) runToConclusion() {
	for s.now.Before(start.Add(rolloutDuration+4*time.Minute)) && s.conclusion == nil {
		s.step()
	}
	for range 100 { // ten more seconds, for requests after the verdict
		s.step()
	}
}

// scenarios are the faults that occur during a rollout.
var scenarios = []struct {
	name  string
	apply func(*sim)
}{
	{"calm", func(*sim) {}},
	{"store outage", func(s *sim) {
		from := start.Add(time.Duration(s.rnd.Int64N(int64(rolloutDuration))))
		s.storeOut = func(t time.Time) bool { return !t.Before(from) && t.Before(from.Add(3*time.Minute)) }
	}},
	{"router deaths", func(s *sim) {
		s.routerCrashes = func(time.Time) bool { return s.rnd.Float64() < 0.001 } // once in 100 s on average
	}},
}

// Guards against completing a rollout of a bad version, rolling back a good one, requests that still reach a bad
// version 2 s after it was judged bad, and more than 5% of the requests of a route on a version that is not proven
// there.
func TestMeasureRollouts(t *testing.T) {
	t.Logf("%-19s %-14s | %5s %5s | %9s %9s %9s %9s | %8s %8s", "version", "scenario", "done", "back",
		"share", "requests", "affected", "after 2s", "mean s", "worst s")
	for _, k := range versionKinds {
		for _, sc := range scenarios {
			t.Run(k.name+"/"+sc.name, func(t *testing.T) {
				t.Parallel()
				measure(t, k, sc.name, sc.apply)
			})
		}
	}
}

func measure(t *testing.T, k versionKind, name string, apply func(*sim)) {
	g := NewWithT(t)
	done, rolledBack, after, before, affected := 0, 0, 0, 0, 0
	var share float64
	var sum, worst time.Duration
	for seed := range uint64(seedsPerCase) {
		s := newSim(k, seed+1)
		apply(s)
		s.runToConclusion()
		g.Expect(s.conclusion).NotTo(BeNil(), "seed %d", seed)
		g.Expect(s.store.writes).To(Equal(1))
		g.Expect(s.limitExceeded).To(BeZero(), "canary requests beyond 5%% on unproven routes")
		g.Expect(s.conclusion.DecidedAt).NotTo(BeTemporally(">", s.rollout.Deadline))
		if s.conclusion.State == moves.Done {
			done++
		} else {
			rolledBack++
		}
		if s.conclusion.State == moves.Done && k.bad() || s.conclusion.State == moves.RolledBack && !k.bad() {
			t.Logf("seed %d: %+v", seed+1, *s.conclusion)
		}
		duration := s.conclusion.DecidedAt.Sub(start)
		sum, worst = sum+duration, max(worst, duration)
		after, before, share, affected = after+s.canaryAfter, max(before, s.canaryBefore), max(share, s.shareBefore), max(affected, s.affectedBefore)
	}
	if !k.bad() {
		share, before = 1, 0
	}
	t.Logf("%-19s %-14s | %5d %5d | %8.0f%% %9d %9d %9d | %8.0f %8.0f", k.name, name, done, rolledBack, share*100, before, affected, after,
		sum.Seconds()/seedsPerCase, worst.Seconds())
	if k.bad() {
		g.Expect(rolledBack).To(Equal(seedsPerCase))
		g.Expect(after).To(BeZero())
	} else {
		g.Expect(done).To(Equal(seedsPerCase))
	}
}

// Logs how a fixed timetable with an error threshold handles the same versions, for comparison; it asserts nothing.
func TestMeasureBaseline(t *testing.T) {
	t.Logf("%-19s | %5s %5s | %9s %9s %9s", "version", "done", "back", "share", "requests", "affected")
	for _, k := range versionKinds {
		t.Run(k.name, func(t *testing.T) {
			t.Parallel()
			baseline(t, k)
		})
	}
}

func baseline(t *testing.T, k versionKind) {
	done, before, affected := 0, 0, 0
	var share float64
	for seed := range uint64(seedsPerCase) {
		s := newSim(k, seed+1)
		if s.runTimetable() {
			done++
		}
		before, share, affected = max(before, s.canaryBefore), max(share, s.shareBefore), max(affected, s.affectedBefore)
	}
	t.Logf("%-19s | %5d %5d | %8.0f%% %9d %9d", k.name, done, seedsPerCase-done, share*100, before, affected)
}
