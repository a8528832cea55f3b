package slope_test

import (
	"strings"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/bench/slope"
)

// Guards against a wrong extension, which would hide that a machine exceeds its limit.
func TestRunProjectsCostsAlongALine(t *testing.T) {
	g := NewWithT(t)
	cost := func(n int) slope.Point {
		return slope.Point{Size: n, CPUMillisPerSecond: 1 + 0.1*float64(n), BytesPerSecond: 50 * float64(n), MemoryBytes: 1e6}
	}
	rows := slope.Run([]slope.Probe{{Name: "x", Roles: []string{"agent"}, Sizes: []int{10, 20, 40}, ProjectedSize: 1000, Measure: cost}})
	g.Expect(rows[0].Projected.CPUMillisPerSecond).To(BeNumerically("~", 101, 1e-6))
	g.Expect(rows[0].Projected.BytesPerSecond).To(BeNumerically("~", 50000, 1e-6))
	var b strings.Builder
	ok, err := slope.WriteTable(&b, rows)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(ok).To(BeFalse())
	g.Expect(b.String()).To(ContainSubstring("| x |"))
}
