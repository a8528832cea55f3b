package sched

import (
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/prefix"
)

// Where a request is placed if targets hold parts of its prompt.
//
// Load pattern: sessions whose prompts repeat some thousand tokens, and parts that many prompts share. The time that a
// target saves because it holds a part is subtracted from its score. Wait, load and distance count as before, so a
// popular part spreads to other targets before those that hold it are overloaded.

// Option sets one property of a Pool.
type Option func(*Pool)

// WithPrefixes makes placements depend on what targets are estimated to hold of prompts.
func WithPrefixes() Option { return func(p *Pool) { p.prefixes = prefix.New() } }

// PrefixGain is what a placement gains, or costs, by parts of the prompt that targets hold.
type PrefixGain struct {
	// Held is the number of tokens that the target is estimated to hold.
	Held ident.Tokens
	// Moved is true if another target had been chosen otherwise; Wait is the time by which the first event, without
	// the gain, is expected later than there.
	Moved bool
	Wait  time.Duration
}

// setPrefixTarget tells the model about a target; restarted is true if it holds nothing any more.
func (p *Pool) setPrefixTarget(t Target, restarted bool) {
	if restarted {
		p.prefixes.RemoveTarget(t.ID)
	}
	p.prefixes.SetTarget(t.ID, t.Start, t.Memory)
}

// setChain computes the chain of the parts of a job's prompt.
func (p *Pool) setChain(j *Job) {
	if p.prefixes != nil && j.chain == nil {
		j.chain = prefix.Chain(j.Parts)
	}
}

// recordRead records that a target has read the prompt of a job, on the first event of the answer.
func (p *Pool) recordRead(now time.Time, t *target, j *Job) {
	if i := t.runIndex(j); i >= 0 && !t.runs[i].answering {
		p.prefixes.RecordRead(now, t.ID, t.runs[i].start, j.chain, j.tokens())
	}
}

// PrefixReport returns what to tell the other routers of the parts of prompts that targets hold.
func (p *Pool) PrefixReport(now time.Time) prefix.Report { return p.prefixes.Report(now) }

// readTime returns the time that the target needs to read n tokens of a prompt.
func (t *target) readTime(n ident.Tokens) time.Duration {
	return time.Duration(float64(n) / t.promptRate * float64(time.Second))
}

// gainSearch finds the target that would be chosen if targets held nothing.
type gainSearch struct {
	target *target
	risk   int
	score  time.Duration
	// held is the estimate for the target that is chosen.
	held ident.Tokens
}

// consider takes a target with its score without regard to what it holds.
func (g *gainSearch) consider(t *target, risk int, score time.Duration) {
	if g.target == nil || risk < g.risk || risk == g.risk && score < g.score {
		g.target, g.risk, g.score = t, risk, score
	}
}

// result compares the chosen target with the one found.
func (g *gainSearch) result(chosen *target, j *Job) (out PrefixGain) {
	out.Held = g.held
	if chosen != g.target {
		out.Moved = true
		out.Wait = max(chosen.expectedFirstEvent(j)-g.target.expectedFirstEvent(j), 0)
	}
	return out
}
