// Package trace defines recorded traces and replays them in virtual time through the decision packages,
// or through simple baselines, in front of a small model of an engine.
package trace

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// Format is the number of the trace format; a reader refuses other numbers.
const FormatVersion = 1

// Header is the first line of a trace. Times are in milliseconds.
type Header struct {
	// Trace is the number of the format.
	FormatVersion int    `json:"trace"`
	Deployment    string `json:"deployment"`
	Title         string `json:"title"`
	// Seed fixes all random choices of a replay.
	Seed uint64 `json:"seed"`
	// Length is the time of the last arrival at most; a replay goes on until all requests have ended.
	Length conf.Millis `json:"length"`
	// Warm is the time before which arrivals are not counted in results.
	WarmUp conf.Millis `json:"warm,omitempty"`
	// Report is the interval of load reports, Lag the age at which an engine's report or cache event arrives.
	ReportInterval conf.Millis   `json:"report"`
	ReportLag      conf.Millis   `json:"lag"`
	Regions        []conf.Region `json:"regions"`
	Tiers          []conf.Tier   `json:"tiers"`
	Accounts       []Account     `json:"accounts"`
	Classes        []Class       `json:"classes"`
	Targets        []Target      `json:"targets"`
	Routers        []Router      `json:"routers"`
	Expectations   []Expectation `json:"outcomes"`
}

// Account is a client account.
type Account struct {
	Name   ident.AccountID `json:"name"`
	Weight int             `json:"weight"`
	// Rate is in tokens per second, Burst in tokens; zero means no limit.
	Rate  ident.Tokens `json:"rate,omitempty"`
	Burst ident.Tokens `json:"burst,omitempty"`
}

// Class is the speed of engines of one hardware generation. One step of an engine takes
// Step + Slow x (decoding requests) + (prompt tokens of the step) / Prefill.
type Class struct {
	Name ident.Class `json:"name"`
	// Prefill is the speed of reading prompts in tokens per second.
	PrefillTokensPerSecond float64 `json:"prefill"`
	// Chunk is the largest number of prompt tokens per step.
	ChunkMax ident.Tokens `json:"chunk"`
	// Step is the time of a step of an empty batch in milliseconds, and Slow what each decoding request adds.
	StepMillis           float64 `json:"step"`
	StepMillisPerRequest float64 `json:"slow"`
	// Batch is the largest number of requests that run at a time; others wait in the engine.
	BatchMax int `json:"batch"`
	// Memory is the KV memory in tokens; a request holds prompt and output.
	KVTokens ident.Tokens `json:"memory"`
	// Cache is the size of the prefix cache in blocks of 64 tokens.
	CacheBlocks int `json:"cache"`
}

// Target is an engine.
type Target struct {
	Name    ident.TargetID   `json:"name"`
	Class   ident.Class      `json:"class"`
	Centre  ident.DataCentre `json:"centre"`
	Service ident.Service    `json:"service"`
	Version ident.Version    `json:"version"`
}

// Router is an entry VM.
type Router struct {
	Name   ident.ProcessID  `json:"name"`
	Centre ident.DataCentre `json:"centre"`
}

// Kind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// Arrival is a request of a caller.
	Arrival EventKind = "arrival"
	// Burst is Count similar requests spread evenly over Span.
	Burst EventKind = "burst"
	// Slow multiplies the step time of Target by Factor for Span.
	Slowdown EventKind = "slow"
	// Crash stops Target and all its requests; it starts again with an empty cache after Span.
	Crash EventKind = "crash"
	// Late delays cache events of Target by Delay for Span.
	CacheDelay EventKind = "late"
	// Gap loses the next Count cache events of Target.
	CacheLoss EventKind = "gap"
	// Lagging delays load reports of all targets by Delay for Span.
	ReportDelay EventKind = "lagging"
	// Move declares the move Name of Service from version From to To, to end after Deadline; Fault says how
	// the new version fails.
	Rollout EventKind = "move"
	// Outage makes the object API unavailable for Span.
	StoreOutage EventKind = "outage"
)

// Fault says how a version of a move fails.
type VersionFault string

