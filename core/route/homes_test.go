package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

// Guards against a misspelt region that closes a route or an account everywhere, or that lifts the restriction that was
// in force.
func TestInvalidHomeRegionsChangeNothing(t *testing.T) {
	g := NewWithT(t)
	exists := func(r ident.Region) bool { return r == "a" || r == "b" }
	table := func(routeHomes, accountHomes []ident.Region) *route.Table {
		return route.New(1, []route.Route{{Name: "r", Host: "h", Prefix: "/", HomeRegions: routeHomes}}, nil, []route.Account{{Name: "x", Keys: []string{"k"}, HomeRegions: accountHomes}}, route.Limits{})
	}
	homes := func(t *route.Table) [2][]ident.Region {
		return [2][]ident.Region{t.Match("h", "/").HomeRegions, t.Account("k").HomeRegions}
	}
	first := table([]ident.Region{"a", "z"}, []ident.Region{"b"})
	g.Expect(first.CheckHomes(exists, nil)).To(Equal([]route.HomesFault{{Key: route.RouteHomesKey, Name: "r", Unknown: []ident.Region{"z"}}}))
	g.Expect(homes(first)).To(Equal([2][]ident.Region{{"a"}, {"b"}}))
	second := table([]ident.Region{"y", "z"}, []ident.Region{"z"})
	g.Expect(second.CheckHomes(exists, first)).To(HaveLen(2))
	g.Expect(homes(second)).To(Equal(homes(first)), "what was in force stays")
	third := table(nil, []ident.Region{"z"})
	faults := third.CheckHomes(exists, nil)
	g.Expect(faults).To(Equal([]route.HomesFault{{Key: route.AccountHomesKey, Name: "x", Unknown: []ident.Region{"z"}, Ignored: true}}))
	g.Expect(homes(third)).To(Equal([2][]ident.Region{nil, nil}))
}
