package sched_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
	"hickoryvane.example/core/sched"
)

// prefixReplay is a load of prompts with parts in common on targets that cache them, in virtual time.
type prefixReplay struct {
	name             string
	routers, targets int
	memory           ident.Tokens
	// interval is the time between the reports of a router, in ms; perSecond is the number of requests.
	interval, perSecond int
	// speed returns the factor of the speed of a target; restartAt is the time at which target 0 starts again, in ms.
	speed     func(target int) float64
	restartAt int
	// length is that of the replay, in ms, and seeds the number of replays.
	length, seeds int
	// long is true if parts are long enough to make up for the other terms of the score.
	long bool
	// parts returns the parts of the n-th prompt and its length.
	parts func(n int, rnd *rand.Rand) ([]prefix.Part, ident.Tokens)
}

const (
	prefixStep   = 5 // ms
	prefixSlots  = 10
	prefixOutput = 200   // tokens
	prefixAnswer = 600   // ms from the first event to the end of an answer at a target of speed 1
	readRate     = 100.0 // tokens per ms at a target of speed 1
)

// cachingTarget is a target with its true cache.
type cachingTarget struct {
	id        ident.TargetID
	speed     float64
	boot      ident.Boot
	ends      []float64     // ms, of the running and waiting requests
	busyUntil float64       // ms
	cached    []prefix.Link // the least recently used first
}

// read returns the time of the first event of a prompt, in ms, and the number of tokens that the target held.
func (c *cachingTarget) read(ms int, memory, prompt ident.Tokens, chain []prefix.Link) (first float64, held ident.Tokens) {
	index := func(b ident.Block) int {
		return slices.IndexFunc(c.cached, func(l prefix.Link) bool { return l.Block == b })
	}
	for _, l := range chain {
		if index(l.Block) < 0 {
			break
		}
		held += l.Tokens
	}
	own := prompt + prefixOutput
	for _, l := range chain {
		if i := index(l.Block); i >= 0 {
			c.cached = slices.Delete(c.cached, i, i+1)
		}
		own -= l.Tokens
		c.cached = append(c.cached, l)
	}
	c.cached = append(c.cached, prefix.Link{Tokens: own})
	sum := ident.Tokens(0)
	for i := len(c.cached) - 1; i >= 0; i-- {
		if sum += c.cached[i].Tokens; sum > memory {
			c.cached = slices.Delete(c.cached, 0, i+1)
			break
		}
	}
	begin := float64(ms)
	c.ends = slices.DeleteFunc(c.ends, func(end float64) bool { return end <= begin })
	slices.Sort(c.ends)
	if n := len(c.ends) - prefixSlots; n >= 0 {
		begin = c.ends[n] // targets admit requests in the order of arrival
	}
	c.busyUntil = max(c.busyUntil, begin) + float64(prompt-held)/readRate/c.speed
	c.ends = append(c.ends, c.busyUntil+20+prefixAnswer/c.speed)
	return c.busyUntil + 20, held
}

// prefixResult is the outcome of a replay.
type prefixResult struct {
	mean, p95 float64 // ms to the first event
	held      float64 // part of the prompt tokens
	onTime    float64
	peak      float64 // largest part of the requests that one target got
}

// mean returns the means of the results of replays with several seeds: with one, results differ by up to a twentieth
// between seeds.
func (r prefixReplay) mean(policy string) (out prefixResult) {
	n := float64(r.seeds)
	for seed := range r.seeds {
		o := r.run(policy, uint64(seed))
		out.mean += o.mean / n
		out.p95 += o.p95 / n
		out.held += o.held / n
		out.onTime += o.onTime / n
		out.peak += o.peak / n
	}
	return out
}

