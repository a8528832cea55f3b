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
func rolloutSpec(deployment, name string, fault trace.Event, outage bool) trace.Shape {
	s := baseSpec(deployment, name, 15, 0.0001) // the load consists of evenly spread bursts, which keep the file small
	s.Length, s.Trial = rolloutTraceLength, true
	question, assessment, tagging := routeTiers(deployment)
	s.Extra = append(s.Extra, burstEvents(0, trace.Event{
		Route: "question", Tier: question, Prompt: 60, Output: 40,
	}, 9000, rolloutTraceLength)...)
	s.Extra = append(s.Extra, burstEvents(0, trace.Event{
		Route: "tagging", Tier: tagging, Prompt: 800, Output: 30, Prefix: "tagging0", Shared: 256,
	}, 4500, rolloutTraceLength)...)
	s.Extra = append(s.Extra, burstEvents(0, trace.Event{
		Route: "assessment", Tier: assessment, Prompt: 8000, Output: 600, Prefix: "assessment0", Shared: 2048,
	}, 900, rolloutTraceLength)...)
	rollout := fault
	rollout.At, rollout.Kind, rollout.Name, rollout.Service = rolloutStart, trace.Move, "upgrade", "pool"
	rollout.From, rollout.To, rollout.Deadline = "v1", "v2", rolloutTimeout
	s.Extra = append(s.Extra, rollout)
	if outage {
		s.Extra = append(s.Extra, trace.Event{At: 100_000, Kind: trace.Outage, Span: 1_300_000})
	}
	s.Outcomes = rolloutExpectations(strings.HasPrefix(name, "good"), fault.Fault)
	return s
}

// rolloutExpectations bounds the effect of a bad version. A version that fails only under load is detected late, so
// that its failures are bounded but not its requests.
func rolloutExpectations(good bool, f trace.Fault) []trace.Outcome {
	if good {
		return withPromises(atLeast(trace.Goodput, 0, 0.99), expectState("done"))
	}
	failed := atMost(trace.Failed, 60)
	failed.Name = "upgrade"
	list := withPromises(atLeast(trace.Goodput, 0, 0.95), expectState("taken back"), failed)
	if f != trace.Load {
		few := atMost(trace.Trials, 700)
		few.Name = "upgrade"
		list = append(list, few)
	}
	return list
}

func expectState(s string) trace.Outcome {
	return trace.Outcome{Measure: trace.End, Name: ident.Move("upgrade"), State: s}
}
