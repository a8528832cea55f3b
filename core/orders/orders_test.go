package orders_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/orders"
)

var start = time.Unix(1_800_000_000, 0)

func declaredTargets() []orders.Target {
	return []orders.Target{{ID: "e1", Agent: "a1", Version: "v2"}, {ID: "e2", Agent: "a2", Version: "v2"}, {ID: "e3", Agent: "a3", Version: "v1"}}
}

// Guards against orders without a lease, with one about to end, and to targets that need none.
func TestOnlyTheLeaseHolderCommandsMismatchedTargets(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.SetTargets(start, 600, declaredTargets())
	m.SetLoaded("e1", "v1")
	m.SetLoaded("e3", "v1")
	g.Expect(m.IssueDue(start, 3, time.Minute, false)).To(BeEmpty())
	g.Expect(m.IssueDue(start, 3, time.Second, true)).To(BeEmpty())
	due := m.IssueDue(start, 3, time.Minute, true)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Agent).To(BeEquivalentTo("a1"))
	g.Expect(due[0].Command.Fence).To(BeEquivalentTo(3))
	g.Expect(due[0].Command.Version).To(BeEquivalentTo("v2"))
	g.Expect(m.IssueDue(start.Add(time.Second), 3, time.Minute, true)).To(BeEmpty(), "the order is under way")
	g.Expect(m.IssueDue(start.Add(orders.RetryInterval), 3, time.Minute, true)).To(HaveLen(1), "it had no effect")
	m.SetLoaded("e1", "v2")
	g.Expect(m.IssueDue(start.Add(3*orders.RetryInterval), 3, time.Minute, true)).To(BeEmpty())
}

// Guards against more loads than the weight store allows.
func TestLoadsStayWithinTheRateOfTheWeightStore(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.SetTargets(start, 6, declaredTargets())
	m.SetLoaded("e1", "v1")
	m.SetLoaded("e2", "v1")
	n := 0
	for s := range 15 {
		n += len(m.IssueDue(start.Add(time.Duration(s)*time.Second), 3, time.Minute, true))
	}
	g.Expect(n).To(Equal(2), "one at once and one after ten seconds")
}

// Guards against an order that is lost because the agent was not connected.
func TestUnsentCommandIsIssuedAgain(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.SetTargets(start, 600, declaredTargets())
	m.SetLoaded("e1", "v1")
	due := m.IssueDue(start, 3, time.Minute, true)
	m.MarkUnsent(due[0].Command.ID)
	g.Expect(m.IssueDue(start.Add(time.Second), 3, time.Minute, true)).To(HaveLen(1))
}
