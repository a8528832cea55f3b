package avail

import "time"

// State is the state of a target as far as placements are concerned.
type State uint8

// States, from the one that excludes the others' effect to none. A target that several apply to is in the last one.
const (
	// Ready targets get requests.
	Ready State = iota
	// Cold targets get few requests, because they have started or may have.
	Cold
	// Canary targets get only the requests that are chosen for them, or none until their version is known.
	Canary
	// Missing targets, whose registration is absent, and Silent ones, which leave requests without an answer, are used
	// where no other has room.
	Missing
	Silent
	// Down targets were found down and have not answered since; they are tried now and then.
	Down
	// Paused targets asked for time.
	Paused
	// Evacuated targets are in a data centre that gets no new requests.
	Evacuated
	// Leaving targets get no new requests.
	Leaving
	stateCount
)

var states = [stateCount]struct{ name, end string }{
	Ready:     {"ready", ""},
	Cold:      {"cold", "time"},
	Canary:    {"canary", "the end of the rollout"},
	Missing:   {"missing", "a registration, or its removal"},
	Silent:    {"silent", "an answer"},
	Down:      {"down", "an answer"},
	Paused:    {"paused", "time"},
	Evacuated: {"evacuated", "the end of the evacuation"},
	Leaving:   {"leaving", "another process"},
}

// String returns the name used in metrics and reports.
func (s State) String() string { return states[s].name }

// End returns what ends the state; empty for Ready.
func (s State) End() string { return states[s].end }

// States returns all states.
func States() (out []State) {
	for s := range stateCount {
		out = append(out, s)
	}
	return out
}

// Facts are what is known of a target. Silent, ColdUntil and ColdFrom matter for Status only.
type Facts struct {
	Leaving, Evacuated, Missing, Silent, Canary bool
	// FoundDown is true if the target was found down and has not answered since.
	FoundDown bool
	// BackoffUntil is the time until which it gets no requests because it failed, PausedUntil the same because it asked
	// for time, and PacedUntil the same because it resumes slowly after that.
	BackoffUntil, PausedUntil, PacedUntil time.Time
	// ColdUntil is the time until which the target is cold, ColdFrom tells where that is known from.
	ColdUntil time.Time
	ColdFrom  Source
}

// Status is the state of a target, where it is known from, and the time at which it ends if that is known.
type Status struct {
	State  State
	Source Source
	Until  time.Time
}

// Open reports whether the target may get new requests at some time without a change of its registration or of the
// evacuations.
func (f *Facts) Open() bool { return !f.Leaving && !f.Evacuated }

// Accepts reports whether the target takes a request that was placed on it.
func (f *Facts) Accepts(now time.Time) bool { return f.Open() && !now.Before(f.PausedUntil) }

// Takes reports whether new requests may be placed on the target now.
func (f *Facts) Takes(now time.Time) bool {
	return f.Accepts(now) && !now.Before(f.BackoffUntil) && !now.Before(f.PacedUntil)
}

// Status returns the state of the target.
func (f *Facts) Status(now time.Time) Status {
	switch {
	case f.Leaving:
		return Status{State: Leaving, Source: FromRegistration}
	case f.Evacuated:
		return Status{State: Evacuated, Source: FromEvacuation}
	case now.Before(f.PausedUntil):
		return Status{State: Paused, Source: FromAnswer, Until: f.PausedUntil}
	case f.FoundDown:
		return Status{State: Down, Source: FromConnection}
	case f.Silent:
		return Status{State: Silent, Source: FromConnection}
	case f.Missing:
		return Status{State: Missing, Source: FromRegistration}
	case f.Canary:
		return Status{State: Canary, Source: FromRollout}
	case now.Before(f.ColdUntil):
		return Status{State: Cold, Source: f.ColdFrom, Until: f.ColdUntil}
	}
	return Status{State: Ready}
}

// InUse reports whether a target in this state serves any request that waits.
func (s Status) InUse() bool { return s.State == Ready || s.State == Cold }
