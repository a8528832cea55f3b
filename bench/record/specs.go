package record

import (
	"fmt"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/trace"
)

const (
	// engineCount is lower than in the deployments so that the files stay small.
	engineCount = 8
	// traceLength is the time of arrivals of traces without a rollout.
	traceLength conf.Millis = 15000
)

func specs() (list []trace.Spec) {
	for _, deployment := range []string{"rekkverk", "brunner"} {
		list = append(list, burstsSpec(deployment), slowSpec(deployment), staleSpec(deployment), fatalSpec(deployment))
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

// routeTiers returns the tiers of the three routes of a deployment.
func routeTiers(deployment string) (question, assessment, tagging ident.Tier) {
	if deployment == "brunner" {
		return 0, 1, 2
	}
	return 1, 0, 2
}

func baseSpec(deployment, name string, seed uint64, load float64) trace.Spec {
	return trace.Spec{
		Deployment: deployment, Title: deployment + "-" + name, Seed: seed, Load: load, Length: traceLength, Engines: engineCount,
	}
}

// burstsSpec adds three seconds of tagging requests at about five times the capacity, and two seconds of questions
// at half of it.
func burstsSpec(deployment string) trace.Spec {
	s := baseSpec(deployment, "bursts", 11, 0.6)
	question, _, tagging := routeTiers(deployment)
	s.ExtraEvents = append(
		burstEvents(4000, trace.Event{Route: "tagging", Tier: tagging, Prompt: 800, Output: 30}, 1200, 3000),
		burstEvents(8000, trace.Event{Route: "question", Tier: question, Prompt: 60, Output: 40}, 150, 2000)...)
	s.Expectations = withPromises(atLeast(trace.Goodput, 0, 0.97), atMost(trace.WastedPrefill, 0.03))
	return s
}

// slowSpec slows three engines down and crashes one.
func slowSpec(deployment string) trace.Spec {
	s := baseSpec(deployment, "slow", 12, 0.6)
	for i := range 3 {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{
			At: 4000, Kind: trace.Slowdown, Target: ident.TargetID(fmt.Sprintf("engine-%02d", 2*i+1)), Factor: 5, Span: 6000,
		})
	}
	s.ExtraEvents = append(s.ExtraEvents, trace.Event{At: 7000, Kind: trace.Crash, Target: "engine-02", Span: 10000})
	s.Expectations = withPromises(atLeast(trace.Goodput, 0, 0.85), atMost(trace.WastedPrefill, 0.15))
	return s
}

// staleSpec delays load reports and cache events, and loses some cache events, under overload.
func staleSpec(deployment string) trace.Spec {
	s := baseSpec(deployment, "stale", 13, 1.5)
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

// fatalSpec repeatedly sends requests with two fingerprints, alternately, that crash the engines that run them.
func fatalSpec(deployment string) trace.Spec {
	s := baseSpec(deployment, "fatal", 14, 0.4)
	s.Length = 30000
	question, _, _ := routeTiers(deployment)
	for i := range 24 {
		s.ExtraEvents = append(s.ExtraEvents, trace.Event{
			At: conf.Millis(2000 + 1000*i), Kind: trace.Arrival, ID: ident.RequestID(fmt.Sprintf("fatal-%d", i+1)),
			Router: ident.ProcessID(fmt.Sprintf("entry-%d", i%3+1)), Account: "account1", Tier: question, Service: "pool",
			Route: "question", Prompt: 60, Output: 40, Fingerprint: ident.Fingerprint(1 + i%2), CrashesTarget: true,
		})
	}
	s.Expectations = withPromises(atMost(trace.TargetCrashes, 6), atLeast(trace.Goodput, 0, 0.8))
	return s
}
