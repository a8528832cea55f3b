package guard

import (
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// Merge takes in a fact of this or another process. It returns a Block to spread when the fact completes
// the evidence against the fingerprint. Facts that are too old are ignored. A block stays when a Clear
// that would have prevented it arrives late, because other processes have taken it in.
func (g *Guard) Merge(now time.Time, f Fact) []Fact {
	if f.Sort == Block && !now.Before(f.At) || f.Sort != Block && now.Sub(f.At) >= g.keep {
		return nil
	}
	e := g.entry(now, f.Print)
	switch f.Sort {
	case Crash:
		e.add(f)
		return g.judge(now, f.Print, e)
	case Clear:
		if f.At.After(e.cleared) {
			e.cleared = f.At
		}
	case Block:
		// A block lasts at most the keep time from now, whatever a faulty clock of its origin says.
		e.block(earlier(f.At, now.Add(g.keep)))
	}
	return nil
}

func (g *Guard) judge(now time.Time, p ident.Fingerprint, e *entry) []Fact {
	targets, sum := g.weigh(now, e)
	if now.Before(e.until) || targets < TargetsMin || sum < g.threshold {
		return nil
	}
	e.block(now.Add(g.keep))
	return []Fact{{Sort: Block, Print: p, At: e.until}}
}

// entry returns the entry of p and makes room for it when it is new.
func (g *Guard) entry(now time.Time, p ident.Fingerprint) *entry {
	e, ok := g.prints[p]
	if !ok {
		if len(g.prints) >= g.max {
			g.dropOldest()
		}
		e = &entry{}
		g.prints[p] = e
	}
	e.at = now
	return e
}

// dropOldest scans all entries; it runs only while crashes fill the bound.
func (g *Guard) dropOldest() {
	var oldest ident.Fingerprint
	var at time.Time
	found := false
	for p, e := range g.prints {
		if !found || e.at.Before(at) || e.at.Equal(at) && p < oldest {
			oldest, at, found = p, e.at, true
		}
	}
	delete(g.prints, oldest)
}

func (e *entry) add(f Fact) {
	c := crash{target: f.Target, among: f.Among, at: f.At}
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

func (e *entry) block(until time.Time) {
	if until.After(e.until) {
		e.until = until
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
