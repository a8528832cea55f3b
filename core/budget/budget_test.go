package budget_test

import (
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/budget"
)

const mb = 1 << 20

// start is any time.
var start = time.Unix(1_000_000, 0)

// owners returns n owners and counts those that are evicted, by index.
func owners(n int, evicted map[int]int) []*budget.Owner {
	list := make([]*budget.Owner, n)
	for i := range list {
		list[i] = budget.NewOwner(func() { evicted[i]++ })
	}
	return list
}

// Guards against a caller with a small header section that is evicted, or refused, before one that holds much.
func TestLargestWaitingHeaderSectionIsEvicted(t *testing.T) {
	g := NewWithT(t)
	b, evicted := budget.New(100*mb, 0), map[int]int{}
	o := owners(4, evicted)
	g.Expect(b.Reserve(start, o[0], budget.Heads, 5*mb)).To(BeTrue())
	g.Expect(b.Reserve(start, o[1], budget.Heads, 6*mb)).To(BeTrue())
	b.SetBusy(o[1])
	g.Expect(b.Reserve(start, o[2], budget.Heads, 2*mb)).To(BeTrue(), "for which the other one that waits is evicted")
	g.Expect(evicted).To(Equal(map[int]int{0: 1}))
	g.Expect(b.Reserve(start, o[3], budget.Heads, 5*mb)).To(BeFalse(), "nobody holds twice as much and waits")
	g.Expect(evicted).To(HaveLen(1))
	for _, x := range o {
		b.Drop(x)
	}
	g.Expect(b.Used()).To(BeZero())
	g.Expect(b.Reserve(start, o[3], budget.Heads, 20*mb)).To(BeTrue(), "the only one")
}

// Guards against streams that are ended in another order than least progress for the memory held.
func TestReaderWithLeastProgressIsEvicted(t *testing.T) {
	g := NewWithT(t)
	b, evicted := budget.New(100*mb, 0), map[int]int{}
	o := owners(4, evicted)
	for _, x := range o[:3] {
		g.Expect(b.Reserve(start, x, budget.Unread, 3*mb)).To(BeTrue())
	}
	now := start.Add(time.Second)
	b.Read(now, o[0], 1000)
	b.Read(now.Add(-time.Millisecond), o[2], 1000)
	g.Expect(b.Reserve(now, o[3], budget.Unread, 4*mb)).To(BeTrue())
	g.Expect(evicted).To(Equal(map[int]int{1: 1}))
}

// Guards against a part that takes the memory which is guaranteed to another one.
func TestPartsKeepTheirMinimum(t *testing.T) {
	g := NewWithT(t)
	b, evicted := budget.New(100*mb, 0), map[int]int{}
	o := owners(2, evicted)
	for b.ReserveAnswer(mb) {
	}
	bodies := 0
	for ; bodies < 2000; bodies++ {
		x, err := b.NewBody("a", 60<<10)
		if err != nil || x.Fill(strings.NewReader(strings.Repeat("x", 60<<10)), 60<<10, 60<<10) != nil {
			break
		}
	}
	g.Expect(bodies).To(BeNumerically(">", 500))
	g.Expect(b.Reserve(start, o[0], budget.Heads, 5*mb)).To(BeTrue())
	g.Expect(b.Reserve(start, o[1], budget.Unread, 5*mb)).To(BeTrue())
	g.Expect(b.Used()).To(BeNumerically("<=", 60*mb))
	g.Expect(evicted).To(BeEmpty())
}

// Guards against connections of callers that take descriptors, or memory, which the process needs itself.
func TestConnectionsLeaveDescriptorsAndMemory(t *testing.T) {
	g := NewWithT(t)
	g.Expect(budget.New(1000*mb, 2870).ConnsMax()).To(Equal(1335))
	g.Expect(budget.New(11*mb, 2870).ConnsMax()).To(Equal(102))
	g.Expect(budget.New(10*mb, 100).ConnsMax()).To(Equal(16))
}
