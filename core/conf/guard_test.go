package conf_test

import (
	"slices"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
)

const day = "2026-12-05T00:00:00Z"

// Guards against a change that stops a running move without taking it back.
func TestGuard(t *testing.T) {
	old := valid(t, `{"moves": [`+move("up", "v1", "v2", day)+`]}`)
	for _, c := range []struct {
		name   string
		change func(*conf.Config)
		want   string
	}{
		{"nothing", func(*conf.Config) {}, ""},
		{"deadline", func(c *conf.Config) { c.Moves[0].Deadline = c.Moves[0].Deadline.AddDate(0, 0, 1) }, ""},
		{"cancel", func(c *conf.Config) { c.Moves[0].Cancelled = true }, ""},
		{"other target", func(c *conf.Config) { c.Targets = slices.Delete(c.Targets, 2, 3) }, ""},
		{"move", func(c *conf.Config) { c.Moves = nil }, "moves[up]: is removed"},
		{"versions", func(c *conf.Config) { c.Moves[0].To = "v3" }, "moves[up]: changes service or versions"},
		{"service", func(c *conf.Config) { c.Services = c.Services[1:] }, "services[llm]: is removed"},
		{"current", func(c *conf.Config) { c.Services[0].Current = "v2" }, "services[llm].current: changes"},
		{"version", func(c *conf.Config) { c.Services[0].Versions = []ident.Version{"v1", "v3"} }, `version "v2" is removed, but move "up"`},
		{"target", func(c *conf.Config) { c.Targets = slices.Delete(c.Targets, 1, 2) }, `version "v2" in region "east" is removed`},
		{"opposite", func(c *conf.Config) {
			c.Moves = append(c.Moves, conf.Move{Name: "back", Service: "llm", From: "v2", To: "v1"})
		}, `moves[back]: is opposite to move "up"`},
	} {
		t.Run(c.name, func(t *testing.T) {
			g := NewWithT(t)
			next := clone(t, old)
			c.change(&next)
			got := lines(conf.Guard(old, next, conf.States(old, nil)))
			if c.want == "" {
				g.Expect(got).To(BeEmpty())
			} else {
				g.Expect(got).To(ContainElement(ContainSubstring(c.want)))
			}
		})
	}
}

// Guards against a decision that is taken for a recorded end, and against a waiting move that blocks a change.
func TestStates(t *testing.T) {
	g := NewWithT(t)
	cfg := valid(t, `{"moves": [`+move("up", "v1", "v2", day)+`]}`)
	status := func(s conf.MoveState, recorded bool) conf.MoveStatus {
		return conf.MoveStatus{Name: "up", Service: "llm", State: s, Recorded: recorded}
	}
	waits, runs := status(conf.Waiting, false), status(conf.Running, false)
	decided, ended := status(conf.TakenBack, false), status(conf.Done, true)
	for want, known := range map[conf.MoveState][][]conf.MoveStatus{
		conf.Waiting: {{waits}},
		conf.Running: {nil, {waits, runs, waits}, {runs, decided}},
		conf.Done:    {{ended, runs}, {decided, ended, waits}},
	} {
		for _, k := range known {
			g.Expect(conf.States(cfg, k)[0].State).To(Equal(want), "%v", k)
		}
	}
	ended.From = "v1"
	runs.Share = 0.5
	g.Expect(conf.Gather([]conf.MoveStatus{ended, runs})).To(ConsistOf(And(HaveField("State", conf.Done), HaveField("Share", 0.5))))
}

// Guards against a removal of a move that was done, which would bring the old version back at once.
func TestGuardKeepsTheServingVersion(t *testing.T) {
	g := NewWithT(t)
	old := valid(t, `{"moves": [`+move("up", "v1", "v2", day)+`]}`)
	done := []conf.MoveStatus{{Name: "up", Service: "llm", State: conf.Done, Recorded: true}}
	next := clone(t, old)
	next.Moves = nil
	g.Expect(lines(conf.Guard(old, next, done))).To(ConsistOf(ContainSubstring(`services[llm].current: version "v2" serves and would be replaced by "v1" at once`)))
	next.Services[0].Current = "v2"
	g.Expect(conf.Guard(old, next, done)).To(BeEmpty())
	next.Services[0].Current = "v3"
	g.Expect(conf.Guard(old, next, done)).To(HaveLen(1))
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

// Guards against a conflict that does not name what differs.
func TestDiff(t *testing.T) {
	g := NewWithT(t)
	a := valid(t, `{"moves": [`+move("up", "v1", "v2", day)+`]}`)
	b := clone(t, a)
	g.Expect(conf.Diff(a, b)).To(BeEmpty())
	b.Generation, b.Attempt = 9, "x"
	b.Accounts[0].Rate = 5
	b.Accounts[0].Tiers = nil
	b.Moves = nil
	b.Tiers = append(b.Tiers, conf.Tier{Name: "mid"})
	b.Limits.Loads = 1
	g.Expect(conf.Diff(a, b)).To(Equal([]conf.Change{
		{Action: conf.Added, Key: "tiers[mid]"},
		{Action: conf.Changed, Key: "accounts[north].rate", Old: "100", New: "5"},
		{Action: conf.Changed, Key: "accounts[north].tiers", Old: `["low","high"]`, New: "[]"},
		{Action: conf.Removed, Key: "moves[up]"},
		{Action: conf.Changed, Key: "limits.loads", Old: "60", New: "1"},
	}))
}

// Guards against declarations that crash the reader, or that change on their way through the object API.
func FuzzMerge(f *testing.F) {
	for _, seed := range []string{base, `{"tiers": [3, {"name": 4}]}`, "{\"a\":", `{"moves": [{"name": "m"}]}`, `[]`} {
		f.Add(file("", seed).Data)
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
