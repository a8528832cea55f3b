package ring_test

import (
	"context"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ring"
)

// Guards against losing the order of items, or holding more than the bound, when the ring wraps.
func TestRingKeepsOrderAndBound(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int](3)
	for i := range 3 {
		g.Expect(r.TryPut(i)).To(BeTrue())
	}
	g.Expect(r.TryPut(3)).To(BeFalse())
	g.Expect(r.PutEvictingOldest(3)).To(BeTrue())
	for _, want := range []int{1, 2, 3} {
		v, ok := r.Take()
		g.Expect(ok).To(BeTrue())
		g.Expect(v).To(Equal(want))
	}
	_, ok := r.Take()
	g.Expect(ok).To(BeFalse())
}

// Guards against a writer that is never woken, or an item that is lost, when several writers wait for room.
func TestPutWaitsForRoom(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int](2)
	const writers, each = 4, 50
	ends := make(chan error, writers)
	for range writers {
		go func(ctx context.Context) {
			var err error
			for i := 0; i < each && err == nil; i++ {
				err = r.Put(ctx, 1)
			}
			ends <- err
		}(t.Context())
	}
	for sum := 0; sum < writers*each; {
		<-r.Ready()
		for v, ok := r.Take(); ok; v, ok = r.Take() {
			sum += v
		}
	}
	for range writers {
		g.Expect(<-ends).To(Succeed())
	}
}

// Guards against items that are lost or swapped when a ring that has wrapped grows.
func TestRingGrowsInOrder(t *testing.T) {
	g := NewWithT(t)
	r := ring.New[int](100)
	next, want := 0, 0
	for range 5 {
		for range 20 {
			g.Expect(r.TryPut(next)).To(BeTrue())
			next++
		}
		for range 7 {
			v, _ := r.Take()
			g.Expect(v).To(Equal(want))
			want++
		}
	}
	for v, ok := r.Take(); ok; v, ok = r.Take() {
		g.Expect(v).To(Equal(want))
		want++
	}
	g.Expect(want).To(Equal(next))
}
