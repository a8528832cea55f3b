package trace

import (
	"fmt"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// poolService is the name of the model service in generated traces.
const poolService ident.Service = "pool"

// mix describes the model pool of a deployment and the requests that it receives.
type mix struct {
	deployment string
	regions    []conf.Region
	// centres are the data centres of the engines, in the order in which engines are placed, and routerCentres those
	// of the routers.
	centres       []ident.DataCentre
	routerCentres []ident.DataCentre
	engineCount   int
	kinds         []requestKind
}

// requestKind is one kind of request. The rank of its tier is its index in mix.kinds, and wait is the time to the first
// token that this tier allows.
type requestKind struct {
	tier  string
	route ident.Route
	wait  conf.Millis
	// timeShare is the share of the engines' time that the kind takes at a load of 1.
	timeShare      float64
	prompt, output [2]ident.Tokens
	// prefixCount is the number of common prompt prefixes, sharedPrefix their length.
	prefixCount  int
	sharedPrefix ident.Tokens
}

// Kinds of requests. An assessment is about one hundred times as long as a question.
var (
	assessment = requestKind{
		route: "assessment", wait: 8000, prompt: [2]ident.Tokens{6000, 10000},
		output: [2]ident.Tokens{400, 1200}, prefixCount: 4, sharedPrefix: 2048,
	}
	question = requestKind{
		route: "question", wait: 2000, prompt: [2]ident.Tokens{40, 80},
		output: [2]ident.Tokens{20, 60},
	}
	tagging = requestKind{
		route: "tagging", wait: 15000, prompt: [2]ident.Tokens{600, 1000},
		output: [2]ident.Tokens{20, 40}, prefixCount: 2, sharedPrefix: 256,
	}
)

func (k requestKind) withTier(tier string, timeShare float64) requestKind {
	k.tier, k.timeShare = tier, timeShare
	return k
}

// classes are four hardware generations. BatchMax is set for token gaps near 36 ms, as an operator would set it.
var classes = []Class{
	{
		Name: "gen4", PrefillTokensPerSecond: 16000, ChunkMax: 192, StepMillis: 12, StepMillisPerRequest: 0.35, BatchMax: 40,
		KVTokens: 240_000, CacheBlocks: 2048,
	},
	{
		Name: "gen3", PrefillTokensPerSecond: 11000, ChunkMax: 128, StepMillis: 15, StepMillisPerRequest: 0.45, BatchMax: 28,
		KVTokens: 160_000, CacheBlocks: 1024,
	},
	{
		Name: "gen2", PrefillTokensPerSecond: 7000, ChunkMax: 96, StepMillis: 18, StepMillisPerRequest: 0.6, BatchMax: 16,
		KVTokens: 120_000, CacheBlocks: 768,
	},
	{
		Name: "gen1", PrefillTokensPerSecond: 4500, ChunkMax: 64, StepMillis: 20, StepMillisPerRequest: 0.8, BatchMax: 12,
		KVTokens: 100_000, CacheBlocks: 512,
	},
}

// mixes are the deployments for which traces can be generated.
var mixes = map[string]mix{
	"rekkverk": {
		deployment: "rekkverk",
		regions: []conf.Region{
			{Name: "vestland", Centres: []ident.DataCentre{"bergen-a", "bergen-b"}},
			{Name: "trondelag", Centres: []ident.DataCentre{"trondheim-a"}},
		},
		centres:       []ident.DataCentre{"bergen-a", "trondheim-a", "bergen-b"},
		routerCentres: []ident.DataCentre{"bergen-a", "bergen-b", "trondheim-a"},
		engineCount:   20,
		kinds: []requestKind{
			// The highest tier alone has to fit at a load of 3, or no policy could serve it: with a time share of
			// 0.28, the policy TwoChoices served 0.92 of this tier alone, with 0.15 it serves 0.994 (seed 1).
			assessment.withTier("draft", 0.15), question.withTier("question", 0.25), tagging.withTier("photo", 0.6),
		},
	},
	"brunner": {
		deployment: "brunner",
		regions: []conf.Region{
			{Name: "west", Centres: []ident.DataCentre{"west-a", "west-b"}},
			{Name: "east", Centres: []ident.DataCentre{"east-a"}},
		},
		centres:       []ident.DataCentre{"west-a", "east-a", "west-b"},
		routerCentres: []ident.DataCentre{"west-a", "west-b", "east-a"},
		engineCount:   10,
		kinds: []requestKind{
			question.withTier("hire", 0.25), assessment.withTier("site", 0.35), tagging.withTier("photo", 0.4),
		},
	},
}

// accountShares are the shares of the client accounts in the requests: a few accounts send most of them.
var accountShares = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

func (m mix) header(s Spec) Header {
	h := Header{
		FormatVersion: FormatVersion, Deployment: m.deployment, Title: s.Title, Seed: s.Seed, Length: s.Length,
		WarmUp: s.WarmUp, ReportInterval: 1000, ReportLag: 300, Regions: m.regions,
		Classes: classes, Expectations: s.Expectations,
	}
	for i, k := range m.kinds {
		h.Tiers = append(h.Tiers, conf.Tier{Name: k.tier, Rank: ident.Tier(i), Wait: k.wait})
	}
	for i := range accountShares {
		h.Accounts = append(h.Accounts, Account{Name: ident.AccountID(fmt.Sprintf("account%d", i+1)), Weight: 1})
	}
	n := m.engineCount
	if s.Engines > 0 {
		n = s.Engines
	}
	for i := range n {
		h.Targets = append(h.Targets, m.target(i, s.EngineVersion(i)))
	}
	for i, c := range m.routerCentres {
		h.Routers = append(h.Routers, Router{Name: ident.ProcessID(fmt.Sprintf("entry-%d", i+1)), Centre: c})
	}
	return h
}

func (m mix) target(i int, v ident.Version) Target {
	return Target{
		Name: ident.TargetID(fmt.Sprintf("engine-%02d", i+1)), Class: classes[(i/2)%len(classes)].Name,
		Centre: m.centres[i%len(m.centres)], Service: poolService, Version: v,
	}
}

// engineSeconds returns the engine time in seconds that the kind's mean request takes on an engine of the class
// whose batch is three quarters full.
func (k requestKind) engineSeconds(c Class) float64 {
	prompt := float64(k.prompt[0]+k.prompt[1])/2 - float64(k.sharedPrefix)
	output := float64(k.output[0]+k.output[1]) / 2
	batch := 0.75 * float64(c.BatchMax)
	return prompt/c.PrefillTokensPerSecond + output*(c.StepMillis+c.StepMillisPerRequest*batch)/batch/1000
}

// ratePerSecond returns the arrivals per second of the kind at a load of 1 on the targets of the old version.
func (k requestKind) ratePerSecond(h *Header) (sum float64) {
	for _, t := range h.Targets {
		if t.Version != newVersion {
			c, _ := h.class(t.Class)
			sum += k.timeShare / k.engineSeconds(c)
		}
	}
	return sum
}