// run replays the load. policy is "model", "none", "most" (held) or "two" (random choices).
func (r prefixReplay) run(policy string, seed uint64) (out prefixResult) {
	rnd, choice := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 2))
	targets := make([]*cachingTarget, r.targets)
	for k := range targets {
		targets[k] = &cachingTarget{id: ident.TargetID(fmt.Sprint("t", k)), speed: r.speed(k), boot: 1}
	}
	pools, models := make([]*sched.Pool, r.routers), make([]*prefix.Model, r.routers)
	register := func(i int, c *cachingTarget) {
		s := prefix.Start{Boot: c.boot}
		pools[i].Put(sched.Target{ID: c.id, Centre: "a1", Region: "a", Slots: prefixSlots, Memory: r.memory, MemoryLimited: true, Start: s}, true)
		models[i].SetTarget(c.id, s, r.memory)
	}
	for i := range pools {
		var opts []sched.Option
		if policy == "model" {
			opts = append(opts, sched.WithPrefixes())
		}
		pools[i], models[i] = sched.New(ident.ProcessID(fmt.Sprint("r", i)), "a1", "a", opts...), prefix.New()
		pools[i].SetReportInterval(time.Duration(r.interval) * time.Millisecond)
		for _, c := range targets {
			register(i, c)
		}
	}
	events := map[int][]func(){}
	after := func(ms float64, f func()) {
		step := (int(ms)/prefixStep + 1) * prefixStep
		events[step] = append(events[step], f)
	}
	// jobs holds, for each router, the numbers of jobs of all routers at the targets as that router knows them.
	jobs := make([][][]int, r.routers)
	for i := range jobs {
		jobs[i] = make([][]int, r.routers)
		for k := range jobs[i] {
			jobs[i][k] = make([]int, r.targets)
		}
	}
	var waits []float64
	var prompt, held ident.Tokens
	got := map[ident.TargetID]int{}
	type waiting struct {
		router int
		job    *sched.Job
	}
	var queue []waiting
	begin := func(ms, i, k int, j *sched.Job) {
		c := targets[k]
		p, chain, boot := pools[i], prefix.Chain(j.Parts), c.boot
		first, n := c.read(ms, r.memory, j.Prompt, chain)
		jobs[i][i][k]++
		got[c.id]++
		prompt, held = prompt+j.Prompt, held+n
		waits = append(waits, first-float64(j.Arrived.Sub(start).Milliseconds()))
		after(first, func() {
			p.FirstEvent(at(int(first)), c.id, j)
			models[i].RecordRead(at(int(first)), c.id, prefix.Start{Boot: boot}, chain, j.Prompt+prefixOutput)
		})
		end := first + prefixAnswer/c.speed
		after(end, func() {
			jobs[i][i][k]--
			p.Done(at(int(end)), c.id, j, sched.Outcome{Gap: time.Duration(prefixAnswer / c.speed / 20 * float64(time.Millisecond))})
		})
	}
	due, arrived := 0.0, 0
	for ms := 0; ms < r.length; ms += prefixStep {
		for _, f := range events[ms] {
			f()
		}
		delete(events, ms)
		if ms == r.restartAt && ms > 0 {
			targets[0].cached, targets[0].boot = nil, 2
			after(float64(ms+1000), func() { // registrations are a second old
				for i := range pools {
					register(i, targets[0])
				}
			})
		}
		for due += float64(r.perSecond*prefixStep) / 1000; due >= 1; due-- {
			j := job(fmt.Sprint(arrived), ms, 0, 0)
			if j.Prompt = 628; rnd.IntN(4) > 0 { // one in four is short and has no part in common with others
				j.Parts, j.Prompt = r.parts(arrived, rnd)
			}
			j.Output = prefixOutput
			arrived++
			queue = append(queue, waiting{rnd.IntN(r.routers), j})
		}
		for i, p := range pools {
			if (ms/prefixStep+i)%(r.interval/prefixStep) == 0 {
				rep := p.Report(at(ms))
				rep.Prefixes = p.PrefixReport(at(ms))
				own, counts := models[i].Report(at(ms)), slices.Clone(jobs[i][i])
				after(float64(ms+10), func() {
					for k, o := range pools {
						if k != i {
							o.MergeReport(at(ms+10), rep)
							models[k].Merge(rep.Router, own)
							jobs[k][i] = counts
						}
					}
				})
			}
		}
		switch policy {
		case "model", "none":
			for _, w := range queue {
				pools[w.router].Add(w.job)
			}
			queue = nil
			for i, p := range pools {
				placed, refused := p.Schedule(at(ms))
				for _, d := range placed {
					begin(ms, i, slices.IndexFunc(targets, func(c *cachingTarget) bool { return c.id == d.Target }), d.Job)
				}
				for range refused {
					waits = append(waits, 1e4)
				}
			}
		default:
			kept := queue[:0]
			for _, w := range queue {
				if k := r.choose(policy, choice, models[w.router], jobs[w.router], w.job); k >= 0 {
					begin(ms, w.router, k, w.job)
				} else {
					kept = append(kept, w)
				}
			}
			queue = kept
		}
	}
	slices.Sort(waits)
	for _, w := range waits {
		out.mean += w / float64(len(waits))
		if w <= 500 {
			out.onTime += 1 / float64(len(waits))
		}
	}
	for _, n := range got {
		out.peak = max(out.peak, float64(n)/float64(len(waits)))
	}
	out.p95, out.held = waits[len(waits)*95/100], float64(held)/float64(prompt)
	return out
}

