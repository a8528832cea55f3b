package sched

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Where a request is placed.
//
// Load pattern: long prompts beside short questions on targets whose speeds differ several times over. A prompt
// delays the first events of all requests whose prompts are read after it. So a request goes to the target with
// the shortest expected time to the first event, given the pending prompts and the speed of the target, with
// penalties for its load and its distance.

const (
	// centrePenalty and regionPenalty are added to the score of a target in another data centre or region. They
	// stand for the cost of traffic between data centres and over the narrow link between regions.
	centrePenalty = 20 * time.Millisecond
	regionPenalty = 150 * time.Millisecond
	// slotCost is the cost of a slot at a target of mean speed; slots of slower targets cost more.
	slotCost = 100 * time.Millisecond
	// shortestSilence is the shortest time without a first event after which a target counts as silent and gets no
	// new jobs while others have free slots; silenceFactor is the multiple of the expected time.
	shortestSilence = 800 * time.Millisecond
	silenceFactor   = 4
)

// place returns the target for the job, or nil. A canary job goes to another target if no canary target has a
// free slot, so that a canary delays no requests.
func (p *Pool) place(now time.Time, j *Job) (*target, time.Duration) {
	if j.Canary {
		p.gain = PrefixGain{}
		if t := p.canaryTarget(now, j); t != nil {
			return t, t.expectedFirstEvent(j)
		}
		j.Canary = false
	}
	return p.bestTarget(now, j)
}

// canaryTarget returns an idle canary target that the job prefers. If there is none, it returns the one with the most
// jobs among those with at most as many as the other targets have on average, or else the one with the fewest jobs.
//
// Load pattern: a canary version gets a small fraction of the requests. Spread over all its targets they would
// run nearly alone, and a version that fails under load would pass.
func (p *Pool) canaryTarget(now time.Time, j *Job) *target {
	mean := p.meanJobs()
	var below, above, preferred *target
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary || f.Missing || !f.Takes(now) || !j.Homes.Allow(t.Region) || slices.Contains(j.Avoid, t.ID) || t.freeSlots() <= 0 || !p.withinRate(now, t) || !p.fits(t, j) || !p.endsInTime(now, t, j) {
			continue
		}
		if t.jobs() == 0 && slices.Contains(j.Prefer, t.ID) && (preferred == nil || t.hash < preferred.hash) {
			preferred = t
		}
		switch n := t.jobs(); {
		case float64(n) <= mean:
			if below == nil || n > below.jobs() {
				below = t
			}
		case above == nil || n < above.jobs():
			above = t
		}
	}
	switch {
	case preferred != nil:
		return preferred
	case below != nil:
		return below
	}
	return above
}

// meanJobs returns the mean number of jobs at the targets that are not canary targets.
func (p *Pool) meanJobs() float64 {
	jobs, n := 0, 0
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary && f.Open() {
			jobs += t.jobs()
			n++
		}
	}
	return float64(jobs) / float64(max(n, 1))
}

// collectUsable lists the targets that can accept a job now. When nearly all slots are occupied these are few,
// however many jobs wait for them.
func (p *Pool) collectUsable(now time.Time) {
	p.usable = p.usable[:0]
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary && (p.mayPlace(now, t) || p.mayPlaceLong(now, t)) {
			p.usable = append(p.usable, t)
		}
	}
}

// demands are what a job demands of the target that it is placed on.
type demands struct {
	// chanceMin is the least chance that the answer ends in time, onTimeMin the least chance that it is on time.
	chanceMin, onTimeMin float64
	// mayBeOnTime is false for a job that is late in any case.
	mayBeOnTime bool
	kind        answerKind
	// avoid is true if targets that failed the job are not used.
	avoid bool
}

// demandsOf returns what the job demands of a target now.
func (p *Pool) demandsOf(now time.Time, j *Job) demands {
	return demands{
		chanceMin: p.chanceMin(now, j), onTimeMin: p.onTimeMin(now, j), mayBeOnTime: !j.AnswerStarted && !p.isLate(now, j),
		kind: p.answerKind(j), avoid: len(j.Avoid) > 0 && p.hasUntriedTarget(now, j),
	}
}

