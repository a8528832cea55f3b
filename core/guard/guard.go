// Package guard detects requests that crash targets by the fingerprints of the requests that ran when a target
// crashed, and blocks them. Each router and agent holds one Guard and publishes its entries to the others.
package guard

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/recent"
)

const (
	// TTL is the time after which a suspicion or a block expires.
	TTL = 10 * time.Minute
	// FingerprintsMax bounds the fingerprints held; the least recently updated is dropped first.
	FingerprintsMax = 4096
	// TargetsMin is the least number of distinct crashed targets from which a fingerprint is blocked.
	TargetsMin = 2
	// Threshold is the sum of suspicions from which a fingerprint is blocked; a crash counts 1 divided by the
	// number of requests that ran on the target. A fingerprint that ran alone when a target crashed reaches it
	// with any second crash; one that ran among three or more at both crashes does not.
	Threshold = 1.0
	// crashesMax bounds the targets recorded per fingerprint; the target recorded first is dropped first.
	crashesMax = 4
	// sameMoment is the time within which crashes of targets count as one against a fingerprint that finished before:
	// targets that end together have a cause in common that is no request.
	sameMoment = 250 * time.Millisecond
	// finishedMax is the number of fingerprints that are surely known to have finished.
	finishedMax = 4096
)

// Guard holds the fingerprints known to one process. It is not safe for concurrent use.
type Guard struct {
	ttl             time.Duration
	fingerprintsMax int
	threshold       float64
	fingerprints    map[ident.Fingerprint]*record
	// finished holds the requests that finished at this process.
	finished recent.Times[ident.Fingerprint]
}

type record struct {
	// crashes holds at most one crash per target, the newest.
	crashes []crash
	// clearedAt is the time of the newest completed request; crashes at or before it do not count.
	clearedAt time.Time
	// blockedUntil is the end of the block; zero when there is none.
	blockedUntil time.Time
	// updatedAt is the receipt time of the newest entry; the record with the oldest one is dropped first.
	updatedAt time.Time
}

type crash struct {
	target  ident.TargetID
	running int
	at      time.Time
	// proven is true if a request with the fingerprint had finished before, where the crash was seen.
	proven bool
}

// Option changes a limit of a Guard.
type Option func(*Guard)

// WithTTL sets the time after which a suspicion or a block expires.
func WithTTL(d time.Duration) Option { return func(g *Guard) { g.ttl = d } }

// WithFingerprintsMax sets the largest number of fingerprints held.
func WithFingerprintsMax(n int) Option { return func(g *Guard) { g.fingerprintsMax = n } }

// New returns a guard without suspected fingerprints.
func New(opts ...Option) *Guard {
	g := &Guard{ttl: TTL, fingerprintsMax: FingerprintsMax, threshold: Threshold, fingerprints: map[ident.Fingerprint]*record{}, finished: recent.NewTimes[ident.Fingerprint](finishedMax)}
	for _, o := range opts {
		o(g)
	}
	return g
}

// Check returns how a request with the fingerprint is to be handled.
func (g *Guard) Check(now time.Time, p ident.Fingerprint) Verdict {
	r, ok := g.fingerprints[p]
	if !ok {
		return Allowed
	}
	if now.Before(r.blockedUntil) {
		return Blocked
	}
	if n, _ := g.suspicion(now, r); n > 0 {
		return Isolated
	}
	return Allowed
}

// RecordCrash records that a target crashed while requests with the given fingerprints ran on it, and returns
// the entries to publish: a Crash for each fingerprint, and a Block for each that is now blocked.
func (g *Guard) RecordCrash(now time.Time, t ident.TargetID, running []ident.Fingerprint) (out []Entry) {
	for _, p := range running {
		e := Entry{Kind: Crash, Fingerprint: p, Target: t, Running: len(running), At: now, Proven: !g.finished.Last(p).IsZero()}
		out = append(out, e)
		out = append(out, g.Merge(now, e)...)
	}
	return out
}

// RecordFinish records that a request with the fingerprint finished. It returns an entry to publish only if the
// fingerprint had recorded crashes.
func (g *Guard) RecordFinish(now time.Time, p ident.Fingerprint) []Entry {
	g.finished.Record(p, now)
	if r, ok := g.fingerprints[p]; !ok || len(r.crashes) == 0 {
		return nil
	}
	e := Entry{Kind: Clear, Fingerprint: p, At: now}
	g.Merge(now, e)
	return []Entry{e}
}

// Len returns the number of fingerprints held.
func (g *Guard) Len() int { return len(g.fingerprints) }

// Expire drops the fingerprints without a recent entry or a block in force.
func (g *Guard) Expire(now time.Time) {
	for p, r := range g.fingerprints {
		if now.Sub(r.updatedAt) >= g.ttl && !now.Before(r.blockedUntil) {
			delete(g.fingerprints, p)
		}
	}
}

// suspicion returns the number of targets that crashed within the TTL and after the last request with the
// fingerprint completed, and the sum of suspicions as Threshold defines it. If such requests had finished before,
// crashes at the same moment count as one target.
func (g *Guard) suspicion(now time.Time, r *record) (targets int, sum float64) {
	var counted []crash
	proven := slices.ContainsFunc(r.crashes, func(c crash) bool { return c.proven })
	for _, c := range r.crashes {
		if !c.at.After(r.clearedAt) || now.Sub(c.at) >= g.ttl {
			continue
		}
		sum += 1 / float64(max(c.running, 1))
		if proven && slices.ContainsFunc(counted, func(o crash) bool { return o.at.Sub(c.at).Abs() < sameMoment }) {
			continue
		}
		counted = append(counted, c)
	}
	return len(counted), sum
}