// choose returns the target that a baseline chooses, or -1 if none has a free slot as far as the router knows.
func (r prefixReplay) choose(policy string, rnd *rand.Rand, m *prefix.Model, jobs [][]int, j *sched.Job) int {
	best, least := -1, 0
	var most ident.Tokens
	chain := prefix.Chain(j.Parts)
	for i := range r.targets {
		k := i
		if policy == "two" {
			if i == 2 {
				break
			}
			k = rnd.IntN(r.targets)
		}
		count := 0
		for _, counts := range jobs {
			count += counts[k]
		}
		if count >= prefixSlots {
			continue
		}
		n := ident.Tokens(0)
		if policy == "most" {
			n = m.Held(ident.TargetID(fmt.Sprint("t", k)), chain)
		}
		if best < 0 || n > most || n == most && count < least {
			best, least, most = k, count, n
		}
	}
	return best
}

func evenSpeed(int) float64 { return 1 }

// shared returns prompts that begin with one of n parts, of which the first is as frequent as all others together.
func shared(n int, part, own ident.Tokens) func(int, *rand.Rand) ([]prefix.Part, ident.Tokens) {
	return func(_ int, rnd *rand.Rand) ([]prefix.Part, ident.Tokens) {
		k := max(rnd.IntN(2*n)-n, 0)
		return []prefix.Part{{ID: ident.PromptPart(fmt.Sprint("p", k)), Tokens: part}}, part + own/2 + ident.Tokens(rnd.Int64N(int64(own)))
	}
}

// sessions returns prompts of n sessions at a time, each of which grows by 1,500 tokens up to ten times.
func sessions(n int) func(int, *rand.Rand) ([]prefix.Part, ident.Tokens) {
	turns := make([]int, n)
	return func(_ int, rnd *rand.Rand) (parts []prefix.Part, prompt ident.Tokens) {
		i := rnd.IntN(n)
		turns[i]++
		for k := range (turns[i]-1)%10 + 1 {
			parts = append(parts, prefix.Part{ID: ident.PromptPart(fmt.Sprint("s", i, "/", (turns[i]-1)/10, "/", k)), Tokens: 1500})
		}
		return parts, ident.Tokens(1500*len(parts) + 200)
	}
}

var prefixReplays = []prefixReplay{
	{name: "usual parts of 60 tokens", length: 10_000, seeds: 3, routers: 22, targets: 41, memory: 182_000, interval: 150, perSecond: 400, speed: evenSpeed, parts: shared(80, 60, 2900)},
	{name: "hot key", length: 20_000, seeds: 1, routers: 3, targets: 9, memory: 182_000, interval: 100, perSecond: 80, speed: evenSpeed, parts: shared(4, 6000, 1000)},
	{name: "sessions", length: 20_000, seeds: 1, long: true, routers: 3, targets: 9, memory: 400_000, interval: 100, perSecond: 66, speed: evenSpeed, parts: sessions(60)},
	{name: "memory runs out", length: 20_000, seeds: 1, long: true, routers: 3, targets: 9, memory: 60_000, interval: 100, perSecond: 66, speed: evenSpeed, parts: sessions(200)},
	{name: "a target restarts", length: 20_000, seeds: 1, long: true, routers: 3, targets: 9, memory: 400_000, interval: 100, perSecond: 66, speed: evenSpeed, restartAt: 8000, parts: sessions(60)},
	{name: "stale estimates at many routers", length: 20_000, seeds: 1, routers: 22, targets: 41, memory: 182_000, interval: 2000, perSecond: 260, speed: evenSpeed, parts: sessions(300)},
	{name: "unlike speeds", length: 20_000, seeds: 1, long: true, routers: 3, targets: 9, memory: 400_000, interval: 100, perSecond: 60, speed: func(k int) float64 { return 0.55 + 0.28*float64(k) }, parts: sessions(60)},
}

// Guards against a model that costs time to the first event, compared with placement without it and with the usual
// baselines, and against a popular part that draws the requests to one target.
func TestHeldPartsShortenTheWait(t *testing.T) {
	for _, r := range prefixReplays {
		t.Run(r.name, func(t *testing.T) {
			g := NewWithT(t)
			results := map[string]prefixResult{}
			for _, policy := range []string{"model", "none", "most", "two"} {
				o := r.mean(policy)
				results[policy] = o
				t.Logf("| %s | %s | %.0f | %.0f | %.3f | %.3f | %.3f |", r.name, policy, o.mean, o.p95, o.onTime, o.held, o.peak)
			}
			m, none := results["model"], results["none"]
			g.Expect(m.mean).To(BeNumerically("<=", 1.02*none.mean))
			g.Expect(m.onTime).To(BeNumerically(">=", none.onTime-0.01))
			g.Expect(m.held).To(BeNumerically(">=", none.held))
			g.Expect(m.peak).To(BeNumerically("<=", 1.1*none.peak), "the parts draw the requests to one target")
			if r.long {
				g.Expect(m.mean).To(BeNumerically("<=", 0.85*none.mean))
				g.Expect(m.mean).To(BeNumerically("<=", 0.7*results["two"].mean))
			}
		})
	}
}
