package comeback_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/comeback"
	"hickoryvane.example/core/ident"
)

var source = comeback.Source{Route: "r", Account: "a"}

// first returns the n-th stated time of callers that wait 12 s and vary it by up to 15%.
func first(n int) time.Duration { return 12*time.Second - time.Duration(n*37%1800)*time.Millisecond }

// Load pattern: callers that return after refusals, two of three requests. Guards against retries that count as first
// attempts, and first attempts that count as retries.
func TestRetriesAreRecognized(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 64 {
		d.Observe(source, first(n))
	}
	for n := range 500 {
		g.Expect(d.Observe(source, first(n))).To(BeZero())
		for _, left := range []time.Duration{7800 * time.Millisecond, 5 * time.Second} {
			g.Expect(d.Observe(source, left)).To(BeNumerically("~", 12*time.Second-left, 1500*time.Millisecond))
		}
	}
}

// Guards against a few callers that state very long times and make the requests of all others count as retries.
func TestFewLongTimesChangeNothing(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 400 {
		if n%20 == 0 {
			d.Observe(source, time.Hour)
		}
		g.Expect(d.Observe(source, first(n))).To(BeZero())
	}
}

// Guards against an account with longer times that makes the requests of the others on its route count as retries.
func TestAccountsAreToldApart(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 200 {
		g.Expect(d.Observe(comeback.Source{Route: "r", Account: "long"}, 2*first(n))).To(BeZero())
		g.Expect(d.Observe(source, first(n))).To(BeZero())
	}
}

// Guards against memory that grows with the names of routes, and against times that are not stated.
func TestSourcesAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 10_000 {
		s := comeback.Source{Route: ident.Route(fmt.Sprint(n))}
		g.Expect(d.Observe(s, 0)).To(BeZero())
		d.Observe(s, time.Second)
		g.Expect(d.Sources()).To(BeNumerically("<=", 4096))
	}
}
