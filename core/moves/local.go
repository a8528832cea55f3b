package moves

import (
	"math"

	"hickoryvane.example/core/ident"
)

const (
	// runMin is the number of consecutive failures of different fingerprints that condemns a version.
	failureRunMin = 3
	// runTrials is the number of outcomes before a run from which the failure rate before it counts.
	baselineOutcomesMin = 100
	// runChance bounds the chance that the failure rate before the run produces it: a service that
	// fails 1 in 100 calls by itself would see three in a row once in a million.
	runProbabilityMax = 1e-7
	// runMax bounds the length of a run that is remembered.
	failureRunMax = 16
)

// Local decides at the agent of the new version whether to refuse, from its own outcomes alone.
// The verdict is sticky. It is used until the end of the move is recorded: afterwards the old version
// may be gone, and refusing would stop the service. It is not safe for concurrent use.
type LocalJudge struct {
	// seen and failed count outcomes before the current run of failures.
	outcomesBefore, failuresBefore float64
	// run holds the failures since the last good outcome, one per fingerprint and crash.
	failureRun []runFailure
	bad        bool
}

type runFailure struct {
	fingerprint ident.Fingerprint
	crash       uint64
}

// NewLocal returns a machine that refuses nothing.
func NewLocalJudge() *LocalJudge { return &LocalJudge{} }

// Add takes an outcome and reports whether the version was judged bad by it, which is then to be
// published as a fact.
func (l *LocalJudge) Add(o Outcome) (judged bool) {
	if o.Excluded || l.bad {
		return false
	}
	if !o.Failed {
		l.outcomesBefore += float64(len(l.failureRun)) + 1
		l.failuresBefore += float64(len(l.failureRun))
		l.failureRun = l.failureRun[:0]
		return false
	}
	for _, r := range l.failureRun {
		if r.fingerprint == o.Fingerprint || o.Crash != 0 && r.crash == o.Crash {
			return false
		}
	}
	if len(l.failureRun) < failureRunMax {
		l.failureRun = append(l.failureRun, runFailure{o.Fingerprint, o.Crash})
	}
	l.bad = len(l.failureRun) >= l.badRunLen()
	return l.bad
}

// needed returns the length of a run that condemns, given the failure rate before it.
func (l *LocalJudge) badRunLen() int {
	if l.outcomesBefore < baselineOutcomesMin {
		return failureRunMin
	}
	rate := (l.failuresBefore + 1) / (l.outcomesBefore + 2)
	return min(max(failureRunMin, int(math.Ceil(math.Log(runProbabilityMax)/math.Log(rate)))), failureRunMax)
}

// Judge takes a verdict that another process published.
func (l *LocalJudge) MarkBad() { l.bad = true }

// Refuses reports whether the agent refuses all new requests at its version.
func (l *LocalJudge) Refuses() bool { return l.bad }
