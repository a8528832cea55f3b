package trace

import (
	"fmt"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

// pool is the name of the model service of generated traces.
const pool ident.Service = "pool"

// mix describes the model pool of a deployment and the requests that it gets.
type mix struct {
	deployment string
	regions    []conf.Region
	// centres are the data centres of engines and routers, in the order in which engines are placed.
	centres []ident.DataCentre
	routers []ident.DataCentre
	engines int
	kinds   []kind
}

// kind is one sort of request; its tier is its position.
type kind struct {
	tier  string
	route ident.Route
	wait  conf.Millis
	// part is the share of the engines' time at a load of 1.
	part           float64
	prompt, output [2]ident.Tokens
	// prefixes is the number of common prompt starts, shared their length.
	prefixes int
	shared   ident.Tokens
}

// Lengths of requests: an assessment is about one hundred times as long as a question.
var (
	assessment = kind{
		route: "assessment", wait: 8000, prompt: [2]ident.Tokens{6000, 10000},
		output: [2]ident.Tokens{400, 1200}, prefixes: 4, shared: 2048,
	}
	question = kind{
		route: "question", wait: 2000, prompt: [2]ident.Tokens{40, 80},
		output: [2]ident.Tokens{20, 60},
	}
	tagging = kind{
		route: "tagging", wait: 15000, prompt: [2]ident.Tokens{600, 1000},
		output: [2]ident.Tokens{20, 40}, prefixes: 2, shared: 256,
	}
)

func (k kind) as(tier string, part float64) kind {
	k.tier, k.part = tier, part
	return k
}

// classes are four hardware generations. Batches are set as an operator does who wants token gaps near 36 ms.
var classes = []Class{
	{Name: "gen4", Prefill: 16000, Chunk: 192, Step: 12, Slow: 0.35, Batch: 40, Memory: 240_000, Cache: 2048},
	{Name: "gen3", Prefill: 11000, Chunk: 128, Step: 15, Slow: 0.45, Batch: 28, Memory: 160_000, Cache: 1024},
	{Name: "gen2", Prefill: 7000, Chunk: 96, Step: 18, Slow: 0.6, Batch: 16, Memory: 120_000, Cache: 768},
	{Name: "gen1", Prefill: 4500, Chunk: 64, Step: 20, Slow: 0.8, Batch: 12, Memory: 100_000, Cache: 512},
}

// mixes are the deployments for which traces can be generated.
var mixes = map[string]mix{
	"rekkverk": {
		deployment: "rekkverk",
		regions: []conf.Region{
			{Name: "vestland", Centres: []ident.DataCentre{"bergen-a", "bergen-b"}},
			{Name: "trondelag", Centres: []ident.DataCentre{"trondheim-a"}},
		},
		centres: []ident.DataCentre{"bergen-a", "trondheim-a", "bergen-b"},
		routers: []ident.DataCentre{"bergen-a", "bergen-b", "trondheim-a"},
		engines: 20,
		kinds: []kind{
			// The highest tier alone has to fit at three times the capacity, or no policy could serve it:
			// with a part of 0.28, two choices served 0.92 of it alone, with 0.15 it serves 0.994 (seed 1).
			assessment.as("draft", 0.15), question.as("question", 0.25), tagging.as("photo", 0.6),
		},
	},
	"brunner": {
		deployment: "brunner",
		regions: []conf.Region{
			{Name: "west", Centres: []ident.DataCentre{"west-a", "west-b"}},
			{Name: "east", Centres: []ident.DataCentre{"east-a"}},
		},
		centres: []ident.DataCentre{"west-a", "east-a", "west-b"},
		routers: []ident.DataCentre{"west-a", "west-b", "east-a"},
		engines: 10,
		kinds: []kind{
			question.as("hire", 0.25), assessment.as("site", 0.35), tagging.as("photo", 0.4),
		},
	},
}

// parts are the shares of five client accounts in the requests; a few are large.
var parts = []float64{0.4, 0.3, 0.15, 0.1, 0.05}

func (m mix) header(s Shape) Header {
	h := Header{
		Trace: Format, Deployment: m.deployment, Title: s.Title, Seed: s.Seed, Length: s.Length,
		Warm: s.Warm, Report: 1000, Lag: 300, Regions: m.regions, Classes: classes, Outcomes: s.Outcomes,
	}
	for i, k := range m.kinds {
		h.Tiers = append(h.Tiers, conf.Tier{Name: k.tier, Rank: ident.Tier(i), Wait: k.wait})
	}
	for i := range parts {
		h.Accounts = append(h.Accounts, Account{Name: ident.AccountID(fmt.Sprintf("account%d", i+1)), Weight: 1})
	}
	n := m.engines
	if s.Engines > 0 {
		n = s.Engines
	}
	for i := range n {
		h.Targets = append(h.Targets, m.target(i, s.Version(i)))
	}
	for i, c := range m.routers {
		h.Routers = append(h.Routers, Router{Name: ident.ProcessID(fmt.Sprintf("entry-%d", i+1)), Centre: c})
	}
	return h
}

func (m mix) target(i int, v ident.Version) Target {
	return Target{
		Name: ident.TargetID(fmt.Sprintf("engine-%02d", i+1)), Class: classes[(i/2)%len(classes)].Name,
		Centre: m.centres[i%len(m.centres)], Service: pool, Version: v,
	}
}

// cost returns the time in seconds that the kind's mean request takes of an engine of the class when
// other requests fill three quarters of its batch.
func (k kind) cost(c Class) float64 {
	prompt := float64(k.prompt[0]+k.prompt[1])/2 - float64(k.shared)
	output := float64(k.output[0]+k.output[1]) / 2
	batch := 0.75 * float64(c.Batch)
	return prompt/c.Prefill + output*(c.Step+c.Slow*batch)/batch/1000
}

// rate returns the arrivals per second of the kind at a load of 1 on the targets.
func (k kind) rate(h *Header) (sum float64) {
	for _, t := range h.Targets {
		if t.Version != newVersion {
			c, _ := h.class(t.Class)
			sum += k.part / k.cost(c)
		}
	}
	return sum
}
