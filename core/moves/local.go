package moves

import (
	"math"

	"hickoryvane.example/core/ident"
)

const (
	// failureRunMin is the number of consecutive failures of different fingerprints from which a version is bad.
	failureRunMin = 3
	// baselineOutcomesMin is the number of outcomes before a run below which their failure rate is ignored.
	baselineOutcomesMin = 100
	// runProbabilityMax bounds the probability that the failure rate before the run produces it by chance: a
	// service that normally fails 1 in 100 calls has three failures in a row once in a million, so that its run must
	// be longer.
	runProbabilityMax = 1e-7
	// failureRunMax bounds the number of failures of a run that are remembered.
	failureRunMax = 16
)

// LocalJudge decides at an agent of the new version whether to refuse requests, from the outcomes of this agent
// alone. Its verdict is permanent. It is used until the conclusion of the rollout is recorded: afterwards the old
// version may have been stopped, and refusing would stop the service. It is not safe for concurrent use.
type LocalJudge struct {
	// outcomesBefore and failuresBefore count outcomes before the current run of failures.
	outcomesBefore, failuresBefore float64
	// failureRun holds the failures since the last success, one for each fingerprint and crash.
	failureRun []runFailure
	bad        bool
}

type runFailure struct {
	fingerprint ident.Fingerprint
	crash       uint64
}

// NewLocalJudge returns a judge without outcomes, which refuses nothing.
func NewLocalJudge() *LocalJudge { return &LocalJudge{} }

// Add counts an outcome and reports whether it made the version bad, in which case the caller publishes a verdict
// as a gossip entry.
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

// badRunLen returns the length of a run from which the version is bad, given the failure rate before the run.
func (l *LocalJudge) badRunLen() int {
	if l.outcomesBefore < baselineOutcomesMin {
		return failureRunMin
	}
	rate := (l.failuresBefore + 1) / (l.outcomesBefore + 2)
	return min(max(failureRunMin, int(math.Ceil(math.Log(runProbabilityMax)/math.Log(rate)))), failureRunMax)
}

// MarkBad applies a verdict that another process published.
func (l *LocalJudge) MarkBad() { l.bad = true }

// Refuses reports whether the agent is to refuse all new requests.
func (l *LocalJudge) Refuses() bool { return l.bad }
