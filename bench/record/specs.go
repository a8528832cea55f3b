package record

import (
	"fmt"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// engines is the number of engines of a recorded trace, fewer than deployed so that files stay small.
	engines = 8
	// length is the time of arrivals of traces without a move.
	length conf.Millis = 15000
)

func shapes() (list []trace.Shape) {
	for _, d := range []string{"rekkverk", "brunner"} {
		list = append(list, bursts(d), slow(d), stale(d), fatal(d))
	}
	list = append(list,
		move("brunner", "good", trace.Event{}, false),
		move("brunner", "good-outage", trace.Event{}, true),
		move("brunner", "bad-once", trace.Event{Fault: trace.Once}, false),
		move("brunner", "bad-route", trace.Event{Fault: trace.OnRoute, Route: "tagging"}, false),
		move("rekkverk", "bad-later", trace.Event{Fault: trace.Later, Delay: 200_000}, false),
		move("rekkverk", "bad-load", trace.Event{Fault: trace.Load, Count: 6}, false),
		move("rekkverk", "bad-tardy", trace.Event{Fault: trace.Tardy, Factor: 4}, true),
	)
	return list
}

// kinds are the tiers of the three routes of a deployment.
func tiers(d string) (question, assessment, tagging ident.Tier) {
	if d == "brunner" {
		return 0, 1, 2
	}
	return 1, 0, 2
}

func base(d, name string, seed uint64, load float64) trace.Shape {
	return trace.Shape{
		Deployment: d, Title: d + "-" + name, Seed: seed, Load: load, Length: length, Engines: engines,
	}
}

// bursts adds three seconds of photos at about five times the capacity, and two of questions at half of it.
func bursts(d string) trace.Shape {
	s := base(d, "bursts", 11, 0.6)
	q, _, p := tiers(d)
	s.Extra = append(
		burst(4000, trace.Event{Route: "tagging", Tier: p, Prompt: 800, Output: 30}, 1200, 3000),
		burst(8000, trace.Event{Route: "question", Tier: q, Prompt: 60, Output: 40}, 150, 2000)...)
	s.Outcomes = promised(least(trace.Goodput, 0, 0.97), most(trace.Wasted, 0.03))
	return s
}

// slow slows three engines and crashes one.
func slow(d string) trace.Shape {
	s := base(d, "slow", 12, 0.6)
	for i := range 3 {
		s.Extra = append(s.Extra, trace.Event{
			At: 4000, Kind: trace.Slow, Target: ident.TargetID(fmt.Sprintf("engine-%02d", 2*i+1)), Factor: 5, Span: 6000,
		})
	}
	s.Extra = append(s.Extra, trace.Event{At: 7000, Kind: trace.Crash, Target: "engine-02", Span: 10000})
	s.Outcomes = promised(least(trace.Goodput, 0, 0.85), most(trace.Wasted, 0.15))
	return s
}

// stale delays load reports and cache events, and loses some of the latter, under overload.
func stale(d string) trace.Shape {
	s := base(d, "stale", 13, 1.5)
	s.Extra = append(s.Extra, trace.Event{At: 2000, Kind: trace.Lagging, Delay: 5000, Span: 10000})
	for i := range engines {
		name := ident.TargetID(fmt.Sprintf("engine-%02d", i+1))
		s.Extra = append(s.Extra,
			trace.Event{At: 2000, Kind: trace.Late, Target: name, Delay: 4000, Span: 8000},
			trace.Event{At: 5000, Kind: trace.Gap, Target: name, Count: 3})
	}
	s.Outcomes = promised(least(trace.Goodput, 0, 0.9), most(trace.Wasted, 0.05))
	return s
}

// fatal sends two requests that crash engines again and again.
func fatal(d string) trace.Shape {
	s := base(d, "fatal", 14, 0.4)
	s.Length = 30000
	q, _, _ := tiers(d)
	for i := range 24 {
		s.Extra = append(s.Extra, trace.Event{
			At: conf.Millis(2000 + 1000*i), Kind: trace.Arrival, ID: ident.RequestID(fmt.Sprintf("fatal-%d", i+1)),
			Router: ident.ProcessID(fmt.Sprintf("entry-%d", i%3+1)), Account: "account1", Tier: q, Service: "pool",
			Route: "question", Prompt: 60, Output: 40, Print: ident.Print(1 + i%2), Fatal: true,
		})
	}
	s.Outcomes = promised(most(trace.Crashes, 6), least(trace.Goodput, 0, 0.8))
	return s
}
