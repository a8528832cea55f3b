package store_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/store"
	"hickoryvane.example/core/store/memory"
)

// late is a store whose first update is not answered and takes effect only after the next read.
type delayedStore struct {
	*memory.Store
	delayed *store.Object
	updates int
}

func (l *delayedStore) Update(ctx context.Context, o store.Object) (store.Object, error) {
	if l.updates++; l.updates == 1 {
		l.delayed = &o
		return store.Object{}, store.ErrOutcomeUnknown
	}
	return l.Store.Update(ctx, o)
}

func (l *delayedStore) Get(ctx context.Context, sort, name string) (store.Object, error) {
	o, err := l.Store.Get(ctx, sort, name)
	if held := l.delayed; held != nil {
		l.delayed = nil
		_, _ = l.Store.Update(ctx, *held) // its outcome is what the test reads back
	}
	return o, err
}

func createLease(g *WithT, s store.Store, value string) store.Object {
	o, err := s.Create(context.Background(), store.Object{Kind: "lease", Name: "l", Value: []byte(value)})
	g.Expect(err).NotTo(HaveOccurred())
	return o
}

func hasValue(value string) func(store.Object) bool {
	return func(o store.Object) bool { return string(o.Value) == value }
}

// Guards against a late first write that is missed by the read-back and then written once more.
func TestResolveWriteFindsDelayedWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := &delayedStore{Store: memory.New()}
		o := createLease(g, s, "old")
		o.Value = []byte("new")
		got, err := store.Write(t.Context(), s, o, hasValue("new"))
		g.Expect(err).NotTo(HaveOccurred())
		g.Expect(got.Rev).To(Equal(store.Rev("2")), "only one write took effect")
		g.Expect(s.updates).To(Equal(2), "the second was refused by its condition")
	})
}

// Guards against a lost answer that is taken for a success when another writer came first.
func TestResolveWriteReportsOtherWriter(t *testing.T) {
	g := NewWithT(t)
	s := memory.New()
	o := createLease(g, s, "theirs")
	mine := store.Object{Kind: "lease", Name: "l", Value: []byte("mine")}
	got, err := store.ResolveWrite(t.Context(), s, mine, hasValue("mine"))
	g.Expect(err).To(MatchError(store.ErrExists))
	g.Expect(got).To(Equal(o))
	mine.Rev = "0"
	_, err = store.ResolveWrite(t.Context(), s, mine, hasValue("mine"))
	g.Expect(err).To(MatchError(store.ErrConflict))
}

// Guards against an unknown outcome that is reported as a known one because the API is down.
func TestResolveWriteStaysUnknownDuringOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		s := memory.New()
		s.SetOutage(true)
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		_, err := store.ResolveWrite(ctx, s, store.Object{Kind: "lease", Name: "l"}, hasValue(""))
		g.Expect(err).To(MatchError(store.ErrOutcomeUnknown))
	})
}
