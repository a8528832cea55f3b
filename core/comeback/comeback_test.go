package comeback_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/comeback"
	"hickoryvane.example/core/ident"
)

// first returns the n-th stated time of callers that wait 12 s and vary it by up to 15%.
func first(n int) time.Duration { return 12*time.Second - time.Duration(n*37%1800)*time.Millisecond }

// Load pattern: callers that return after refusals, two of three requests. Guards against retries that count as first
// attempts, and first attempts that count as retries.
func TestRetriesAreRecognized(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 64 {
		d.Observe("r", first(n))
	}
	for n := range 500 {
		g.Expect(d.Observe("r", first(n))).To(BeZero())
		for _, left := range []time.Duration{7800 * time.Millisecond, 5 * time.Second} {
			g.Expect(d.Observe("r", left)).To(BeNumerically("~", 12*time.Second-left, 1500*time.Millisecond))
		}
	}
}

// Guards against a few callers that state very long times and make the requests of all others count as retries.
func TestFewLongTimesChangeNothing(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 400 {
		if n%20 == 0 {
			d.Observe("r", time.Hour)
		}
		g.Expect(d.Observe("r", first(n))).To(BeZero())
	}
}

// Guards against memory that grows with the names of routes, and against times that are not stated.
func TestRoutesAreBounded(t *testing.T) {
	g := NewWithT(t)
	d := comeback.New()
	for n := range 10_000 {
		g.Expect(d.Observe(ident.Route(fmt.Sprint(n)), 0)).To(BeZero())
		d.Observe(ident.Route(fmt.Sprint(n)), time.Second)
	}
	kept := 0
	d.Keep(func(ident.Route) bool { kept++; return false })
	g.Expect(kept).To(Equal(4096))
}
