package guard

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Merge takes in a fact of this or another process. It returns a Block to spread when the fact completes
// the evidence against the fingerprint. Facts that are too old are ignored. A block stays when a Clear
// that would have prevented it arrives late, because other processes have taken it in.
func (g *Guard) Merge(now time.Time, f Entry) []Entry {
	if f.Kind == Block && !now.Before(f.At) || f.Kind != Block && now.Sub(f.At) >= g.ttl {
		return nil
	}
	e := g.recordFor(now, f.Fingerprint)
	switch f.Kind {
	case Crash:
		e.addCrash(f)
		return g.blockIfSuspect(now, f.Fingerprint, e)
	case Clear:
		if f.At.After(e.clearedAt) {
			e.clearedAt = f.At
		}
	case Block:
		// A block lasts at most the keep time from now, whatever a faulty clock of its origin says.
		e.extendBlock(earlier(f.At, now.Add(g.ttl)))
	}
	return nil
}

func (g *Guard) blockIfSuspect(now time.Time, p ident.Fingerprint, e *record) []Entry {
	targets, sum := g.suspicion(now, e)
	if now.Before(e.blockedUntil) || targets < TargetsMin || sum < g.threshold {
		return nil
	}
	e.extendBlock(now.Add(g.ttl))
	return []Entry{{Kind: Block, Fingerprint: p, At: e.blockedUntil}}
}

// entry returns the entry of p and makes room for it when it is new.
func (g *Guard) recordFor(now time.Time, p ident.Fingerprint) *record {
	e, ok := g.fingerprints[p]
	if !ok {
		if len(g.fingerprints) >= g.fingerprintsMax {
			g.dropOldest()
		}
		e = &record{}
		g.fingerprints[p] = e
	}
	e.updatedAt = now
	return e
}

// dropOldest scans all entries; it runs only while crashes fill the bound.
func (g *Guard) dropOldest() {
	var oldest ident.Fingerprint
	var at time.Time
	found := false
	for p, e := range g.fingerprints {
		if !found || e.updatedAt.Before(at) || e.updatedAt.Equal(at) && p < oldest {
			oldest, at, found = p, e.updatedAt, true
		}
	}
	delete(g.fingerprints, oldest)
}

func (e *record) addCrash(f Entry) {
	c := crash{target: f.Target, running: f.Running, at: f.At}
	i := slices.IndexFunc(e.crashes, func(o crash) bool { return o.target == c.target })
	switch {
	case i >= 0 && e.crashes[i].at.Before(c.at):
		e.crashes[i] = c
	case i < 0 && len(e.crashes) < crashesMax:
		e.crashes = append(e.crashes, c)
	case i < 0:
		e.crashes = append(e.crashes[1:], c)
	}
}

func (e *record) extendBlock(until time.Time) {
	if until.After(e.blockedUntil) {
		e.blockedUntil = until
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
