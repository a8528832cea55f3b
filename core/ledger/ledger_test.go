package ledger_test

import (
	"strconv"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/ledger"
	"hickoryvane.example/core/wire"
)

var t0 = time.Unix(1_800_000_000, 0)

// Guards against a body that is written after its grant expired, was declined or was revoked.
func TestDispatchNeedsAValidTicket(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New(1)
	a, err := l.Grant(t0, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Dispatch(t0, "b", a)).To(MatchError(ledger.ErrInvalidTicket))
	g.Expect(l.Dispatch(t0.Add(ledger.GrantTimeout), "a", a)).To(MatchError(ledger.ErrInvalidTicket))
	g.Expect(l.ExpireGrants(t0.Add(ledger.GrantTimeout))).To(Equal([]ledger.GrantRef{{ID: "a", Ticket: a}}))

	b, _ := l.Grant(t0, "b")
	g.Expect(l.Decline("b", b)).To(BeTrue())
	g.Expect(l.Dispatch(t0, "b", b)).To(MatchError(ledger.ErrInvalidTicket))
	c, _ := l.Grant(t0, "c")
	g.Expect(l.Revoke(t0, "c")).To(Equal(ledger.Absent))
	g.Expect(l.Dispatch(t0, "c", c)).To(MatchError(ledger.ErrInvalidTicket))
}

// Guards against accepting a ticket that an earlier boot of the agent issued.
func TestTicketsDifferBetweenBoots(t *testing.T) {
	g := NewWithT(t)
	old, _ := ledger.New(ident.BootAt(t0)).Grant(t0, "a")
	l := ledger.New(ident.BootAt(t0.Add(time.Second)))
	_, err := l.Grant(t0, "a")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.Dispatch(t0, "a", old)).To(MatchError(ledger.ErrInvalidTicket))
}

// Guards against a full ledger that drops an id before its retention time has passed.
func TestFullLedgerRefusesGrantsUntilRecordsExpire(t *testing.T) {
	g := NewWithT(t)
	l := ledger.New(1, ledger.WithRecordsMax(3))
	for i := range 3 {
		id := ident.RequestID(strconv.Itoa(i))
		ticket, err := l.Grant(t0, id)
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(l.Dispatch(t0, id, ticket)).To(Succeed())
	}
	l.RecordEnd(t0, "0")
	beforeExpiry := t0.Add(ledger.Retention - 1)
	_, err := l.Grant(beforeExpiry, "x")
	g.Expect(err).To(MatchError(ledger.ErrFull))
	g.Expect(l.State(beforeExpiry, "0")).To(Equal(ledger.Ended))
	_, err = l.Grant(t0.Add(ledger.Retention), "x")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(l.State(t0.Add(100*ledger.Retention), "1")).To(Equal(ledger.Running))
}

// Guards against a second attempt that may run while the first holds the claim.
func TestClaimNamesTheFirstAttempt(t *testing.T) {
	g := NewWithT(t)
	c := ledger.NewClaims()
	first := &wire.Claim{ID: "r", Account: "a", Attempt: "1"}
	_, err := c.Claim(t0, first)
	g.Expect(err).NotTo(HaveOccurred())
	_, err = c.Claim(t0, &wire.Claim{ID: "r", Account: "a", Attempt: "1", Agent: "vm1", Boot: 7})
	g.Expect(err).NotTo(HaveOccurred())
	got, err := c.Claim(t0, &wire.Claim{ID: "r", Account: "a", Attempt: "2", Agent: "vm2", Boot: 8})
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(got).To(Equal(&wire.ClaimReply{ID: "r", Attempt: "1", Agent: "vm1", Boot: 7}))
	_, err = c.Claim(t0, &wire.Claim{ID: "r", Account: "b", Attempt: "3"})
	g.Expect(err).To(MatchError(ledger.ErrWrongAccount))
}

// Guards against a claim that is removed at the request of a process that does not hold it, and against one that
// is never removed.
func TestClaimEndsByReleaseReportOrExpiry(t *testing.T) {
	g := NewWithT(t)
	c := ledger.NewClaims(ledger.WithClaimsMax(1))
	claim := &wire.Claim{ID: "r", Account: "a", Attempt: "1", Agent: "vm1", Boot: 7}
	renew := func(at time.Time) { _, err := c.Claim(at, claim); g.Expect(err).NotTo(HaveOccurred()) }
	renew(t0)
	g.Expect(c.Release(&wire.Release{ID: "r", Attempt: "2"})).To(BeFalse())
	g.Expect(c.ReleaseUnreceived("r", "vm1", 6)).To(BeFalse())
	g.Expect(c.ReleaseUnreceived("r", "vm1", 7)).To(BeTrue())
	renew(t0)
	g.Expect(c.Release(&wire.Release{ID: "r", Attempt: "1"})).To(BeTrue())

	renew(t0)
	for i := range 100 { // updates renew the claim and must not grow memory without bound
		renew(t0.Add(time.Duration(i) * time.Second))
	}
	other := &wire.Claim{ID: "s", Account: "a", Attempt: "9"}
	_, err := c.Claim(t0.Add(ledger.ClaimTTL), other)
	g.Expect(err).To(MatchError(ledger.ErrTooManyClaims))
	_, err = c.Claim(t0.Add(99*time.Second+ledger.ClaimTTL), other)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(c.Len()).To(Equal(1))
}
