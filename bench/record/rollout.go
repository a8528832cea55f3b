package record

import (
	"strings"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// rolloutStart is the start of a rollout, rolloutTimeout its deadline counted from the start.
	rolloutStart   conf.Millis = 10_000
	rolloutTimeout conf.Millis = 1_200_000
	// rolloutTraceLength is the length of a trace with a rollout.
	rolloutTraceLength conf.Millis = 1_250_000
)

// rolloutSpec rolls out a new version, which has the given fault, to half of the engines. With outage the object API
// is unreachable while the conclusion of the rollout is decided.
func rolloutSpec(deployment, name string, fault trace.Event, outage bool) trace.Spec {
	s := baseSpec(deployment, name, 15, 0.0001) // the load consists of evenly spread bursts, which keep the file small
	s.Length, s.AlternateVersions = rolloutTraceLength, true
	question, assessment, tagging := routeTiers(deployment)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "question", Tier: question, Prompt: 60, Output: 40,
	}, 9000, rolloutTraceLength)...)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "tagging", Tier: tagging, Prompt: 800, Output: 30, Prefix: "tagging0", Shared: 256,
	}, 4500, rolloutTraceLength)...)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "assessment", Tier: assessment, Prompt: 8000, Output: 600, Prefix: "assessment0", Shared: 2048,
	}, 900, rolloutTraceLength)...)
	rollout := fault
	rollout.At, rollout.Kind, rollout.Name, rollout.Service = rolloutStart, trace.Rollout, "upgrade", "pool"
	rollout.From, rollout.To, rollout.Deadline = "v1", "v2", rolloutTimeout
	s.ExtraEvents = append(s.ExtraEvents, rollout)
	if outage {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{At: 100_000, Kind: trace.StoreOutage, Span: 1_300_000})
	}
	s.Expectations = rolloutExpectations(strings.HasPrefix(name, "good"), fault.Fault)
	return s
}

// rolloutExpectations bounds the effect of a bad version. A version that fails only under load is detected late, so
// that its failures are bounded but not its requests.
func rolloutExpectations(good bool, f trace.VersionFault) []trace.Expectation {
	if good {
		return withPromises(atLeast(trace.Goodput, 0, 0.99), expectState("done"))
	}
	failed := atMost(trace.CanaryFailures, 60)
	failed.Name = "upgrade"
	list := withPromises(atLeast(trace.Goodput, 0, 0.95), expectState("taken back"), failed)
	if f != trace.FailUnderLoad {
		few := atMost(trace.CanaryRequests, 700)
		few.Name = "upgrade"
		list = append(list, few)
	}
	return list
}

func expectState(s string) trace.Expectation {
	return trace.Expectation{Measure: trace.Conclusion, Name: ident.Rollout("upgrade"), State: s}
}
