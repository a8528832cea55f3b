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

// answerRun is an answer that is being generated.
type answerRun struct {
	pool   *sched.Pool
	job    *sched.Job
	target ident.TargetID
	gap    time.Duration
	first  time.Time
	length int
	begun  bool
}

// replayRouters is the number of routers in replayAnswers; each sees a target too seldom to learn its speed alone.
const replayRouters = 16

// replayAnswers replays 20 s of answers of all lengths above the capacity of three kinds of targets, whose events
// take 16, 32 and 95 ms, at routers that report to each other every 160 ms. It returns how many answers ended in
// time, and how many were cut off at their deadline.
func replayAnswers(seed uint64) (ended, cut int) {
	rnd := rand.New(rand.NewPCG(seed, 1))
	gaps := map[ident.TargetID]time.Duration{}
	var pools []*sched.Pool
	for i := range replayRouters {
		p := sched.New(ident.ProcessID(fmt.Sprint("r", i)), "a1", "a")
		p.SetReportInterval(replayRouters * 10 * time.Millisecond)
		for k := range 24 {
			id := ident.TargetID(fmt.Sprint("t", k))
			p.Put(sched.Target{ID: id, Centre: "a1", Region: "a", Slots: 8}, true)
			gaps[id] = []time.Duration{16, 32, 95}[k%3] * time.Millisecond
		}
		pools = append(pools, p)
	}
	lengths := map[*sched.Job]int{}
	var runs []*answerRun
	for ms := 0; ms < 20_000; ms += 5 {
		now := at(ms)
		if rnd.Float64() < 0.6 { // 120 a second
			j := job(fmt.Sprint(ms), ms, 1, 0)
			j.Stride = 7
			expected := 40 * math.Exp(0.67*rnd.NormFloat64())
			j.Output = ident.Tokens(7 * expected)
			lengths[j] = max(int(expected*math.Exp(0.5*rnd.NormFloat64())), 1)
			pools[rnd.IntN(replayRouters)].Add(j)
		}
		kept := runs[:0]
		for _, r := range runs {
			n := int(now.Sub(r.first)/r.gap) + 1
			if !r.begun && !now.Before(r.first) {
				r.begun = true
				r.pool.FirstEvent(now, r.target, r.job)
			}
			switch {
			case r.begun && n > r.length:
				ended++
				r.pool.Done(now, r.target, r.job, sched.Outcome{Gap: r.gap, Events: r.length})
			case !now.Before(r.job.Deadline):
				cut++
				r.pool.Done(now, r.target, r.job, sched.Outcome{Gap: r.gap})
			default:
				kept = append(kept, r)
			}
		}
		runs = kept
		for i, p := range pools {
			if ms%(replayRouters*10) == i*10 {
				for k, q := range pools {
					if k != i {
						q.MergeReport(now, p.Report(now))
					}
				}
			}
			placed, _ := p.Schedule(now)
			for _, d := range placed {
				gap := gaps[d.Target]
				runs = append(runs, &answerRun{pool: p, job: d.Job, target: d.Target, gap: gap, first: now.Add(60*time.Millisecond + 2*gap), length: lengths[d.Job]})
			}
		}
	}
	return ended, cut
}

// Load pattern: see replayAnswers. Guards against answers that hold a slot at a slow target until their deadline and
// are then cut off: of 100, at most 2 are, as the lengths are known by an estimate only.
func TestLongAnswersWaitForATargetThatEndsThemInTime(t *testing.T) {
	g := NewWithT(t)
	for seed := range uint64(5) {
		ended, cut := replayAnswers(seed)
		t.Logf("seed %d: %d ended, %d cut", seed, ended, cut)
		g.Expect(cut).To(BeNumerically("<=", (ended+cut)/50))
	}
}
