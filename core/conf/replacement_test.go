package conf_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const nextDay = "2026-12-05T00:00:00Z"

// Guards against a configuration that removes or changes what a running rollout needs, which would stop the
// rollout without rolling it back.
func TestCheckReplacementProtectsRunningRollouts(t *testing.T) {
	old := mergeValid(t, `{"moves": [`+rolloutJSON("up", "v1", "v2", nextDay)+`]}`)
	for _, c := range []struct {
		name   string
		change func(*conf.Config)
		want   string
	}{
		{"nothing", func(*conf.Config) {}, ""},
		{"deadline", func(c *conf.Config) { c.Rollouts[0].Deadline = c.Rollouts[0].Deadline.AddDate(0, 0, 1) }, ""},
		{"cancel", func(c *conf.Config) { c.Rollouts[0].Cancelled = true }, ""},
		{"other target", func(c *conf.Config) { c.Targets = slices.Delete(c.Targets, 2, 3) }, ""},
		{"move", func(c *conf.Config) { c.Rollouts = nil }, "moves[up]: is removed"},
		{"versions", func(c *conf.Config) { c.Rollouts[0].To = "v3" }, "moves[up]: changes service or versions"},
		{"service", func(c *conf.Config) { c.Services = c.Services[1:] }, "services[llm]: is removed"},
		{"current", func(c *conf.Config) { c.Services[0].Current = "v2" }, "services[llm].current: changes"},
		{"version", func(c *conf.Config) { c.Services[0].Versions = []ident.Version{"v1", "v3"} }, `version "v2" is removed, but move "up"`},
		{"target", func(c *conf.Config) { c.Targets = slices.Delete(c.Targets, 1, 2) }, `version "v2" in region "east" is removed`},
		{"opposite", func(c *conf.Config) {
			c.Rollouts = append(c.Rollouts, conf.Rollout{Name: "back", Service: "llm", From: "v2", To: "v1"})
		}, `moves[back]: is opposite to move "up"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			next := clone(t, old)
			c.change(&next)
			got := problemTexts(conf.CheckReplacement(old, next, conf.RolloutStatuses(old, nil)))
			if c.want == "" {
				g.Expect(got).To(BeEmpty())
			} else {
				g.Expect(got).To(ContainElement(ContainSubstring(c.want)))
			}
		})
	}
}

// Guards against a decided conclusion that counts as a recorded one, although it may still change, and against a
// waiting rollout that blocks a change.
func TestOnlyRecordedConclusionsCount(t *testing.T) {
	g := NewWithT(t)
	cfg := mergeValid(t, `{"moves": [`+rolloutJSON("up", "v1", "v2", nextDay)+`]}`)
	status := func(s conf.RolloutState, recorded bool) conf.RolloutStatus {
		return conf.RolloutStatus{Name: "up", Service: "llm", State: s, Recorded: recorded}
	}
	waiting, running := status(conf.Waiting, false), status(conf.Running, false)
	decided, ended := status(conf.RolledBack, false), status(conf.Done, true)
	for want, known := range map[conf.RolloutState][][]conf.RolloutStatus{
		conf.Waiting: {{waiting}},
		conf.Running: {nil, {waiting, running, waiting}, {running, decided}},
		conf.Done:    {{ended, running}, {decided, ended, waiting}},
	} {
		for _, k := range known {
			g.Expect(conf.RolloutStatuses(cfg, k)[0].State).To(Equal(want), "%v", k)
		}
	}
	ended.From = "v1"
	running.Share = 0.5
	g.Expect(conf.MergeStatuses([]conf.RolloutStatus{ended, running})).To(ConsistOf(And(HaveField("State", conf.Done), HaveField("Share", 0.5))))
}

// Guards against the removal of a done rollout without a change of the current version, which would bring the old
// version back at once.
func TestCheckReplacementKeepsTheServingVersion(t *testing.T) {
	g := NewWithT(t)
	old := mergeValid(t, `{"moves": [`+rolloutJSON("up", "v1", "v2", nextDay)+`]}`)
	done := []conf.RolloutStatus{{Name: "up", Service: "llm", State: conf.Done, Recorded: true}}
	next := clone(t, old)
	next.Rollouts = nil
	g.Expect(problemTexts(conf.CheckReplacement(old, next, done))).To(ConsistOf(ContainSubstring(`services[llm].current: version "v2" serves and would be replaced by "v1" at once`)))
	next.Services[0].Current = "v2"
	g.Expect(conf.CheckReplacement(old, next, done)).To(BeEmpty())
	next.Services[0].Current = "v3"
	g.Expect(conf.CheckReplacement(old, next, done)).To(HaveLen(1))
}

func clone(t testing.TB, cfg conf.Config) conf.Config {
	t.Helper()
	g := NewWithT(t)
	b, err := conf.Encode(cfg)
	g.Expect(err).NotTo(HaveOccurred())
	c, err := conf.Decode(b)
	g.Expect(err).NotTo(HaveOccurred())
	return c
}

// Guards against a conflict report with missing, additional or wrong differences.
func TestDiffNamesEachDifference(t *testing.T) {
	g := NewWithT(t)
	a := mergeValid(t, `{"moves": [`+rolloutJSON("up", "v1", "v2", nextDay)+`]}`)
	b := clone(t, a)
	g.Expect(conf.Diff(a, b)).To(BeEmpty())
	b.Generation, b.Attempt = 9, "x"
	b.Accounts[0].Rate = 5
	b.Accounts[0].Tiers = nil
	b.Rollouts = nil
	b.Tiers = append(b.Tiers, conf.Tier{Name: "mid"})
	b.Limits.LoadsPerMinute = 1
	g.Expect(conf.Diff(a, b)).To(Equal([]conf.Change{
		{Action: conf.Added, Key: "tiers[mid]"},
		{Action: conf.Changed, Key: "accounts[north].rate", Old: "100", New: "5"},
		{Action: conf.Changed, Key: "accounts[north].tiers", Old: `["low","high"]`, New: "[]"},
		{Action: conf.Removed, Key: "moves[up]"},
		{Action: conf.Changed, Key: "limits.loads", Old: "60", New: "1"},
	}))
}

// Guards against declarations that crash the reader, or that are changed by encoding and decoding for the object
// API.
func FuzzMerge(f *testing.F) {
	for _, seed := range []string{baseDeclarations, `{"tiers": [3, {"name": 4}]}`, "{\"a\":", `{"moves": [{"name": "m"}]}`, `[]`} {
		f.Add(declarationFile("", seed).Data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		cfg, problems := conf.Merge([]conf.File{{Name: "f.json", Data: data}})
		if len(problems) > 0 {
			return
		}
		g := NewWithT(t)
		g.Expect(conf.Diff(cfg, clone(t, cfg))).To(BeEmpty())
		g.Expect(conf.Check(cfg)).To(BeEmpty())
		conf.NewIndex(cfg)
	})
}