// Faults of versions; the empty one is a good version.
const (
	// Once fails every request from the start.
	FailAlways VersionFault = "once"
	// Later fails every request from Delay after the start of the move.
	FailAfterDelay VersionFault = "later"
	// Load fails requests that start while at least Count others run at the target.
	FailUnderLoad VersionFault = "load"
	// OnRoute fails every request of Route.
	FailOnRoute VersionFault = "route"
	// Tardy takes Factor times as long.
	SlowVersion VersionFault = "tardy"
)

// Event is one line after the header. Lines are in order of At; times are in milliseconds.
type Event struct {
	At   conf.Millis `json:"at"`
	Kind EventKind   `json:"event"`

	// Fields of Arrival and Burst.

	ID      ident.RequestID `json:"id,omitempty"`
	Router  ident.ProcessID `json:"router,omitempty"`
	Account ident.AccountID `json:"account,omitempty"`
	Tier    ident.Tier      `json:"tier,omitempty"`
	Service ident.Service   `json:"service,omitempty"`
	Route   ident.Route     `json:"route,omitempty"`
	Prompt  ident.Tokens    `json:"prompt,omitempty"`
	Output  ident.Tokens    `json:"output,omitempty"`
	// Prefix names the prompt's common start of Shared tokens.
	Prefix string       `json:"prefix,omitempty"`
	Shared ident.Tokens `json:"shared,omitempty"`
	// Deadline is the time to the first byte; the tier's wait if zero. For Move, see there.
	Deadline conf.Millis `json:"deadline,omitempty"`
	Session  string      `json:"session,omitempty"`
	// Print is the fingerprint; drawn from ID if zero.
	Fingerprint ident.Fingerprint `json:"print,omitempty"`
	// Fatal requests crash the target that runs them after their prompt was read.
	CrashesTarget bool `json:"fatal,omitempty"`

	// Fields of other events.

	Target ident.TargetID `json:"target,omitempty"`
	Span   conf.Millis    `json:"span,omitempty"`
	Delay  conf.Millis    `json:"delay,omitempty"`
	Factor float64        `json:"factor,omitempty"`
	Count  int            `json:"count,omitempty"`
	Name   ident.Rollout  `json:"name,omitempty"`
	From   ident.Version  `json:"from,omitempty"`
	To     ident.Version  `json:"to,omitempty"`
	Fault  VersionFault   `json:"fault,omitempty"`
}

// Measure is what an Outcome bounds.
type Measure string

// Measures.
const (
	// Goodput is the share of a tier's requests with a whole answer whose first token came in time.
	Goodput Measure = "goodput"
	// Wasted is the share of prefill tokens that were spent on requests without such an answer.
	WastedPrefill Measure = "wasted"
	// Doubles counts requests that ran more than once.
	DuplicateRuns Measure = "doubles"
	// Lies counts requests refused as "not run" that ran.
	FalseNotRun Measure = "lies"
	// Inversions counts requests shed while a lower tier waited in the pool of the region.
	TierInversions Measure = "inversions"
	// Trials is the number of requests that the new version of move Name received.
	CanaryRequests Measure = "trials"
	// Failed is the number of requests that failed on the new version of move Name.
	CanaryFailures Measure = "failed"
	// Crashes counts the targets that fatal requests crashed.
	TargetCrashes Measure = "crashes"
	// End is the recorded end of move Name: State is "done" or "taken back".
	Conclusion Measure = "end"
)

// Outcome is a stated outcome of a trace; it holds for the product's policy.
type Expectation struct {
	Measure Measure       `json:"measure"`
	Tier    ident.Tier    `json:"tier,omitempty"`
	Name    ident.Rollout `json:"name,omitempty"`
	// Least and Most bound the value where set.
	Min   *float64 `json:"least,omitempty"`
	Max   *float64 `json:"most,omitempty"`
	State string   `json:"state,omitempty"`
}

// Trace is a header with its events.
type Trace struct {
	Header Header
	Events []Event
}

func (h *Header) region(c ident.DataCentre) ident.Region {
	for _, r := range h.Regions {
		for _, dc := range r.Centres {
			if dc == c {
				return r.Name
			}
		}
	}
	return ""
}

func (h *Header) tierWait(t ident.Tier) time.Duration {
	for _, x := range h.Tiers {
		if x.Rank == t {
			return x.Wait.Duration()
		}
	}
	return 0
}

func (h *Header) class(name ident.Class) (c Class, ok bool) {
	for _, x := range h.Classes {
		if x.Name == name {
			return x, true
		}
	}
	return c, false
}
