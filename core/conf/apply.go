package conf

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

const (
	// ApplyTime bounds the calls of the object API of one apply, with retries. It leaves 2 s of the 7 s in
	// which a configuration must be in force everywhere for the push.
	ApplyTimeout = 5 * time.Second
	// retryFirst and retryLast bound the wait before a call is repeated; it doubles with each try.
	retryBaseDelay = 100 * time.Millisecond
	retryMaxDelay  = time.Second
)

// Op is a call of the object API.
type Op uint8

// Calls. End means that the sequence is over.
const (
	Read Op = iota + 1
	Create
	Update
	Finished
)

// Step is the call that an Apply asks for next.
type Step struct {
	Op Op
	// Object names what to read, or holds what to write.
	Object store.Object
	// Wait is the time to wait before the call.
	Wait time.Duration
}

// Result is the kind of end of an Apply.
type Result string

// Results.
const (
	// Applied means that the configuration is accepted.
	Applied Result = "accepted"
	// Unchanged means that the accepted configuration is the same already; nothing was written.
	Unchanged Result = "unchanged"
	// Conflict means that another configuration was accepted meanwhile; this one is not.
	Conflict Result = "conflict"
	// Refused means that the configuration has faults or would harm a running move; nothing was written.
	Refused Result = "refused"
	// Unavailable means that the object API did not answer in time; nothing was written.
	Unavailable Result = "unavailable"
	// Unsure means that a write may have taken effect, or may still do so, and could not be read back in time.
	Unknown Result = "unknown"
	// Broken means that the stored object cannot be read as a configuration, or that it cannot be written.
	Broken Result = "broken"
)

// Outcome is the end of an Apply.
type Outcome struct {
	Result Result
	// Config is the accepted configuration for Applied and Unchanged, the other one for Conflict.
	Config Config
	// Changes names what the apply changes; for Conflict, what the other configuration changed.
	Changes  []Change
	Problems []Problem
	Err      error
}

// Apply is the sequence that makes a configuration the accepted one: read, compare, conditional update, and
// read back before any second write. It is a state machine: the caller makes the calls and reports answers.
type Apply struct {
	next          Config
	knownRollouts []RolloutStatus
	// expect is the generation that the operator has seen; nil accepts any.
	expectedGeneration *ident.Generation
	// floor is the highest generation in force in a process, as far as known.
	minGeneration ident.Generation
	deadline      time.Time
	step          Step
	// base is the object found by the first read and old its content; the write depends on its version.
	base       store.Object
	baseConfig Config
	baseRead   bool
	// sent is true once a write may have taken effect.
	maybeWritten bool
	retries      int
	outcome      Outcome
}

// ApplyOption changes an Apply at construction.
type ApplyOption func(*Apply)

// Expect makes the apply a conflict when another generation than g is accepted.
func WithExpectedGeneration(g ident.Generation) ApplyOption {
	return func(a *Apply) { a.expectedGeneration = &g }
}

// Known tells the apply the states of moves; see States.
func WithRolloutStatuses(moves []RolloutStatus) ApplyOption {
	return func(a *Apply) { a.knownRollouts = moves }
}

// Floor gives the apply the highest generation that a process has in force. If the object was lost or set
// back, the next generation must still be higher than it, or all processes would ignore the configuration.
func WithMinGeneration(g ident.Generation) ApplyOption { return func(a *Apply) { a.minGeneration = g } }

// NewApply returns the sequence for a configuration; attempt must be unique among all applies.
func NewApply(now time.Time, next Config, attempt string, opts ...ApplyOption) *Apply {
	a := &Apply{next: next, deadline: now.Add(ApplyTimeout)}
	a.next.Attempt = attempt
	for _, o := range opts {
		o(a)
	}
	a.stepRead()
	if problems := Check(next); len(problems) > 0 {
		a.finish(Outcome{Result: Refused, Problems: problems})
	}
	return a
}

// Attempt returns the id of this attempt.
func (a *Apply) Attempt() string { return a.next.Attempt }

// Step returns the call to make next.
func (a *Apply) Step() Step { return a.step }

// Outcome returns the end; it is valid when Step asks for End.
func (a *Apply) Outcome() Outcome { return a.outcome }

// Answer takes the answer to the last step at the time now.
func (a *Apply) HandleResult(now time.Time, o store.Object, err error) {
	switch {
	case a.step.Op == Finished:
	case a.step.Op == Read:
		a.handleRead(now, o, err)
	case err == nil:
		a.finish(Outcome{Result: Applied, Config: a.next, Changes: Diff(a.baseConfig, a.next)})
	case errors.Is(err, store.ErrConflict), errors.Is(err, store.ErrExists), errors.Is(err, store.ErrNotFound):
		a.retry(now, nil)
	default:
		// Only ErrUnavailable promises that the write had no effect.
		a.maybeWritten = a.maybeWritten || !errors.Is(err, store.ErrUnavailable)
		a.retry(now, err)
	}
}

