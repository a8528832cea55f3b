package record

import (
	"strings"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// moveStart and moveTime are the start of a move and the time until its deadline.
	moveStart conf.Millis = 10_000
	moveTime  conf.Millis = 1_200_000
	// moveLength is the length of a trace with a move.
	moveLength conf.Millis = 1_250_000
)

// move changes half of the engines to a new version that has the given fault. With outage the object API
// is out while the end is decided.
func move(d, name string, fault trace.Event, outage bool) trace.Shape {
	s := base(d, name, 15, 0.0001) // the load consists of even bursts, which keeps the file small
	s.Length, s.Trial = moveLength, true
	q, a, p := tiers(d)
	s.Extra = append(s.Extra, burst(0, trace.Event{
		Route: "question", Tier: q, Prompt: 60, Output: 40,
	}, 9000, moveLength)...)
	s.Extra = append(s.Extra, burst(0, trace.Event{
		Route: "tagging", Tier: p, Prompt: 800, Output: 30, Prefix: "tagging0", Shared: 256,
	}, 4500, moveLength)...)
	s.Extra = append(s.Extra, burst(0, trace.Event{
		Route: "assessment", Tier: a, Prompt: 8000, Output: 600, Prefix: "assessment0", Shared: 2048,
	}, 900, moveLength)...)
	m := fault
	m.At, m.Kind, m.Name, m.Service = moveStart, trace.Move, "upgrade", "pool"
	m.From, m.To, m.Deadline = "v1", "v2", moveTime
	s.Extra = append(s.Extra, m)
	if outage {
		s.Extra = append(s.Extra, trace.Event{At: 100_000, Kind: trace.Outage, Span: 1_300_000})
	}
	s.Outcomes = moveOutcomes(strings.HasPrefix(name, "good"), fault.Fault)
	return s
}

// moveOutcomes bounds what a bad version may do. A version that is bad under load only shows it late, so
// that its failures are bounded but not its requests.
func moveOutcomes(good bool, f trace.Fault) []trace.Outcome {
	if good {
		return promised(least(trace.Goodput, 0, 0.99), state("done"))
	}
	failed := most(trace.Failed, 60)
	failed.Name = "upgrade"
	list := promised(least(trace.Goodput, 0, 0.95), state("taken back"), failed)
	if f != trace.Load {
		few := most(trace.Trials, 700)
		few.Name = "upgrade"
		list = append(list, few)
	}
	return list
}

func state(s string) trace.Outcome {
	return trace.Outcome{Measure: trace.End, Name: ident.Move("upgrade"), State: s}
}
