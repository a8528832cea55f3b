package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/links"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// offers takes the connections to which offers were sent, and forgets all messages.
func (b *harness) takeOffers() (to []links.ID, id ident.RequestID) {
	for _, s := range b.sent {
		if m, ok := s.Message.(*wire.Offer); ok {
			to, id = append(to, s.Link), m.ID
		}
	}
	b.sent = nil
	return to, id
}

// Guards against a call that is shed while a lower tier waits at an agent that was not asked, and against an
// offer to all agents at once.
func TestLowerTiersAreEvictedFirst(t *testing.T) {
	b := newHarness(t)
	for i, tg := range config.Targets[4:] {
		b.deliver(links.ID(i+5), &wire.Load{Target: tg.Name, Service: tg.Service, Version: tg.Version, Seq: 2, Window: 8, LowestWaitingTier: 2})
	}
	b.beginCall(1, 2, 0, "")
	asked := make(map[links.ID]bool)
	for len(b.replies) == 0 {
		to, id := b.takeOffers()
		b.g.Expect(len(to)).To(BeNumerically("<=", 2))
		b.g.Expect(to).NotTo(BeEmpty())
		for _, l := range to {
			asked[l] = true
			b.deliver(l, &wire.Refuse{ID: id, Run: fault.NotRun, Reason: fault.Shed})
		}
	}
	b.g.Expect(asked).To(HaveLen(5))
	b.g.Expect(b.replies[0].Fault.Reason).To(Equal(fault.Shed))
}

// Guards against a call that waits at two slow targets until its deadline while others have room.
func TestFurtherOffersAfterAFifthOfTheWait(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 2, 0, "")
	first, _ := b.takeOffers()
	b.g.Expect(first).To(HaveLen(2))
	b.advance(960 * time.Millisecond)
	b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
	b.advance(100 * time.Millisecond)
	second, _ := b.takeOffers()
	b.g.Expect(second).To(HaveLen(2))
	b.g.Expect(second).NotTo(ContainElements(first[0]))
	b.g.Expect(second).NotTo(ContainElements(first[1]))
}

// Guards against offers that are lost with a connection which a new one has replaced.
func TestReplacedConnectionLosesItsOffers(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "")
	b.takeOffers()
	b.connectAgent(11, "a1", 7)
	b.connectAgent(12, "a2", 7)
	b.advance(time.Second)
	to, _ := b.takeOffers()
	b.g.Expect(to).NotTo(BeEmpty())
	b.g.Expect(to).To(HaveEach(BeNumerically(">", 10)))
}

// Guards against "not run" after a part of the answer, and against the end of a running call by a refusal of
// a repeated frame.
func TestRefusalsAfterTheBody(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 0, 0, "")
	l, body := b.dispatch()
	b.deliver(l, &wire.Refuse{ID: body.ID, Run: fault.Unknown, Reason: fault.Duplicate})
	b.g.Expect(b.replies).To(BeEmpty())
	b.g.Expect(countMessages[*wire.Attach](b)).To(Equal(1))
	b.deliver(l, &wire.Chunk{ID: body.ID, Boot: 7, Seq: 1, Status: 200, Data: []byte("x")})
	b.deliver(l, &wire.Refuse{ID: body.ID, Run: fault.NotRun, Reason: fault.Gone})
	b.g.Expect(b.replies[len(b.replies)-1].Fault.Run).To(Equal(fault.Ran))
	b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
}

// Guards against a call over its quota that takes the place of a waiting call of another account.
func TestQuotaComesBeforeEviction(t *testing.T) {
	b := newHarness(t, entry.WithBounds(conf.RouterBounds{Requests: 2}))
	small := entry.Request{
		Account: config.Accounts[1], Service: config.Services[0], Route: config.Services[0].Routes[0],
		Tier: config.Tiers[0], Wait: time.Second, Prompt: 10, Output: 10,
	}
	b.c.BeginCall(b.now, 1, small) // leaves a debt
	b.beginCall(2, 2, 0, "")
	b.c.BeginCall(b.now, 3, small)
	b.collect()
	b.g.Expect(b.replies).To(HaveLen(1))
	b.g.Expect(b.replies[0].Fault.Reason).To(Equal(fault.Quota))
}

// Guards against "not run" for an idempotent call whose first try may have run and whose second was refused.
func TestRepeatedCallReportsUnknownRun(t *testing.T) {
	b := newHarness(t)
	b.beginCall(1, 1, 1, "")
	l, body := b.dispatch()
	b.deliver(l, &wire.End{ID: body.ID, Boot: 7, Run: fault.Unknown, Reason: fault.Target})
	b.advance(6 * time.Second)
	b.g.Expect(b.replies).To(HaveLen(1))
	b.g.Expect(b.replies[0].Fault.Run).To(Equal(fault.Unknown))
}
