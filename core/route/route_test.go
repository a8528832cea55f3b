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

// Guards against a request on the wrong route: the longest prefix of the host wins, whole segments only.
func TestLongestPrefixOfTheHostMatches(t *testing.T) {
	g := NewWithT(t)
	p := testTable()
	g.Expect(p.Match("a.example", "/x/1").Name).To(BeEquivalentTo("wide"))
	g.Expect(p.Match("A.example:8080", "/x/y/1").Name).To(BeEquivalentTo("long"))
	g.Expect(p.Match("b.example", "/x/y/1").Name).To(BeEquivalentTo("other"))
	g.Expect(p.Match("a.example", "/xy")).To(BeNil())
	g.Expect(p.Match("c.example", "/x/")).To(BeNil())
}

// Guards against keys of one account that lead to another.
func TestEachKeyLeadsToItsAccount(t *testing.T) {
	g := NewWithT(t)
	p := testTable()
	g.Expect(p.Account("k2").Name).To(BeEquivalentTo("acc"))
	g.Expect(p.Account("k3")).To(BeNil())
	g.Expect(p.RequiresKey()).To(BeTrue())
}

// Guards against splits that send another part of the requests than declared.
func TestRequestsAreSplitByWeight(t *testing.T) {
	g := NewWithT(t)
	r := route.Route{Shares: []route.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}}
	n := map[string]int{}
	for i := range 1000 {
		n[string(r.ChooseService(float64(i)/1000))]++
	}
	g.Expect(n).To(Equal(map[string]int{"a": 900, "b": 100}))
}

// Guards against repeats of what must run once.
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
