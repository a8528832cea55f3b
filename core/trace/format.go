// Package trace defines the format of recorded traces and replays them in virtual time against a simple engine
// model, with the decision packages of the product or with baseline policies.
package trace

import (
	"time"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// FormatVersion is the version of the trace format. Read refuses other versions.
const FormatVersion = 1

// Header is the first line of a trace. Times are in milliseconds.
type Header struct {
	// FormatVersion is the version of the trace format.
	FormatVersion int    `json:"trace"`
	Deployment    string `json:"deployment"`
	Title         string `json:"title"`
	// Seed determines all random choices of a replay.
	Seed uint64 `json:"seed"`
	// Length is the upper bound of arrival times. A replay continues until all requests have ended.
	Length conf.Millis `json:"length"`
	// WarmUp is the time from the start in which arrivals are left out of the results.
	WarmUp conf.Millis `json:"warm,omitempty"`
	// ReportInterval is the interval of load reports, ReportLag the age at which an engine's load report or cache
	// event arrives.
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
	// Rate is the quota in tokens per second, Burst the burst size in tokens; zero means no limit.
	Rate  ident.Tokens `json:"rate,omitempty"`
	Burst ident.Tokens `json:"burst,omitempty"`
}

// Class is the speed and size of engines of one hardware generation. One step of an engine takes
// StepMillis + StepMillisPerRequest x (decoding requests) + (prompt tokens of the step) / PrefillTokensPerSecond.
type Class struct {
	Name ident.Class `json:"name"`
	// PrefillTokensPerSecond is the speed of prefill.
	PrefillTokensPerSecond float64 `json:"prefill"`
	// ChunkMax is the largest number of prompt tokens per step.
	ChunkMax ident.Tokens `json:"chunk"`
	// StepMillis is the time of a step of an empty batch, and StepMillisPerRequest what each decoding request adds.
	StepMillis           float64 `json:"step"`
	StepMillisPerRequest float64 `json:"slow"`
	// BatchMax is the largest number of requests that run at a time. Further requests wait in the engine's queue.
	BatchMax int `json:"batch"`
	// KVTokens is the size of the KV memory in tokens. A running request reserves its prompt and its output.
	KVTokens ident.Tokens `json:"memory"`
	// CacheBlocks is the size of the prefix cache in blocks of 64 tokens.
	CacheBlocks int `json:"cache"`
}

// Target is a target, which the replay models as an engine.
type Target struct {
	Name    ident.TargetID   `json:"name"`
	Class   ident.Class      `json:"class"`
	Centre  ident.DataCentre `json:"centre"`
	Service ident.Service    `json:"service"`
	Version ident.Version    `json:"version"`
}

// Router is a router process.
type Router struct {
	Name   ident.ProcessID  `json:"name"`
	Centre ident.DataCentre `json:"centre"`
}

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events.
const (
	// Arrival is the arrival of a request from a caller.
	Arrival EventKind = "arrival"
	// Burst is the arrival of Count similar requests spread evenly over Span.
	Burst EventKind = "burst"
	// Slowdown multiplies the step time of Target by Factor for Span.
	Slowdown EventKind = "slow"
	// Crash stops Target, which loses all its requests and restarts with an empty cache after Span.
	Crash EventKind = "crash"
	// CacheDelay delays the cache events of Target by Delay for Span.
	CacheDelay EventKind = "late"
	// CacheLoss drops the next Count cache events of Target.
	CacheLoss EventKind = "gap"
	// ReportDelay sets the lag of the load reports of all targets to Delay, instead of ReportLag, for Span.
	ReportDelay EventKind = "lagging"
	// Rollout declares the rollout Name of Service from version From to version To, due within Deadline. Fault is the
	// fault of the new version.
	Rollout EventKind = "move"
	// StoreOutage makes the object API unavailable for Span.
	StoreOutage EventKind = "outage"
)

// VersionFault is the way in which the new version of a rollout fails.
type VersionFault string

// Faults of versions. The empty string stands for a version without a fault.
const (
	// FailAlways fails every request from the start.
	FailAlways VersionFault = "once"
	// FailAfterDelay fails every request that starts at least Delay after the start of the rollout.
	FailAfterDelay VersionFault = "later"
	// FailUnderLoad fails requests that start while at least Count others run at the target.
	FailUnderLoad VersionFault = "load"
	// FailOnRoute fails every request of Route.
	FailOnRoute VersionFault = "route"
	// SlowVersion multiplies the step time by Factor.
	SlowVersion VersionFault = "tardy"
)

// Event is one line after the header. Events are sorted by At. Times are in milliseconds.
type Event struct {
	At   conf.Millis `json:"at"`
	Kind EventKind   `json:"event"`

	// Fields of Arrival and Burst; Service, Route and Deadline also belong to Rollout.

	ID      ident.RequestID `json:"id,omitempty"`
	Router  ident.ProcessID `json:"router,omitempty"`
	Account ident.AccountID `json:"account,omitempty"`
	Tier    ident.Tier      `json:"tier,omitempty"`
	Service ident.Service   `json:"service,omitempty"`
	Route   ident.Route     `json:"route,omitempty"`
	Prompt  ident.Tokens    `json:"prompt,omitempty"`
	Output  ident.Tokens    `json:"output,omitempty"`
	// Prefix identifies the common prompt prefix, which is Shared tokens long.
	Prefix string       `json:"prefix,omitempty"`
	Shared ident.Tokens `json:"shared,omitempty"`
	// Deadline is the time from the arrival within which the first byte is due; zero stands for the wait of the
	// tier. In a Rollout event it is the deadline of the rollout.
	Deadline conf.Millis `json:"deadline,omitempty"`
	Session  string      `json:"session,omitempty"`
	// Fingerprint is derived from ID if zero.
	Fingerprint ident.Fingerprint `json:"print,omitempty"`
	// CrashesTarget is set if the request crashes the target that runs it once its prompt is processed.
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

// Measure is the figure that an Expectation bounds.
type Measure string

// Measures.
const (
	// Goodput is the share of a tier's requests that got a complete answer with the first token by the deadline.
	Goodput Measure = "goodput"
	// WastedPrefill is the share of prefill tokens that were spent on requests without such an answer.
	WastedPrefill Measure = "wasted"
	// DuplicateRuns counts requests that ran more than once.
	DuplicateRuns Measure = "doubles"
	// FalseNotRun counts requests that were refused as "not run" although they ran.
	FalseNotRun Measure = "lies"
	// TierInversions counts requests that were shed while requests of a lower tier waited in the same region at
	// targets of the same version.
	TierInversions Measure = "inversions"
	// CanaryRequests is the number of requests that the new version of rollout Name received.
	CanaryRequests Measure = "trials"
	// CanaryFailures is the number of requests that failed on the new version of rollout Name.
	CanaryFailures Measure = "failed"
	// TargetCrashes counts the crashes caused by requests with CrashesTarget.
	TargetCrashes Measure = "crashes"
	// Conclusion is the recorded conclusion of rollout Name: State is "done" or "taken back".
	Conclusion Measure = "end"
)

// Expectation is an outcome that a trace states for its replay with the product's policy, LateBinding.
type Expectation struct {
	Measure Measure       `json:"measure"`
	Tier    ident.Tier    `json:"tier,omitempty"`
	Name    ident.Rollout `json:"name,omitempty"`
	// Min and Max bound the value, inclusively; nil means no bound.
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
