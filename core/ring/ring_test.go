package ring_test

import (
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ring"
)

// Guards against losing the order of items, or holding more than the bound, when the ring wraps.
func TestRingKeepsOrderAndBound(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int](3)
	for i := range 3 {
		g.Expect(r.Offer(i)).To(BeTrue())
	}
	g.Expect(r.Offer(3)).To(BeFalse())
	g.Expect(r.Replace(3)).To(BeTrue())
	for _, want := range []int{1, 2, 3} {
		v, ok := r.Take()
		g.Expect(ok).To(BeTrue())
		g.Expect(v).To(Equal(want))
	}
	_, ok := r.Take()
	g.Expect(ok).To(BeFalse())
}
