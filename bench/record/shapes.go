package record

import (
	"fmt"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// engines is the number of engines of a recorded trace, fewer than deployed so that files stay small.
	engineCount = 8
	// length is the time of arrivals of traces without a move.
	traceLength conf.Millis = 15000
)

func specs() (list []trace.Spec) {
	for _, d := range []string{"rekkverk", "brunner"} {
		list = append(list, burstsSpec(d), slowSpec(d), staleSpec(d), fatalSpec(d))
	}
	list = append(list,
		rolloutSpec("brunner", "good", trace.Event{}, false),
		rolloutSpec("brunner", "good-outage", trace.Event{}, true),
		rolloutSpec("brunner", "bad-once", trace.Event{Fault: trace.FailAlways}, false),
		rolloutSpec("brunner", "bad-route", trace.Event{Fault: trace.FailOnRoute, Route: "tagging"}, false),
		rolloutSpec("rekkverk", "bad-later", trace.Event{Fault: trace.FailAfterDelay, Delay: 200_000}, false),
		rolloutSpec("rekkverk", "bad-load", trace.Event{Fault: trace.FailUnderLoad, Count: 6}, false),
		rolloutSpec("rekkverk", "bad-tardy", trace.Event{Fault: trace.SlowVersion, Factor: 4}, true),
	)
	return list
}

// kinds are the tiers of the three routes of a deployment.
func routeTiers(d string) (question, assessment, tagging ident.Tier) {
	if d == "brunner" {
		return 0, 1, 2
	}
	return 1, 0, 2
}

func baseSpec(d, name string, seed uint64, load float64) trace.Spec {
	return trace.Spec{
		Deployment: d, Title: d + "-" + name, Seed: seed, Load: load, Length: traceLength, Engines: engineCount,
	}
}

// bursts adds three seconds of photos at about five times the capacity, and two of questions at half of it.
func burstsSpec(d string) trace.Spec {
	s := baseSpec(d, "bursts", 11, 0.6)
	q, _, p := routeTiers(d)
	s.ExtraEvents = append(
		burstEvents(4000, trace.Event{Route: "tagging", Tier: p, Prompt: 800, Output: 30}, 1200, 3000),
		burstEvents(8000, trace.Event{Route: "question", Tier: q, Prompt: 60, Output: 40}, 150, 2000)...)
	s.Expectations = withPromises(atLeast(trace.Goodput, 0, 0.97), atMost(trace.WastedPrefill, 0.03))
	return s
}

// slow slows three engines and crashes one.
func slowSpec(d string) trace.Spec {
	s := baseSpec(d, "slow", 12, 0.6)
	for i := range 3 {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{
			At: 4000, Kind: trace.Slowdown, Target: ident.TargetID(fmt.Sprintf("engine-%02d", 2*i+1)), Factor: 5, Span: 6000,
		})
	}
	s.ExtraEvents = append(s.ExtraEvents, trace.Event{At: 7000, Kind: trace.Crash, Target: "engine-02", Span: 10000})
	s.Expectations = withPromises(atLeast(trace.Goodput, 0, 0.85), atMost(trace.WastedPrefill, 0.15))
	return s
}

// stale delays load reports and cache events, and loses some of the latter, under overload.
func staleSpec(d string) trace.Spec {
	s := baseSpec(d, "stale", 13, 1.5)
	s.ExtraEvents = append(s.ExtraEvents, trace.Event{At: 2000, Kind: trace.ReportDelay, Delay: 5000, Span: 10000})
	for i := range engineCount {
		name := ident.TargetID(fmt.Sprintf("engine-%02d", i+1))
		s.ExtraEvents = append(s.ExtraEvents,
			trace.Event{At: 2000, Kind: trace.CacheDelay, Target: name, Delay: 4000, Span: 8000},
			trace.Event{At: 5000, Kind: trace.CacheLoss, Target: name, Count: 3})
	}
	s.Expectations = withPromises(atLeast(trace.Goodput, 0, 0.9), atMost(trace.WastedPrefill, 0.05))
	return s
}

// fatal sends two requests that crash engines again and again.
func fatalSpec(d string) trace.Spec {
	s := baseSpec(d, "fatal", 14, 0.4)
	s.Length = 30000
	q, _, _ := routeTiers(d)
	for i := range 24 {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{
			At: conf.Millis(2000 + 1000*i), Kind: trace.Arrival, ID: ident.RequestID(fmt.Sprintf("fatal-%d", i+1)),
			Router: ident.ProcessID(fmt.Sprintf("entry-%d", i%3+1)), Account: "account1", Tier: q, Service: "pool",
			Route: "question", Prompt: 60, Output: 40, Fingerprint: ident.Fingerprint(1 + i%2), CrashesTarget: true,
		})
	}
	s.Expectations = withPromises(atMost(trace.TargetCrashes, 6), atLeast(trace.Goodput, 0, 0.8))
	return s
}
