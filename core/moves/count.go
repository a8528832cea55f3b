package moves

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// group says which outcomes are counted together. Those of the last part of a move are apart, as the new version
// has more load then.
type outcomeGroup struct {
	route      ident.Route
	canary     bool
	finalPhase bool
}

// counts are the outcomes at one process.
type groupCounts map[outcomeGroup]*Counts

// crashTime is the time within which lost answers of one target count as one failure.
const crashWindow = time.Second

// Ended is the end of a request at a target.
type RouterOutcome struct {
	Route   ident.Route
	Version ident.Version
	Target  ident.TargetID
	// Failed is true for a failure that the target answered; Lost is true when its answer was lost.
	Failed, AnswerLost bool
	// Took is the time until the first event; zero if it says nothing, as the target was still warming up.
	TimeToFirstEvent time.Duration
}

// Add counts an outcome. Requests that did not run, and those whose caller left, are not added.
func (q *ShortRollout) Add(now time.Time, e RouterOutcome) {
	if q.state != Running {
		return
	}
	if e.AnswerLost {
		if at, ok := q.lastCrash[e.Target]; ok && now.Sub(at) < crashWindow {
			return
		}
		q.lastCrash[e.Target] = now
	}
	if _, ok := q.tallies[e.Route]; !ok && len(q.tallies) >= shortRoutesMax {
		e.Route = ""
	}
	k := outcomeGroup{route: e.Route, canary: e.Version == q.request.To, finalPhase: float64(q.Age(now)) > (1-finalFraction)*float64(q.request.Duration)}
	c := q.localCounts[k]
	if c == nil {
		c = &Counts{}
		q.localCounts[k] = c
	}
	c.Requests++
	switch {
	case e.Failed || e.AnswerLost:
		c.Failures++
	case e.TimeToFirstEvent > 0:
		c.LatencyBins[latencyBin(e.TimeToFirstEvent)]++
	}
	q.judgementStale = true
}

// latePart is the last part of a move, whose outcomes are compared apart.
const finalFraction = 0.25

// Value returns the outcomes at this process for the others.
func (q *ShortRollout) EncodeOutcomes() []byte {
	keys := make([]outcomeGroup, 0, len(q.localCounts))
	for k := range q.localCounts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b outcomeGroup) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.flags(), b.flags()))
	})
	var b []byte
	for _, k := range keys {
		b = appendText(b, string(k.route))
		b = binary.AppendUvarint(b, k.flags())
		b = appendCounts(b, *q.localCounts[k])
	}
	return b
}

func (k outcomeGroup) flags() (f uint64) {
	if k.canary {
		f |= 1
	}
	if k.finalPhase {
		f |= 2
	}
	return f
}

// Merge takes in the outcomes at another process, which replace earlier ones of the same boot. The error is
// ErrEvidence.
func (q *ShortRollout) SetPeerOutcomes(p ident.ProcessID, boot ident.Boot, value []byte) error {
	r := &reader{b: value}
	c := groupCounts{}
	for len(r.b) > 0 && len(c) < 4*(shortRoutesMax+1) {
		k := outcomeGroup{route: ident.Route(r.text())}
		f := r.uvarint(3)
		k.canary, k.finalPhase = f&1 != 0, f&2 != 0
		c[k] = r.counts()
	}
	if r.malformed {
		return ErrMalformedEvidence
	}
	q.peerCounts[processBoot{p, boot}] = c
	q.judgementStale = true
	return nil
}

// evidence adds up the outcomes of all processes. Targets of both versions differ in speed and load.
func (q *ShortRollout) evidence() Evidence {
	ev := Evidence{pairs: map[routeClass]map[span]*versionPair{}, uneven: true}
	take := func(c groupCounts) {
		for k, n := range c {
			s := span{Start: 1, Len: 1}
			if k.finalPhase {
				s.Start = 2
			}
			for _, at := range []routeClass{{k.route, onlyClass}, {route: k.route}, {}} {
				if k.canary {
					ev.pair(at, s).new.merge(*n)
				} else {
					ev.pair(at, s).old.merge(*n)
				}
			}
		}
	}
	take(q.localCounts)
	for _, c := range q.peerCounts {
		take(c)
	}
	return ev
}
