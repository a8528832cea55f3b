package entry

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
)

// lossy loses the answer of the next write after it took effect.
type lossyStore struct {
	store.Store
	lose bool
}

func (l *lossyStore) Create(ctx context.Context, o store.Object) (store.Object, error) {
	out, err := l.Store.Create(ctx, o)
	if l.lose && err == nil {
		l.lose = false
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return out, err
}

func newCreate(id, attempt ident.RequestID, at int64) CreateClaim {
	return CreateClaim{ID: id, Claim: Claim{Attempt: attempt, Agent: "a1", Boot: 7, CreatedUnix: at}}
}

// Guards against a claim that is lost, or written twice, when the answer of the object API was lost.
func TestClaimIsReadBackAfterLostAnswer(t *testing.T) {
	g := NewWithT(t)
	s := &lossyStore{Store: memory.New(), lose: true}
	res, held, err := writeClaim(t.Context(), s, newCreate("k", "first", 1))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).To(Equal(ClaimRecorded))
	g.Expect(held.Attempt).To(BeEquivalentTo("first"))
	res, held, err = writeClaim(t.Context(), s, newCreate("k", "second", 2))
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).To(Equal(ClaimHeld))
	g.Expect(held.Attempt).To(BeEquivalentTo("first"))
}

// Guards against two routers that both replace the claim of an attempt that never ran.
func TestAClaimIsReplacedOnce(t *testing.T) {
	g := NewWithT(t)
	s := memory.New()
	_, _, err := writeClaim(t.Context(), s, newCreate("k", "first", 1))
	g.Expect(err).NotTo(HaveOccurred())
	second, third := newCreate("k", "second", 2), newCreate("k", "third", 3)
	second.Replace, third.Replace = "first", "first"
	res, _, err := writeClaim(t.Context(), s, second)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).To(Equal(ClaimRecorded))
	res, held, err := writeClaim(t.Context(), s, third)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(res).To(Equal(ClaimHeld))
	g.Expect(held.Attempt).To(BeEquivalentTo("second"))
}

// Guards against the deletion of a claim whose request may still be sent again, and against claims kept for ever.
func TestOnlyOldClaimsAreDeleted(t *testing.T) {
	g := NewWithT(t)
	s, now := memory.New(), time.Unix(1_800_000_000, 0)
	for id, at := range map[ident.RequestID]time.Time{"old": now.Add(-25 * time.Hour), "new": now.Add(-23 * time.Hour)} {
		_, _, err := writeClaim(t.Context(), s, newCreate(id, id, at.Unix()))
		g.Expect(err).NotTo(HaveOccurred())
	}
	g.Expect(deleteClaims(t.Context(), s, now.Add(-claimRetention))).To(Succeed())
	_, err := s.Get(t.Context(), claimKind, "old")
	g.Expect(err).To(MatchError(store.ErrNotFound))
	o, err := s.Get(t.Context(), claimKind, "new")
	g.Expect(err).NotTo(HaveOccurred())
	var held Claim
	g.Expect(json.Unmarshal(o.Value, &held)).To(Succeed())
}
