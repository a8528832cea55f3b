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
type group struct {
	route ident.Route
	trial bool
	late  bool
}

// counts are the outcomes at one process.
type counts map[group]*Counts

// crashTime is the time within which lost answers of one target count as one failure.
const crashTime = time.Second

// Ended is the end of a request at a target.
type Ended struct {
	Route   ident.Route
	Version ident.Version
	Target  ident.TargetID
	// Failed is true for a failure that the target answered; Lost is true when its answer was lost.
	Failed, Lost bool
	// Took is the time until the first event; zero if it says nothing, as the target was still warming up.
	Took time.Duration
}

// Add counts an outcome. Requests that did not run, and those whose caller left, are not added.
func (q *Quick) Add(now time.Time, e Ended) {
	if q.state != Running {
		return
	}
	if e.Lost {
		if at, ok := q.crashed[e.Target]; ok && now.Sub(at) < crashTime {
			return
		}
		q.crashed[e.Target] = now
	}
	if _, ok := q.sent[e.Route]; !ok && len(q.sent) >= quickRoutesMax {
		e.Route = ""
	}
	k := group{route: e.Route, trial: e.Version == q.order.To, late: float64(q.Age(now)) > (1-latePart)*float64(q.order.Length)}
	c := q.mine[k]
	if c == nil {
		c = &Counts{}
		q.mine[k] = c
	}
	c.Requests++
	switch {
	case e.Failed || e.Lost:
		c.Failures++
	case e.Took > 0:
		c.Bins[binOf(e.Took)]++
	}
	q.stale = true
}

// latePart is the last part of a move, whose outcomes are compared apart.
const latePart = 0.25

// Value returns the outcomes at this process for the others.
func (q *Quick) Value() []byte {
	keys := make([]group, 0, len(q.mine))
	for k := range q.mine {
		keys = append(keys, k)
	}
	slices.SortFunc(keys, func(a, b group) int {
		return cmp.Or(cmp.Compare(a.route, b.route), cmp.Compare(a.flags(), b.flags()))
	})
	var b []byte
	for _, k := range keys {
		b = appendText(b, string(k.route))
		b = binary.AppendUvarint(b, k.flags())
		b = appendCounts(b, *q.mine[k])
	}
	return b
}

func (k group) flags() (f uint64) {
	if k.trial {
		f |= 1
	}
	if k.late {
		f |= 2
	}
	return f
}

// Merge takes in the outcomes at another process, which replace earlier ones of the same boot. The error is
// ErrEvidence.
func (q *Quick) Merge(p ident.ProcessID, boot ident.Boot, value []byte) error {
	r := &reader{b: value}
	c := counts{}
	for len(r.b) > 0 && len(c) < 4*(quickRoutesMax+1) {
		k := group{route: ident.Route(r.text())}
		f := r.number(3)
		k.trial, k.late = f&1 != 0, f&2 != 0
		c[k] = r.counts()
	}
	if r.bad {
		return ErrEvidence
	}
	q.peers[source{p, boot}] = c
	q.stale = true
	return nil
}

// evidence adds up the outcomes of all processes. Targets of both versions differ in speed and load.
func (q *Quick) evidence() Evidence {
	ev := Evidence{cells: map[cell]map[span]*pair{}, uneven: true}
	take := func(c counts) {
		for k, n := range c {
			s := span{Start: 1, Len: 1}
			if k.late {
				s.Start = 2
			}
			for _, at := range []cell{{k.route, quickClass}, {route: k.route}, {}} {
				if k.trial {
					ev.at(at, s).new.merge(*n)
				} else {
					ev.at(at, s).old.merge(*n)
				}
			}
		}
	}
	take(q.mine)
	for _, c := range q.peers {
		take(c)
	}
	return ev
}
