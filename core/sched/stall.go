package sched

import (
	"time"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

// When a request that may be repeated leaves a silent target.
//
// Load pattern: targets that hang, or send bytes without ever completing an event, beside targets that are slow because
// they are full, sound ones that fall silent for a while, and ones that preempt streams for lack of memory and go on with
// them seconds later. Some of these go on also after the connection was closed, so that a stream which left one runs
// twice. Therefore a stream leaves its target only if that does not answer a call for its state either, or has room for
// the stream and still sends nothing.

const (
	// stallGoalFactor is the silence after which a stream is stalled, as a multiple of the goal of the route.
	stallGoalFactor = 3
	// plainStallFactor is the same for plain calls, whose callers have the whole answer or nothing; minPlainStall is the
	// shortest one, above the usual time of a call.
	plainStallFactor = 1.5
	minPlainStall    = 200 * time.Millisecond
	// busyStallFactor lengthens the time if the target sends events of other requests, or answers a call for its state
	// without telling it.
	busyStallFactor = 2
)

// StallTimeout returns the silence after which a target is stalled. started is true once a part of the answer was
// forwarded.
func StallTimeout(rt *route.Route, started bool) time.Duration {
	switch {
	case rt.Kind != route.Stream:
		return max(time.Duration(plainStallFactor*float64(rt.FirstEventGoal)), minPlainStall)
	case started:
		return max(SoundSilence, stallGoalFactor*rt.EventGapGoal)
	}
	return max(SoundSilence, stallGoalFactor*rt.FirstEventGoal)
}

// TargetState is what a target that has sent nothing for a while answers to a call for its state.
type TargetState struct {
	// Answers is true if it answered at all, Known if it told the rest.
	Answers, Known bool
	// Waiting is the number of requests that wait there, Free the memory that requests can have.
	Waiting int
	Free    ident.Tokens
}

// mayGoOn reports whether the target may go on at any time with a request that takes the given memory there.
func (s TargetState) mayGoOn(need ident.Tokens) bool {
	return s.Known && (s.Waiting > 0 || s.Free < need)
}

// StallStep is what is to be done about a request whose target may be stalled.
type StallStep uint8

// Steps.
const (
	// StallWait means that the target is not stalled, as far as is known.
	StallWait StallStep = iota
	// StallAsk means that the target is to be asked for its state.
	StallAsk
	// StallLeave means that the request is to go on at another target, if one can take it now.
	StallLeave
)

const (
	// StallAskTime is the time that a target has to answer a call for its state.
	StallAskTime = 300 * time.Millisecond
	// stateTTL is the time after which a target that may go on is asked again.
	stateTTL = 500 * time.Millisecond
	// stallRetry is the pause after which a request that no other target could take asks for the next step again.
	stallRetry = 50 * time.Millisecond
)

// Stall decides when one request leaves its target. It is not safe for concurrent use.
type Stall struct {
	route *route.Route
	// prompt and stride are the tokens of the request and those of an event of its answer.
	prompt ident.Tokens
	stride int
	// timeout is the silence after which the target is stalled; lastEvent is the time of the last event, or the time at
	// which the request was sent. Time does not count while an event is written to the caller, who may read slowly.
	timeout   time.Duration
	lastEvent time.Time
	writing   bool
	// events is the number of events that the target has sent.
	events int
	// state is what the target answered at the time asked.
	state TargetState
	asked time.Time
}

// NewStall returns the decision for a request that is sent now. started is true once a part of the answer was forwarded.
func NewStall(now time.Time, rt *route.Route, j *Job, started bool) *Stall {
	return &Stall{route: rt, prompt: j.Prompt, stride: j.Stride, timeout: StallTimeout(rt, started), lastEvent: now}
}

// RecordEvent records that an event arrived, which is written to the caller until RecordWritten.
func (s *Stall) RecordEvent() {
	s.events, s.writing = s.events+1, true
	s.timeout = StallTimeout(s.route, true)
}

// RecordWritten records that the last event was written to the caller.
func (s *Stall) RecordWritten(now time.Time) { s.lastEvent, s.writing = now, false }

// RecordState records what the target answered to a call for its state.
func (s *Stall) RecordState(now time.Time, t TargetState) { s.asked, s.state = now, t }

// Silence returns the time since the last event, or since the request was sent.
func (s *Stall) Silence(now time.Time) time.Duration { return now.Sub(s.lastEvent) }

// Next returns the next step, and the time after which it is to be asked for again if that is StallWait or could not be
// done. lastOther is the time of the last event that the target sent to any request.
func (s *Stall) Next(now, lastOther time.Time) (step StallStep, again time.Duration) {
	silent := s.Silence(now)
	switch ask := s.timeout - s.askTime(); {
	case s.writing:
		return StallWait, stallRetry
	case silent < ask:
		return StallWait, ask - silent
	case s.askTime() > 0 && now.Sub(s.asked) >= stateTTL:
		return StallAsk, 0
	case s.state.mayGoOn(s.prompt + ident.Tokens(s.events*s.stride)):
		return StallWait, stateTTL
	}
	if allowed := s.allowedSilence(lastOther); silent < allowed {
		return StallWait, min(allowed-silent, stateTTL)
	}
	return StallLeave, stallRetry
}

// askTime is the time before the timeout at which a target is asked for its state. Plain calls are simply sent elsewhere.
func (s *Stall) askTime() time.Duration {
	if s.route.Kind != route.Stream {
		return 0
	}
	return StallAskTime
}

// allowedSilence returns the silence that is allowed to a target which tells of no reason to wait.
func (s *Stall) allowedSilence(lastOther time.Time) time.Duration {
	busy := s.events > 0 && lastOther.Sub(s.lastEvent) > s.timeout/2
	if busy || s.state.Answers && !s.state.Known {
		return busyStallFactor * s.timeout
	}
	return s.timeout
}