// bestTarget returns the best target for the job, or nil: one with a free slot, or one at which the job may wait.
func (p *Pool) bestTarget(now time.Time, j *Job) (best *target, expected time.Duration) {
	var bestScore time.Duration
	bestRisk := 0
	gains := gainSearch{}
	var d demands
	if len(p.usable) > 0 {
		d = p.demandsOf(now, j)
	}
	for _, t := range p.usable {
		if !p.mayServe(now, t, j, d) {
			continue
		}
		chance := p.chanceAt(now, t, j)
		if chance < d.chanceMin {
			continue
		}
		risk := p.riskLevel(now, t, chance)
		held := min(p.prefixes.Held(t.ID, j.chain), j.Prompt)
		first := t.expectedFirstEvent(j) - t.readTime(held)
		score, ok := p.timelyScore(now, t, j, d, first)
		if !ok {
			continue
		}
		gains.consider(t, risk, score)
		score -= t.readTime(held)
		if best == nil || risk < bestRisk || risk == bestRisk && score < bestScore {
			best, bestScore, bestRisk = t, score, risk
			expected, gains.held = first, held
		}
	}
	if p.mayWaitAhead(now, j) {
		if t, score, first := p.bestAhead(now, j); t != nil && (best == nil || score < bestScore) {
			p.gain = PrefixGain{}
			return t, first
		}
	}
	p.gain = gains.result(best, j)
	return best, expected
}

// mayServe reports whether the job may be placed on the target at all: its home regions, the memory and the slots of the
// target, and the time until this router stops allow it.
func (p *Pool) mayServe(now time.Time, t *target, j *Job, d demands) bool {
	switch {
	case !j.Homes.Allow(t.Region), d.avoid && slices.Contains(j.Avoid, t.ID):
		return false
	case !p.mayPlace(now, t) && !(t.isLong(j) && p.mayPlaceLong(now, t)):
		return false
	}
	return p.fits(t, j) && p.suits(now, t, j, d.kind) && p.endsInTime(now, t, j)
}

// timelyScore returns the score of a target with the risk that the job is late there, if its first event is expected after
// first. ok is false if the job waits for a better target, or leaves this one to jobs that can be on time.
func (p *Pool) timelyScore(now time.Time, t *target, j *Job, d demands, first time.Duration) (score time.Duration, ok bool) {
	score = p.score(t, j) - p.connectionBonus(now, t, j)
	if !d.mayBeOnTime {
		return score, p.lateMayRun(now, j, t)
	}
	onTime := p.onTimeChance(now, j, first, p.gapOf(t))
	return score + lateCost(onTime, j), onTime >= d.onTimeMin
}

// hasUntriedTarget reports whether a target remains that has not failed the job. The job then waits for such a
// target rather than return to one that failed it, but not for one that asked for time.
func (p *Pool) hasUntriedTarget(now time.Time, j *Job) bool {
	for _, t := range p.sorted {
		if f := p.facts(t); !f.Canary && !f.Missing && f.Accepts(now) && !p.closedByCold(now, t) && j.Homes.Allow(t.Region) && !slices.Contains(j.Avoid, t.ID) {
			return true
		}
	}
	return false
}

// likelyChance is the chance to end in time below which a target is used only if no other one has a free slot.
const likelyChance = 0.8

// Risks of placing a job on a target, in the order in which they are avoided.
const (
	riskNone = iota
	// riskLate: the answer is likely to end after the deadline.
	riskLate
	// riskSilent: jobs at the target have waited for their first events much longer than expected.
	riskSilent
	// riskMissing: the registration of the target is missing.
	riskMissing
)

// riskLevel returns the worst risk of placing the job on the target.
func (p *Pool) riskLevel(now time.Time, t *target, chance float64) int {
	f := p.facts(t)
	switch {
	case f.Missing:
		return riskMissing
	case t.silent(now):
		return riskSilent
	case chance < likelyChance:
		return riskLate
	}
	return riskNone
}

// score returns the expected time to the first event plus the costs of the slot and of the distance. Lower is
// better.
func (p *Pool) score(t *target, j *Job) time.Duration {
	d := t.expectedFirstEvent(j)
	slowness := 1.0
	if p.meanEventGap > 0 && t.eventGap > 0 {
		slowness = float64(t.eventGap) / float64(p.meanEventGap)
	}
	load := float64(t.jobs()) / float64(t.Slots)
	d += time.Duration(float64(slotCost) * slowness * (0.5 + load))
	return d + p.distance(t.Centre, t.Region)
}

// distance returns the penalty for a target in the given data centre and region.
func (p *Pool) distance(c ident.DataCentre, r ident.Region) time.Duration {
	switch {
	case c == p.centre:
		return 0
	case r == p.region:
		return centrePenalty
	}
	return regionPenalty
}

// StreamDuration estimates the duration of a stream of the given number of tokens, stride of which are in an
// event. ok is false while the pool has observed no stream.
func (p *Pool) StreamDuration(tokens ident.Tokens, stride int) (d time.Duration, ok bool) {
	if p.meanEventGap <= 0 || stride <= 0 {
		return 0, false
	}
	return p.minBaseLatency() + time.Duration(int64(tokens)/int64(stride)+1)*p.meanEventGap, true
}
