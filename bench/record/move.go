package record

import (
	"strings"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// moveStart and moveTime are the start of a move and the time until its deadline.
	rolloutStart   conf.Millis = 10_000
	rolloutTimeout conf.Millis = 1_200_000
	// moveLength is the length of a trace with a move.
	rolloutTraceLength conf.Millis = 1_250_000
)

// move changes half of the engines to a new version that has the given fault. With outage the object API
// is out while the end is decided.
func rolloutSpec(d, name string, fault trace.Event, outage bool) trace.Spec {
	s := baseSpec(d, name, 15, 0.0001) // the load consists of even bursts, which keeps the file small
	s.Length, s.AlternateVersions = rolloutTraceLength, true
	q, a, p := routeTiers(d)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "question", Tier: q, Prompt: 60, Output: 40,
	}, 9000, rolloutTraceLength)...)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "tagging", Tier: p, Prompt: 800, Output: 30, Prefix: "tagging0", Shared: 256,
	}, 4500, rolloutTraceLength)...)
	s.ExtraEvents = append(s.ExtraEvents, burstEvents(0, trace.Event{
		Route: "assessment", Tier: a, Prompt: 8000, Output: 600, Prefix: "assessment0", Shared: 2048,
	}, 900, rolloutTraceLength)...)
	m := fault
	m.At, m.Kind, m.Name, m.Service = rolloutStart, trace.Rollout, "upgrade", "pool"
	m.From, m.To, m.Deadline = "v1", "v2", rolloutTimeout
	s.ExtraEvents = append(s.ExtraEvents, m)
	if outage {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{At: 100_000, Kind: trace.StoreOutage, Span: 1_300_000})
	}
	s.Expectations = rolloutExpectations(strings.HasPrefix(name, "good"), fault.Fault)
	return s
}

// moveOutcomes bounds what a bad version may do. A version that is bad under load only shows it late, so
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
