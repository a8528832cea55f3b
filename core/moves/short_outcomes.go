package moves

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"hickoryvane.example/core/ident"
)

// outcomeGroup is the key by which outcomes are counted. Those of the final phase of a rollout are counted
// separately, as the new version has more load then.
type outcomeGroup struct {
	route      ident.Route
	canary     bool
	finalPhase bool
}

// groupCounts are the outcomes at one process.
type groupCounts map[outcomeGroup]*Counts

// crashWindow is the time within which lost answers of one target count as one failure.
const crashWindow = time.Second

// RouterOutcome is the outcome of one request at a target, as its router saw it.
type RouterOutcome struct {
	Route   ident.Route
	Version ident.Version
	Target  ident.TargetID
	// Failed is true when the target answered with a failure, AnswerLost when its answer was lost.
	Failed, AnswerLost bool
	// TimeToFirstEvent is zero if it is not to be counted, because the target was still warming up.
	TimeToFirstEvent time.Duration
	// EventGap is the mean time between events; zero if it is not to be counted.
	EventGap time.Duration
}

// Add counts an outcome. Callers do not add requests that did not run or whose client disconnected.
func (sr *ShortRollout) Add(now time.Time, o RouterOutcome) {
	if sr.state != Running {
		return
	}
	if o.AnswerLost {
		if at, ok := sr.lastCrash[o.Target]; ok && now.Sub(at) < crashWindow {
			return
		}
		sr.lastCrash[o.Target] = now
	}
	if _, ok := sr.tallies[o.Route]; !ok && len(sr.tallies) >= shortRoutesMax {
		o.Route = ""
	}
	k := outcomeGroup{route: o.Route, canary: o.Version == sr.request.To, finalPhase: float64(sr.Age(now)) > (1-finalFraction)*float64(sr.request.Duration)}
	c := sr.localCounts[k]
	if c == nil {
		c = &Counts{}
		sr.localCounts[k] = c
	}
	c.Requests++
	switch {
	case o.Failed || o.AnswerLost:
		c.Failures++
	case o.TimeToFirstEvent > 0:
		c.LatencyBins[latencyBin(o.TimeToFirstEvent)]++
	}
	sr.addGap(o)
	sr.judgementStale = true
}

// finalFraction is the fraction of a rollout's time at its end whose outcomes are compared separately.
const finalFraction = 0.25

// EncodeOutcomes returns the outcomes at this process in the encoding for its peers.
func (sr *ShortRollout) EncodeOutcomes() []byte {
	keys := make([]outcomeGroup, 0, len(sr.localCounts))
	for k := range sr.localCounts {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b outcomeGroup) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.flags(), b.flags()))
	})
	var b []byte
	for _, k := range keys {
		b = appendText(b, string(k.route))
		b = binary.AppendUvarint(b, k.flags())
		b = appendCounts(b, *sr.localCounts[k])
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

// SetPeerOutcomes sets the outcomes at another process, replacing earlier ones of the same boot. The error is
// ErrMalformedEvidence.
func (sr *ShortRollout) SetPeerOutcomes(p ident.ProcessID, boot ident.Boot, value []byte) error {
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
	sr.peerCounts[processBoot{p, boot}] = c
	sr.judgementStale = true
	return nil
}

// evidence sums the outcomes of all processes. It is marked uneven, as the targets of the two versions differ in
// speed and load.
func (sr *ShortRollout) evidence() Evidence {
	ev := Evidence{pairs: map[routeClass]map[span]*versionPair{}, uneven: true}
	add := func(c groupCounts) {
		for k, n := range c {
			s := span{Start: 1, Len: 1} // stands for the time before the final phase, span 2 for the final phase
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
	add(sr.localCounts)
	for _, c := range sr.peerCounts {
		add(c)
	}
	return ev
}
