package conf

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
)

const (
	// ApplyTimeout bounds the object API calls of one apply, retries included. Of the 7 s within which a
	// configuration must be in force everywhere, it leaves 2 s for the distribution to the processes.
	ApplyTimeout = 5 * time.Second
	// retryBaseDelay and retryMaxDelay bound the wait before a call is retried; it doubles with each retry.
	retryBaseDelay = 100 * time.Millisecond
	retryMaxDelay  = time.Second
)

// Op is a type of call to the object API.
type Op uint8

// Calls. Finished means that the sequence has ended and there is no further call.
const (
	Read Op = iota + 1
	Create
	Update
	Finished
)

// Step is the next call that an Apply requests.
type Step struct {
	Op Op
	// Object holds the kind and name of the object to read, or the object to write.
	Object store.Object
	// Wait is the time to wait before the call.
	Wait time.Duration
}

// Result is the final result of an Apply.
type Result string

// Results.
const (
	// Applied means that the configuration was accepted.
	Applied Result = "accepted"
	// Unchanged means that the accepted configuration is already the same; nothing was written.
	Unchanged Result = "unchanged"
	// Conflict means that another configuration was accepted in the meantime and this one was not.
	Conflict Result = "conflict"
	// Refused means that the configuration has faults or would harm a running rollout; nothing was written.
	Refused Result = "refused"
	// Unavailable means that the object API did not answer in time; nothing was written.
	Unavailable Result = "unavailable"
	// Unknown means that a write may have taken effect, or may still do so, and could not be read back in time.
	Unknown Result = "unknown"
	// Broken means that the stored object cannot be decoded as a configuration, or the new one cannot be encoded.
	Broken Result = "broken"
)

// Outcome is the result of an Apply with its details.
type Outcome struct {
	Result Result
	// Config is the accepted configuration; for Conflict, the one that was accepted instead.
	Config Config
	// Changes are the changes made by this apply. For Conflict, they lead to the configuration that was accepted
	// instead: from the configuration of this apply if the expected generation was not the accepted one, otherwise
	// from the configuration that this apply read first.
	Changes  []Change
	Problems []Problem
	Err      error
}

// Apply is the sequence of calls that makes a configuration the accepted one: read, compare, conditional
// update, and a read-back before any second write. It is a state machine: the caller makes the calls and
// passes in their results.
type Apply struct {
	next          Config
	knownRollouts []RolloutStatus
	// expectedGeneration is the generation that the operator has seen; nil accepts any.
	expectedGeneration *ident.Generation
	// minGeneration is the highest generation known to be in force in any process.
	minGeneration ident.Generation
	deadline      time.Time
	step          Step
	// base is the object found by the first read and baseConfig its content; the write is conditional on its revision.
	base       store.Object
	baseConfig Config
	baseRead   bool
	// maybeWritten is true once a write may have taken effect.
	maybeWritten bool
	retries      int
	outcome      Outcome
}

// ApplyOption configures an Apply.
type ApplyOption func(*Apply)

// WithExpectedGeneration makes the apply end with Conflict unless generation g is the accepted one.
func WithExpectedGeneration(g ident.Generation) ApplyOption {
	return func(a *Apply) { a.expectedGeneration = &g }
}

// WithRolloutStatuses sets the known statuses of rollouts; see RolloutStatuses.
func WithRolloutStatuses(known []RolloutStatus) ApplyOption {
	return func(a *Apply) { a.knownRollouts = known }
}

// WithMinGeneration sets the highest generation that is in force in any process. If the stored object was
// lost or reverted, the next generation must still be higher, or all processes would ignore the configuration.
func WithMinGeneration(g ident.Generation) ApplyOption { return func(a *Apply) { a.minGeneration = g } }

// NewApply returns the sequence for a configuration; attempt must be unique among all applies.
func NewApply(now time.Time, next Config, attempt string, opts ...ApplyOption) *Apply {
	a := &Apply{next: next, deadline: now.Add(ApplyTimeout)}
	a.next.Attempt = attempt
	for _, opt := range opts {
		opt(a)
	}
	a.stepRead()
	if problems := Check(next); len(problems) > 0 {
		a.finish(Outcome{Result: Refused, Problems: problems})
	}
	return a
}

// Attempt returns the id of this apply.
func (a *Apply) Attempt() string { return a.next.Attempt }

// Step returns the call to make next.
func (a *Apply) Step() Step { return a.step }

// Outcome returns the outcome; it is valid once Step returns Finished.
func (a *Apply) Outcome() Outcome { return a.outcome }

// HandleResult handles the result of the last step.
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
		// Only ErrUnavailable guarantees that the write had no effect.
		a.maybeWritten = a.maybeWritten || !errors.Is(err, store.ErrUnavailable)
		a.retry(now, err)
	}
}

// handleRead handles the result of a read.
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
	problems := append(CheckReplacement(a.baseConfig, a.next, RolloutStatuses(a.baseConfig, a.knownRollouts)), a.checkNewRollouts(now)...)
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

// checkNewRollouts returns a problem for each new rollout that would end at once: its deadline has passed, or
// a rollout of its name has already ended.
func (a *Apply) checkNewRollouts(now time.Time) []Problem {
	r := newReport()
	for _, m := range a.next.Rollouts {
		if _, declared := findRollout(a.baseConfig, m.Name); declared {
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

// attemptsUpTo returns the attempt of cfg and those before it, newest first.
func attemptsUpTo(cfg Config) []string {
	if cfg.Generation == 0 {
		return nil
	}
	list := append([]string{cfg.Attempt}, cfg.PastAttempts...)
	return list[:min(len(list), PastAttemptsMax)]
}

// resolve decides from a changed object whether this attempt or another one was accepted. This attempt
// cannot take effect later, because its write is conditional on a revision that has been replaced.
func (a *Apply) resolve(cfg Config) {
	own := a.next
	pastIndex := slices.Index(cfg.PastAttempts, own.Attempt)
	switch {
	case cfg.Attempt == own.Attempt, pastIndex >= 0:
		a.finish(Outcome{Result: Applied, Config: own, Changes: Diff(a.baseConfig, own)})
	case a.maybeWritten && cfg.Generation > own.Generation+PastAttemptsMax:
		a.finish(Outcome{Result: Unknown, Config: cfg})
	default:
		a.finish(Outcome{Result: Conflict, Config: cfg, Changes: Diff(a.baseConfig, cfg)})
	}
}

// stepWrite makes the conditional write the next step.
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

// stepRead makes a read the next step.
func (a *Apply) stepRead() {
	a.step = Step{Op: Read, Object: store.Object{Kind: ConfigKind, Name: ConfigName}}
}

// retry reads again after a failed call, unless the deadline would pass.
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
