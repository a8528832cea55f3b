package lint_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/lint"
	"hickoryvane.example/core/route"
)

func tables() lint.Tables {
	return lint.Tables{
		Routes: []route.Route{{
			Name: "a", Host: "h", Prefix: "/", Kind: route.Safe, Timeout: time.Second, FirstEventGoal: time.Second, Attempts: 2,
			Shares: []route.Share{{Service: "s", Weight: 90}, {Service: "t", Weight: 10}}, HomeRegions: []ident.Region{"x", "y"},
		}},
		Services: []route.Service{{Name: "s"}, {Name: "t"}},
		Accounts: []route.Account{{Name: "acc", Keys: []string{"k", "l"}, Rate: 10, Burst: 10, DefaultTokens: 10, HomeRegions: []ident.Region{"y"}}},
		Centres:  map[ident.Region]int{"x": 1, "y": 2}, Deadlines: map[ident.Tier]time.Duration{0: time.Second},
		Retries: &lint.Retries{Ratio: 0.1},
	}
}

// Guards against findings about a configuration at the limits of the rules.
func TestNothingIsFoundAtTheLimits(t *testing.T) {
	g := NewWithT(t)
	g.Expect(lint.Check(tables())).To(BeEmpty())
	unknown := tables()
	unknown.Centres, unknown.Deadlines, unknown.Retries = nil, nil, nil
	unknown.Routes[0].HomeRegions, unknown.Routes[0].Attempts = []ident.Region{"z", "y"}, 9
	g.Expect(lint.Check(unknown)).To(BeEmpty(), "regions and retry budget are not known")
}

// Guards against an account that no route serves, or a route without any data centre, that passes the check.
func TestHomeRegionsThatExcludeEverything(t *testing.T) {
	g := NewWithT(t)
	c := tables()
	c.Accounts[0].HomeRegions = []ident.Region{"x"}
	c.Routes[0].HomeRegions = []ident.Region{"y"}
	g.Expect(lint.Check(c)).To(ConsistOf(lint.Finding{
		Severity: lint.Error, Rule: lint.Unreachable, Place: lint.Place{List: lint.Accounts, Field: lint.HomeRegions},
		Text: "no route serves the account: none has one of its home regions",
	}))
	c.Accounts[0].HomeRegions, c.Routes[0].HomeRegions = nil, []ident.Region{"x"}
	c.Centres["x"] = 0
	found := lint.Check(c)
	g.Expect(found).To(HaveLen(1))
	g.Expect(found[0].Place).To(Equal(lint.Place{List: lint.Routes, Field: lint.HomeRegions}))
}

// Guards against differences that mean nothing, and against a changed key that is not noticed.
func TestChangesGoByMeaning(t *testing.T) {
	g := NewWithT(t)
	b := tables()
	b.Routes[0].Shares = []route.Share{{Service: "t", Weight: 1}, {Service: "s", Weight: 9}}
	b.Routes[0].HomeRegions = []ident.Region{"y", "x", "y"}
	b.Services[0], b.Services[1] = b.Services[1], b.Services[0]
	b.Accounts[0].Keys = []string{"l", "k"}
	g.Expect(lint.Changes(tables(), b)).To(BeEmpty())
	b.Accounts[0].Keys[0] = "m"
	g.Expect(lint.Changes(tables(), b)).To(Equal([]lint.TableChange{{
		Action: conf.Changed, List: lint.Accounts, Name: "acc", Field: lint.Keys, Old: "2 keys", New: "2 keys (1 added, 1 removed)",
	}}))
	b = tables()
	b.Accounts[0].HasTier, b.Services[1].Slots = true, 4 // tier 0 instead of that of the route
	g.Expect(lint.Changes(tables(), b)).To(Equal([]lint.TableChange{
		{Action: conf.Changed, List: lint.Services, Name: "t", Field: "slots", Old: "0", New: "4"},
		{Action: conf.Changed, List: lint.Accounts, Name: "acc", Field: "hastier", Old: "that of the route", New: "its own"},
	}))
}

// Guards against declarations that crash the check or the comparison, or that differ from themselves.
func FuzzDeclared(f *testing.F) {
	f.Add([]byte(`{"tiers":[{"name":"t","rank":0}],"accounts":[{"name":"a","tiers":["t"],"burst":4}],"services":[{"name":"s","kind":"model","routes":[{"name":"r"},{"model":"s"}]}]}`))
	f.Add([]byte(`{"regions":[{},{"name":7}],"services":[null,{"routes":[[]]}],"moves":[{"deadline":"x"}],}`))
	f.Fuzz(func(t *testing.T, b []byte) {
		cfg, problems := conf.Merge([]conf.File{{Name: "a.json", Data: b}})
		found := append(lint.Invalids(problems), lint.Declared(cfg, func(string) (string, int) { return "a.json", 1 })...)
		lint.NewReport("x", found).Summary()
		lint.DeclaredChanges(conf.Config{}, cfg)
		if changes := lint.DeclaredChanges(cfg, cfg); len(problems) == 0 && len(changes) > 0 {
			t.Fatal(changes)
		}
	})
}
