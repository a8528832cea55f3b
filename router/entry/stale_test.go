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
func beginWithHeldClaim(t *testing.T, age time.Duration) *harness {
	b := newHarness(t)
	b.beginCall(1, 1, 0, "key-1")
	l, o := lastMessage[*wire.Offer](b)
	b.deliver(l, &wire.Grant{ID: o.ID, Ticket: 5})
	b.g.Expect(b.createdClaims).To(HaveLen(1))
	b.c.HandleClaimResult(b.now, 1, b.createdClaims[0].Claim.Attempt, entry.ClaimHeld, entry.Claim{
		Attempt: "earlier", Account: "acme", Agent: "a3", Boot: 7, CreatedUnix: b.now.Add(-age).Unix(),
	})
	b.collect()
	b.sent = nil
	b.deliver(3, &wire.Refuse{ID: "earlier", Run: fault.NotRun, Reason: fault.Gone})
	return b
}

// Guards against a second run of a keyed order after the agent has forgotten the first: its ledger keeps an
// id for 15 minutes, the claim is kept for 24 hours.
func TestOldClaimIsNotTakenOver(t *testing.T) {
	b := beginWithHeldClaim(t, 16*time.Minute)
	b.g.Expect(countMessages[*wire.Offer](b)).To(BeZero())
	b.g.Expect(b.replies).To(HaveLen(1))
	b.g.Expect(b.replies[0].Fault.Run).To(Equal(fault.Unknown))
}

// Guards against a keyed order that nobody runs, because its first router died between claim and body.
func TestFreshClaimWithoutRunIsTakenOver(t *testing.T) {
	b := beginWithHeldClaim(t, time.Minute)
	b.g.Expect(countMessages[*wire.Offer](b)).To(BeNumerically(">", 0))
	b.g.Expect(b.replies).To(BeEmpty())
}
