package orders_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/orders"
)

var start = time.Unix(1_800_000_000, 0)

func declared() []orders.Target {
	return []orders.Target{{ID: "e1", Agent: "a1", Version: "v2"}, {ID: "e2", Agent: "a2", Version: "v2"}, {ID: "e3", Agent: "a3", Version: "v1"}}
}

// Guards against orders without a lease, with one about to end, and to targets that need none.
func TestOnlyTheHolderOrdersWhatIsWrong(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.Declare(start, 600, declared())
	m.Reported("e1", "v1")
	m.Reported("e3", "v1")
	g.Expect(m.Due(start, 3, time.Minute, false)).To(BeEmpty())
	g.Expect(m.Due(start, 3, time.Second, true)).To(BeEmpty())
	due := m.Due(start, 3, time.Minute, true)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Agent).To(BeEquivalentTo("a1"))
	g.Expect(due[0].Order.Fence).To(BeEquivalentTo(3))
	g.Expect(due[0].Order.Version).To(BeEquivalentTo("v2"))
	g.Expect(m.Due(start.Add(time.Second), 3, time.Minute, true)).To(BeEmpty(), "the order is under way")
	g.Expect(m.Due(start.Add(orders.Again), 3, time.Minute, true)).To(HaveLen(1), "it had no effect")
	m.Reported("e1", "v2")
	g.Expect(m.Due(start.Add(3*orders.Again), 3, time.Minute, true)).To(BeEmpty())
}

// Guards against more loads than the weight store allows.
func TestLoadsKeepTheRateOfTheWeightStore(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.Declare(start, 6, declared())
	m.Reported("e1", "v1")
	m.Reported("e2", "v1")
	n := 0
	for s := range 15 {
		n += len(m.Due(start.Add(time.Duration(s)*time.Second), 3, time.Minute, true))
	}
	g.Expect(n).To(Equal(2), "one at once and one after ten seconds")
}

// Guards against an order that is lost because the agent was not connected.
func TestUnsentOrderIsGivenAgain(t *testing.T) {
	g := NewWithT(t)
	m := orders.New("control")
	m.Declare(start, 600, declared())
	m.Reported("e1", "v1")
	due := m.Due(start, 3, time.Minute, true)
	m.Unsent(due[0].Order.ID)
	g.Expect(m.Due(start.Add(time.Second), 3, time.Minute, true)).To(HaveLen(1))
}