// answered handles the answer to a read.
func (a *Apply) handleRead(now time.Time, o store.Object, err error) {
	if err != nil && !errors.Is(err, store.ErrNotFound) {
		a.retry(now, err)
		return
	}
	var cfg Config
	if err == nil {
		if cfg, err = Decode(o.Value); err != nil {
			a.finish(Outcome{Result: Broken, Err: err})
			return
		}
	}
	switch {
	case !a.baseRead:
		a.base, a.baseConfig, a.baseRead = o, cfg, true
		a.compare(now)
	case o.Rev == a.base.Rev:
		a.stepWrite()
	default:
		a.resolve(cfg)
	}
}

// compare decides whether the configuration may replace the accepted one.
func (a *Apply) compare(now time.Time) {
	changes := Diff(a.baseConfig, a.next)
	problems := append(CheckReplacement(a.baseConfig, a.next, RolloutStates(a.baseConfig, a.knownRollouts)), a.checkNewRollouts(now)...)
	if a.baseConfig.Generation > 0 && a.baseConfig.Deployment != a.next.Deployment {
		problems = append(problems, Problem{Key: "deployment", Text: "the object API belongs to deployment " + a.baseConfig.Deployment})
	}
	switch {
	case a.baseConfig.Generation > 0 && a.baseConfig.Generation >= a.minGeneration && len(changes) == 0:
		a.finish(Outcome{Result: Unchanged, Config: a.baseConfig})
	case a.expectedGeneration != nil && *a.expectedGeneration != a.baseConfig.Generation:
		a.finish(Outcome{Result: Conflict, Config: a.baseConfig, Changes: Diff(a.next, a.baseConfig)})
	case len(problems) > 0:
		a.finish(Outcome{Result: Refused, Problems: problems})
	default:
		a.next.Generation = max(a.baseConfig.Generation, a.minGeneration) + 1
		a.next.PastAttempts = attemptsUpTo(a.baseConfig)
		a.stepWrite()
	}
}

// begins returns a problem for each new move that would end at once: its deadline has passed, or a move of
// its name is recorded as ended.
func (a *Apply) checkNewRollouts(now time.Time) []Problem {
	r := newReport()
	for _, m := range a.next.Rollouts {
		if _, known := findRollout(a.baseConfig, m.Name); known {
			continue
		}
		if !m.Deadline.After(now) {
			r.add(entryKey("moves", m.Name)+".deadline", "has passed already")
		}
		if slices.ContainsFunc(a.knownRollouts, func(k RolloutStatus) bool { return k.Name == m.Name && k.State.Ended() }) {
			r.add(entryKey("moves", m.Name)+".name", "is the name of a move that has ended; use a new name")
		}
	}
	return r.sorted()
}

// past returns the attempts before the one that follows cfg.
func attemptsUpTo(cfg Config) []string {
	if cfg.Generation == 0 {
		return nil
	}
	list := append([]string{cfg.Attempt}, cfg.PastAttempts...)
	return list[:min(len(list), PastAttemptsMax)]
}

// resolve decides from a changed object whether this attempt or another one was accepted. This attempt
// cannot take effect later, because the version on which its write depends is gone.
func (a *Apply) resolve(cfg Config) {
	mine := a.next
	back := slices.Index(cfg.PastAttempts, mine.Attempt)
	switch {
	case cfg.Attempt == mine.Attempt, back >= 0:
		a.finish(Outcome{Result: Applied, Config: mine, Changes: Diff(a.baseConfig, mine)})
	case a.maybeWritten && cfg.Generation > mine.Generation+PastAttemptsMax:
		a.finish(Outcome{Result: Unknown, Config: cfg})
	default:
		a.finish(Outcome{Result: Conflict, Config: cfg, Changes: Diff(a.baseConfig, cfg)})
	}
}

func (a *Apply) stepWrite() {
	value, err := Encode(a.next)
	if err != nil {
		a.finish(Outcome{Result: Broken, Err: err})
		return
	}
	a.step = Step{Op: Update, Object: store.Object{Kind: ConfigKind, Name: ConfigName, Rev: a.base.Rev, Value: value}}
	if a.baseConfig.Generation == 0 && a.base.Rev == "" {
		a.step.Op = Create
	}
}

func (a *Apply) stepRead() {
	a.step = Step{Op: Read, Object: store.Object{Kind: ConfigKind, Name: ConfigName}}
}

// again reads after a failed call, unless the time is up.
func (a *Apply) retry(now time.Time, err error) {
	wait := min(retryBaseDelay<<min(a.retries, 8), retryMaxDelay)
	a.retries++
	switch {
	case !now.Add(wait).After(a.deadline):
		a.stepRead()
		a.step.Wait = wait
	case a.maybeWritten:
		a.finish(Outcome{Result: Unknown, Err: err})
	default:
		a.finish(Outcome{Result: Unavailable, Err: err})
	}
}

func (a *Apply) finish(out Outcome) {
	a.outcome, a.step = out, Step{Op: Finished}
}
