package objapi_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/store"
	"hickoryvane.example/standin/objapi"
)

func start(t *testing.T) (*objapi.API, *store.HTTP) {
	a := objapi.New()
	srv := httptest.NewServer(a)
	t.Cleanup(srv.Close)
	return a, store.NewHTTP(strings.TrimPrefix(srv.URL, "http://"))
}

func stats(a *objapi.API) string {
	w := httptest.NewRecorder()
	a.ServeHTTP(w, httptest.NewRequest("GET", "/stats", nil))
	return w.Body.String()
}

func object(rev store.Rev, value string) store.Object {
	return store.Object{Kind: "lease", Name: "moves", Rev: rev, Value: []byte(value)}
}

// Guards against a write that replaces what another writer left, and conflicts reported as another error.
func TestWritesRequireCurrentRevision(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	_, s := start(t)
	_, err := s.Get(ctx, "lease", "moves")
	g.Expect(err).To(MatchError(store.ErrNotFound))
	first, err := s.Create(ctx, object("", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Create(ctx, object("", "b"))
	g.Expect(err).To(MatchError(store.ErrExists))
	second, err := s.Update(ctx, object(first.Rev, "c"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Update(ctx, object(first.Rev, "d"))
	g.Expect(err).To(MatchError(store.ErrConflict))
	_, err = s.Update(ctx, object("", "d"))
	g.Expect(err).To(MatchError(store.ErrConflict), "an update without a version is never unconditional")
	g.Expect(s.Delete(ctx, first)).To(MatchError(store.ErrConflict))
	g.Expect(s.Get(ctx, "lease", "moves")).To(Equal(second))
	g.Expect(s.Delete(ctx, second)).To(Succeed())
	g.Expect(s.Delete(ctx, second)).To(MatchError(store.ErrNotFound))
}

// Guards against a watch that loses changes made between the list and its start, mixes kinds, or
// goes on silently after the history it needs was dropped.
func TestWatchFollowsAList(t *testing.T) {
	g := NewWithT(t)
	a, s := start(t)
	ctx, cancel := context.WithCancel(t.Context())
	_, err := s.Create(ctx, object("", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	all, rev, err := s.List(ctx, "lease")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(HaveLen(1))
	second, err := s.Update(ctx, object(all[0].Rev, "b"))
	g.Expect(err).NotTo(HaveOccurred())
	_, err = s.Create(ctx, store.Object{Kind: "config", Name: "config"})
	g.Expect(err).NotTo(HaveOccurred())

	seen, ended := make(chan store.Change, 10), make(chan error, 1)
	go func() { ended <- s.Watch(ctx, "lease", rev, func(c store.Change) { seen <- c }) }()
	g.Expect(<-seen).To(Equal(store.Change{Object: second}))
	g.Expect(s.Delete(ctx, second)).To(Succeed())
	g.Expect((<-seen).Deleted).To(BeTrue())
	cancel()
	g.Expect(<-ended).To(MatchError(context.Canceled))

	a.SetFaults(objapi.Faults{DropHistory: true})
	g.Expect(s.Watch(t.Context(), "lease", rev, nil)).To(MatchError(store.ErrRevTooOld))
}

// Guards against a list that ends after its first page.
func TestListReadsAllPages(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	srv := httptest.NewServer(objapi.New(objapi.WithRateLimits(5000, 5000)))
	defer srv.Close()
	s := store.NewHTTP(strings.TrimPrefix(srv.URL, "http://"))
	for i := range 1001 {
		_, err := s.Create(ctx, store.Object{Kind: "claim", Name: fmt.Sprintf("c%04d", i)})
		g.Expect(err).NotTo(HaveOccurred())
	}
	all, rev, err := s.List(ctx, "claim")
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(all).To(HaveLen(1001))
	g.Expect(all[1000].Name).To(Equal("c1000"))
	g.Expect(rev).To(Equal(store.Rev("1001")))
}

// Guards against a watcher that hangs or takes an outage for a regular end.
func TestOutageEndsWatch(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a, s := start(t)
	_, rev, err := s.List(ctx, "lease")
	g.Expect(err).NotTo(HaveOccurred())
	seen, ended := make(chan store.Change, 1), make(chan error, 1)
	go func() { ended <- s.Watch(ctx, "lease", rev, func(c store.Change) { seen <- c }) }()
	_, err = s.Create(ctx, object("", "a"))
	g.Expect(err).NotTo(HaveOccurred())
	<-seen
	a.SetFaults(objapi.Faults{Outage: true})
	g.Expect(<-ended).To(MatchError(store.ErrUnavailable))
	g.Expect(s.Watch(ctx, "lease", rev, nil)).To(MatchError(store.ErrUnavailable))
}

// Guards against a write that is called without effect when it may have had one, and the reverse.
func TestErrorsTellWhetherAWriteCanHaveTakenEffect(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a, s := start(t)
	created := func() error { _, err := s.Create(ctx, object("", "a")); return err }
	a.SetFaults(objapi.Faults{Outage: true})
	g.Expect(created()).To(MatchError(store.ErrUnavailable))
	a.SetFaults(objapi.Faults{CloseConnections: true})
	g.Expect(created()).To(MatchError(store.ErrOutcomeUnknown))
	_, err := s.Get(ctx, "lease", "moves")
	g.Expect(err).To(MatchError(store.ErrUnavailable))
	a.SetFaults(objapi.Faults{UnansweredWrites: 1})
	g.Expect(created()).To(MatchError(store.ErrOutcomeUnknown))
	g.Expect(created()).To(MatchError(store.ErrExists))

	srv := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	_, err = store.NewHTTP(addr).Create(ctx, object("", "a"))
	g.Expect(err).To(MatchError(store.ErrUnavailable), "nothing listens")
}

// Guards against status codes that leave the outcome of a write open and are taken for a refusal.
func TestStatusCodesMapToWriteErrors(t *testing.T) {
	for code, want := range map[int]error{
		429: store.ErrUnavailable, 503: store.ErrUnavailable, 500: store.ErrOutcomeUnknown, 502: store.ErrOutcomeUnknown, 504: store.ErrOutcomeUnknown,
	} {
		srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }))
		_, err := store.NewHTTP(strings.TrimPrefix(srv.URL, "http://")).Update(t.Context(), object("1", "a"))
		NewWithT(t).Expect(err).To(MatchError(want), "status %d", code)
		srv.Close()
	}
}

// Guards against a write that is sent a second time after its answer was lost.
func TestWriteIsReadBackAfterLostAnswer(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a, s := start(t)
	same := func(o store.Object) bool { return string(o.Value) == "mine" }
	a.SetFaults(objapi.Faults{UnansweredWrites: 1})
	got, err := store.Write(ctx, s, object("", "mine"), same)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(same(got)).To(BeTrue())
	g.Expect(stats(a)).To(MatchJSON(`{"create":{"lease":1},"get":{"lease":1}}`))
}

// Guards against two effects of one write when the first arrives after its caller gave up on it.
func TestSlowWriteTakesEffectOnce(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a := objapi.New()
	srv, again := httptest.NewServer(a), httptest.NewServer(a)
	defer again.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	a.SetFaults(objapi.Faults{DelayMillis: 300})
	mine := object("", "mine")
	_, err := store.NewHTTP(addr, store.WithTimeout(50*time.Millisecond)).Create(ctx, mine)
	g.Expect(err).To(MatchError(store.ErrOutcomeUnknown))
	a.SetFaults(objapi.Faults{})
	s := store.NewHTTP(strings.TrimPrefix(again.URL, "http://"))
	got, err := store.ResolveWrite(ctx, s, mine, func(o store.Object) bool { return string(o.Value) == "mine" })
	g.Expect(err).NotTo(HaveOccurred())
	srv.Close() // waits for the slow write
	g.Expect(s.Get(ctx, "lease", "moves")).To(Equal(got))
	g.Expect(got.Rev).To(Equal(store.Rev("1")))
}

// Guards against a stand-in without the platform's limits.
func TestReadsOverLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewWithT(t)
		a := objapi.New(objapi.WithRateLimits(3, 1))
		code := func() int {
			w := httptest.NewRecorder()
			a.ServeHTTP(w, httptest.NewRequest("GET", store.GroupPath+"/lease", nil))
			return w.Code
		}
		for range 3 {
			g.Expect(code()).To(Equal(200))
		}
		g.Expect(code()).To(Equal(429))
		g.Expect(stats(a)).To(ContainSubstring(`"limited":{"lease":1}`))
	})
}
