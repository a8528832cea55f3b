package moves

import (
	"math"

	"hickoryvane.example/core/ident"
)

const (
	// runMin is the number of consecutive failures of different fingerprints that condemns a version.
	runMin = 3
	// runTrials is the number of outcomes before a run from which the failure rate before it counts.
	runTrials = 100
	// runChance bounds the chance that the failure rate before the run produces it: a service that
	// fails 1 in 100 calls by itself would see three in a row once in a million.
	runChance = 1e-7
	// runMax bounds the length of a run that is remembered.
	runMax = 16
)

// Local decides at the agent of the new version whether to refuse, from its own outcomes alone.
// The verdict is sticky. It is used until the end of the move is recorded: afterwards the old version
// may be gone, and refusing would stop the service. It is not safe for concurrent use.
type Local struct {
	// seen and failed count outcomes before the current run of failures.
	seen, failed float64
	// run holds the failures since the last good outcome, one per fingerprint and crash.
	run []runItem
	bad bool
}

type runItem struct {
	print ident.Fingerprint
	crash uint64
}

// NewLocal returns a machine that refuses nothing.
func NewLocal() *Local { return &Local{} }

// Add takes an outcome and reports whether the version was judged bad by it, which is then to be
// published as a fact.
func (l *Local) Add(o Outcome) (judged bool) {
	if o.Excused || l.bad {
		return false
	}
	if !o.Failed {
		l.seen += float64(len(l.run)) + 1
		l.failed += float64(len(l.run))
		l.run = l.run[:0]
		return false
	}
	for _, r := range l.run {
		if r.print == o.Print || o.Crash != 0 && r.crash == o.Crash {
			return false
		}
	}
	if len(l.run) < runMax {
		l.run = append(l.run, runItem{o.Print, o.Crash})
	}
	l.bad = len(l.run) >= l.needed()
	return l.bad
}

// needed returns the length of a run that condemns, given the failure rate before it.
func (l *Local) needed() int {
	if l.seen < runTrials {
		return runMin
	}
	rate := (l.failed + 1) / (l.seen + 2)
	return min(max(runMin, int(math.Ceil(math.Log(runChance)/math.Log(rate)))), runMax)
}

// Judge takes a verdict that another process published.
func (l *Local) Judge() { l.bad = true }

// Refuses reports whether the agent refuses all new requests at its version.
func (l *Local) Refuses() bool { return l.bad }
