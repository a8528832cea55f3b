package route_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
)

func testTable() *route.Table {
	share := []route.Share{{Service: "s", Weight: 1}}
	return route.New(3, []route.Route{
		{Name: "wide", Host: "a.example", Prefix: "/x/", Shares: share},
		{Name: "long", Host: "a.example", Prefix: "/x/y/", Shares: share},
		{Name: "other", Host: "b.example", Prefix: "/x/", Shares: share},
	}, []route.Service{{Name: "s"}}, []route.Account{{Name: "acc", Keys: []string{"k1", "k2"}}}, route.Limits{})
}

// Guards against a request that gets the wrong route, such as that of another host, of a shorter prefix or of a
// prefix that ends within a path segment.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	g := NewWithT(t)
	table := testTable()
	g.Expect(table.Match("a.example", "/x/1").Name).To(BeEquivalentTo("wide"))
	g.Expect(table.Match("A.example:8080", "/x/y/1").Name).To(BeEquivalentTo("long"))
	g.Expect(table.Match("b.example", "/x/y/1").Name).To(BeEquivalentTo("other"))
	g.Expect(table.Match("a.example", "/xy")).To(BeNil())
	g.Expect(table.Match("c.example", "/x/")).To(BeNil())
}

// Guards against a key that is charged to the wrong account, or an unknown key that is accepted.
func TestEachKeyLeadsToItsAccount(t *testing.T) {
	g := NewWithT(t)
	table := testTable()
	g.Expect(table.Account("k2").Name).To(BeEquivalentTo("acc"))
	g.Expect(table.Account("k3")).To(BeNil())
	g.Expect(table.RequiresKey()).To(BeTrue())
}

// Guards against a split that sends a service another share of the requests than declared.
func TestRequestsAreSplitByWeight(t *testing.T) {
	g := NewWithT(t)
	r := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	counts := map[string]int{}
	for i := range 1000 {
		counts[string(r.ChooseService(float64(i)/1000))]++
	}
	g.Expect(counts).To(Equal(map[string]int{"a": 900, "b": 100}))
}

// Guards against a retry of a request that must run at most once.
func TestOnlySafeAndResumableRoutesAreRepeatable(t *testing.T) {
	g := NewWithT(t)
	for _, c := range []struct {
		r    route.Route
		want bool
	}{
		{route.Route{}, false},
		{route.Route{Kind: route.Safe}, true},
		{route.Route{Kind: route.Stream}, false},
		{route.Route{Kind: route.Stream, Resumable: true}, true},
		{route.Route{Kind: route.Unsafe, Resumable: true}, false},
	} {
		g.Expect(c.r.Repeatable()).To(Equal(c.want))
	}
}
