// Package guard finds requests that crash targets by the fingerprints of what ran when a target
// crashed, and blocks them.
package guard

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// Keep is the time for which a suspicion or a block holds.
	Keep = 10 * time.Minute
	// PrintsMax bounds the fingerprints held; the oldest is dropped first.
	PrintsMax = 4096
	// TargetsMin is the number of distinct targets that a blocked fingerprint crashed.
	TargetsMin = 2
	// Threshold is the sum of suspicions from which a fingerprint is blocked. A suspect that ran alone
	// when a target crashed reaches it with any earlier crash; a neighbour among three or more does not.
	Threshold = 1.0
	// crashesMax bounds the targets remembered per fingerprint; the oldest crash is dropped first.
	crashesMax = 4
)

// Guard is the knowledge of one process. It is not safe for concurrent use.
type Guard struct {
	keep      time.Duration
	max       int
	threshold float64
	prints    map[ident.Fingerprint]*entry
}

type entry struct {
	// crashes holds at most one crash per target, the newest.
	crashes []crash
	// cleared is the time of the newest finish; crashes at or before it do not count.
	cleared time.Time
	// until is the end of the block; zero when there is none.
	until time.Time
	// at is the time of the newest fact, which decides what is dropped first.
	at time.Time
}

type crash struct {
	target ident.TargetID
	among  int
	at     time.Time
}

// Option changes a limit of a Guard.
type Option func(*Guard)

// WithKeep sets the time for which a suspicion or a block holds.
func WithKeep(d time.Duration) Option { return func(g *Guard) { g.keep = d } }

// WithPrints sets the largest number of fingerprints held.
func WithPrints(n int) Option { return func(g *Guard) { g.max = n } }

// New returns a guard that suspects nothing.
func New(opts ...Option) *Guard {
	g := &Guard{keep: Keep, max: PrintsMax, threshold: Threshold, prints: map[ident.Fingerprint]*entry{}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Check returns how a request with the fingerprint is to be handled.
func (g *Guard) Check(now time.Time, p ident.Fingerprint) Verdict {
	e, ok := g.prints[p]
	if !ok {
		return Free
	}
	if now.Before(e.until) {
		return Blocked
	}
	if n, _ := g.weigh(now, e); n > 0 {
		return Alone
	}
	return Free
}

// Crashed records that a target crashed while requests with the given fingerprints ran on it, and
// returns the facts to spread: one Crash for each fingerprint, and a Block for each that is now blocked.
func (g *Guard) Crashed(now time.Time, t ident.TargetID, running []ident.Fingerprint) (out []Fact) {
	for _, p := range running {
		f := Fact{Sort: Crash, Print: p, Target: t, Among: len(running), At: now}
		out = append(out, f)
		out = append(out, g.Merge(now, f)...)
	}
	return out
}

// Finished records that a request with the fingerprint finished. It returns a fact to spread only if the
// fingerprint was suspected.
func (g *Guard) Finished(now time.Time, p ident.Fingerprint) []Fact {
	if e, ok := g.prints[p]; !ok || len(e.crashes) == 0 {
		return nil
	}
	f := Fact{Sort: Clear, Print: p, At: now}
	g.Merge(now, f)
	return []Fact{f}
}

// Len returns the number of fingerprints held.
func (g *Guard) Len() int { return len(g.prints) }

// Expire drops the fingerprints about which nothing recent is known.
func (g *Guard) Expire(now time.Time) {
	for p, e := range g.prints {
		if now.Sub(e.at) >= g.keep && !now.Before(e.until) {
			delete(g.prints, p)
		}
	}
}

// weigh returns the number of targets that crashed since the last finish, and the sum of suspicions.
func (g *Guard) weigh(now time.Time, e *entry) (targets int, sum float64) {
	for _, c := range e.crashes {
		if c.at.After(e.cleared) && now.Sub(c.at) < g.keep {
			targets++
			sum += 1 / float64(max(c.among, 1))
		}
	}
	return targets, sum
}
