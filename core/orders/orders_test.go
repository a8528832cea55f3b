package orders_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/orders"
)

var start = time.Unix(1_800_000_000, 0)

func declaredTargets() []orders.Target {
	return []orders.Target{
		{ID: "e1", Agent: "a1", Version: "v2"},
		{ID: "e2", Agent: "a2", Version: "v2"},
		{ID: "e3", Agent: "a3", Version: "v1"},
	}
}

// Guards against commands that are issued without the lease, with one about to expire, for targets that already
// run their version, or repeatedly while an earlier one is under way.
func TestOnlyTheLeaseHolderCommandsMismatchedTargets(t *testing.T) {
	g := NewWithT(t)
	p := orders.New("control")
	p.SetTargets(start, 600, declaredTargets())
	p.SetLoaded("e1", "v1")
	p.SetLoaded("e3", "v1")
	g.Expect(p.IssueDue(start, 3, time.Minute, false)).To(BeEmpty())
	g.Expect(p.IssueDue(start, 3, time.Second, true)).To(BeEmpty())
	due := p.IssueDue(start, 3, time.Minute, true)
	g.Expect(due).To(HaveLen(1))
	g.Expect(due[0].Agent).To(BeEquivalentTo("a1"))
	g.Expect(due[0].Command.Fence).To(BeEquivalentTo(3))
	g.Expect(due[0].Command.Version).To(BeEquivalentTo("v2"))
	g.Expect(p.IssueDue(start.Add(time.Second), 3, time.Minute, true)).To(BeEmpty(), "the command is under way")
	g.Expect(p.IssueDue(start.Add(orders.RetryInterval), 3, time.Minute, true)).To(HaveLen(1), "the command had no effect")
	p.SetLoaded("e1", "v2")
	g.Expect(p.IssueDue(start.Add(3*orders.RetryInterval), 3, time.Minute, true)).To(BeEmpty())
}

// Guards against a higher rate of loads than the store of the model weights allows.
func TestLoadsStayWithinTheRateOfTheWeightStore(t *testing.T) {
	g := NewWithT(t)
	p := orders.New("control")
	p.SetTargets(start, 6, declaredTargets())
	p.SetLoaded("e1", "v1")
	p.SetLoaded("e2", "v1")
	issued := 0
	for second := range 15 {
		issued += len(p.IssueDue(start.Add(time.Duration(second)*time.Second), 3, time.Minute, true))
	}
	g.Expect(issued).To(Equal(2), "one immediately and one after ten seconds")
}

// Guards against a command that is lost because the agent was not connected.
func TestUnsentCommandIsIssuedAgain(t *testing.T) {
	g := NewWithT(t)
	p := orders.New("control")
	p.SetTargets(start, 600, declaredTargets())
	p.SetLoaded("e1", "v1")
	due := p.IssueDue(start, 3, time.Minute, true)
	p.MarkUnsent(due[0].Command.ID)
	g.Expect(p.IssueDue(start.Add(time.Second), 3, time.Minute, true)).To(HaveLen(1))
}
