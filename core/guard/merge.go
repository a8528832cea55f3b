package guard

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Merge applies an entry of this or another process. It returns a Block to publish when the entry causes the
// fingerprint to be blocked. Expired entries are ignored. A block is not lifted by a delayed Clear that would
// have prevented it, because other processes have already applied the block.
func (g *Guard) Merge(now time.Time, e Entry) []Entry {
	if e.Kind == Block && !now.Before(e.At) || e.Kind != Block && now.Sub(e.At) >= g.ttl {
		return nil
	}
	r := g.recordFor(now, e.Fingerprint)
	switch e.Kind {
	case Crash:
		r.addCrash(e)
		return g.blockIfSuspect(now, e.Fingerprint, r)
	case Clear:
		if e.At.After(r.clearedAt) {
			r.clearedAt = e.At
		}
	case Block:
		// A block lasts at most for the TTL from now, even if the clock of its origin is wrong.
		r.extendBlock(earlier(e.At, now.Add(g.ttl)))
	}
	return nil
}

func (g *Guard) blockIfSuspect(now time.Time, p ident.Fingerprint, r *record) []Entry {
	targets, sum := g.suspicion(now, r)
	if now.Before(r.blockedUntil) || targets < TargetsMin || sum < g.threshold {
		return nil
	}
	r.extendBlock(now.Add(g.ttl))
	return []Entry{{Kind: Block, Fingerprint: p, At: r.blockedUntil}}
}

// recordFor returns the record of p; a new one replaces the oldest when the guard is full.
func (g *Guard) recordFor(now time.Time, p ident.Fingerprint) *record {
	r, ok := g.fingerprints[p]
	if !ok {
		if len(g.fingerprints) >= g.fingerprintsMax {
			g.dropOldest()
		}
		r = &record{}
		g.fingerprints[p] = r
	}
	r.updatedAt = now
	return r
}

// dropOldest scans all records; it runs only for new fingerprints while the guard is full.
func (g *Guard) dropOldest() {
	var oldest ident.Fingerprint
	var at time.Time
	found := false
	for p, r := range g.fingerprints {
		if !found || r.updatedAt.Before(at) || r.updatedAt.Equal(at) && p < oldest {
			oldest, at, found = p, r.updatedAt, true
		}
	}
	delete(g.fingerprints, oldest)
}

func (r *record) addCrash(e Entry) {
	c := crash{target: e.Target, running: e.Running, at: e.At, proven: e.Proven}
	i := slices.IndexFunc(r.crashes, func(o crash) bool { return o.target == c.target })
	switch {
	case i >= 0 && r.crashes[i].at.Before(c.at):
		r.crashes[i] = c
	case i < 0 && len(r.crashes) < crashesMax:
		r.crashes = append(r.crashes, c)
	case i < 0:
		r.crashes = append(r.crashes[1:], c)
	}
}

func (r *record) extendBlock(until time.Time) {
	if until.After(r.blockedUntil) {
		r.blockedUntil = until
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
