package fair_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fair"
)

// Guards against accounts that are deferred although their bucket is full or they have no limit, and against a deferral
// that makes a request late by itself.
func TestDeferralGrowsWithWhatWasUsed(t *testing.T) {
	g := NewWithT(t)
	g.Expect(fair.Deferral(1000, 1000, time.Second)).To(BeZero())
	g.Expect(fair.Deferral(0, 0, time.Second)).To(BeZero())
	g.Expect(fair.Deferral(500, 1000, time.Second)).To(Equal(250 * time.Millisecond))
	g.Expect(fair.Deferral(-5000, 1000, time.Second)).To(Equal(500 * time.Millisecond))
}
