package entry_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fault"
	"hickoryvane.example/core/wire"
	"hickoryvane.example/router/entry"
)

// held begins a keyed order whose claim is held by an earlier send of the given age, and lets the agent of
// that send state that it never dispatched it.
func held(t *testing.T, age time.Duration) *bench {
	b := newBench(t)
	b.begin(1, 1, 0, "key-1")
	l, o := last[*wire.Offer](b)
	b.deliver(l, &wire.Grant{ID: o.ID, Ticket: 5})
	b.g.Expect(b.made).To(HaveLen(1))
	b.c.Claimed(b.now, 1, b.made[0].Claim.Attempt, entry.Held, entry.Claim{
		Attempt: "earlier", Account: "acme", Agent: "a3", Boot: 7, At: b.now.Add(-age).Unix(),
	})
	b.take()
	b.sent = nil
	b.deliver(3, &wire.Refuse{ID: "earlier", Run: fault.NotRun, Reason: fault.Gone})
	return b
}

// Guards against a second run of a keyed order after the agent has forgotten the first: its ledger keeps an
// id for 15 minutes, the claim is kept for 24 hours.
func TestOldClaimIsNotTakenOver(t *testing.T) {
	b := held(t, 16*time.Minute)
	b.g.Expect(count[*wire.Offer](b)).To(BeZero())
	b.g.Expect(b.got).To(HaveLen(1))
	b.g.Expect(b.got[0].Fault.Run).To(Equal(fault.Unknown))
}

// Guards against a keyed order that nobody runs, because its first router died between claim and body.
func TestFreshClaimWithoutRunIsTakenOver(t *testing.T) {
	b := held(t, time.Minute)
	b.g.Expect(count[*wire.Offer](b)).To(BeNumerically(">", 0))
	b.g.Expect(b.got).To(BeEmpty())
}
