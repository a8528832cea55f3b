// Package guard finds requests that crash targets by the fingerprints of what ran when a target
// crashed, and blocks them.
package guard

import (
	"time"

	"hickoryvane.example/core/ident"
)

const (
	// Keep is the time for which a suspicion or a block holds.
	TTL = 10 * time.Minute
	// PrintsMax bounds the fingerprints held; the oldest is dropped first.
	FingerprintsMax = 4096
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
	ttl             time.Duration
	fingerprintsMax int
	threshold       float64
	fingerprints    map[ident.Fingerprint]*record
}

type record struct {
	// crashes holds at most one crash per target, the newest.
	crashes []crash
	// cleared is the time of the newest finish; crashes at or before it do not count.
	clearedAt time.Time
	// until is the end of the block; zero when there is none.
	blockedUntil time.Time
	// at is the time of the newest fact, which decides what is dropped first.
	updatedAt time.Time
}

type crash struct {
	target  ident.TargetID
	running int
	at      time.Time
}

// Option changes a limit of a Guard.
type Option func(*Guard)

// WithKeep sets the time for which a suspicion or a block holds.
func WithTTL(d time.Duration) Option { return func(g *Guard) { g.ttl = d } }

// WithPrints sets the largest number of fingerprints held.
func WithFingerprintsMax(n int) Option { return func(g *Guard) { g.fingerprintsMax = n } }

// New returns a guard that suspects nothing.
func New(opts ...Option) *Guard {
	g := &Guard{ttl: TTL, fingerprintsMax: FingerprintsMax, threshold: Threshold, fingerprints: map[ident.Fingerprint]*record{}}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Check returns how a request with the fingerprint is to be handled.
func (g *Guard) Check(now time.Time, p ident.Fingerprint) Verdict {
	e, ok := g.fingerprints[p]
	if !ok {
		return Allowed
	}
	if now.Before(e.blockedUntil) {
		return Blocked
	}
	if n, _ := g.suspicion(now, e); n > 0 {
		return Isolated
	}
	return Allowed
}

// Crashed records that a target crashed while requests with the given fingerprints ran on it, and
// returns the facts to spread: one Crash for each fingerprint, and a Block for each that is now blocked.
func (g *Guard) RecordCrash(now time.Time, t ident.TargetID, running []ident.Fingerprint) (out []Entry) {
	for _, p := range running {
		f := Entry{Kind: Crash, Fingerprint: p, Target: t, Running: len(running), At: now}
		out = append(out, f)
		out = append(out, g.Merge(now, f)...)
	}
	return out
}

// Finished records that a request with the fingerprint finished. It returns a fact to spread only if the
// fingerprint was suspected.
func (g *Guard) RecordFinish(now time.Time, p ident.Fingerprint) []Entry {
	if e, ok := g.fingerprints[p]; !ok || len(e.crashes) == 0 {
		return nil
	}
	f := Entry{Kind: Clear, Fingerprint: p, At: now}
	g.Merge(now, f)
	return []Entry{f}
}

// Len returns the number of fingerprints held.
func (g *Guard) Len() int { return len(g.fingerprints) }

// Expire drops the fingerprints about which nothing recent is known.
func (g *Guard) Expire(now time.Time) {
	for p, e := range g.fingerprints {
		if now.Sub(e.updatedAt) >= g.ttl && !now.Before(e.blockedUntil) {
			delete(g.fingerprints, p)
		}
	}
}

// weigh returns the number of targets that crashed since the last finish, and the sum of suspicions.
func (g *Guard) suspicion(now time.Time, e *record) (targets int, sum float64) {
	for _, c := range e.crashes {
		if c.at.After(e.clearedAt) && now.Sub(c.at) < g.ttl {
			targets++
			sum += 1 / float64(max(c.running, 1))
		}
	}
	return targets, sum
}
