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

// Guards against a write that overwrites the change of another writer because its revision is not checked, and
// against conflicts that are reported as another error.
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
	g.Expect(err).To(MatchError(store.ErrConflict), "an update without a revision is never unconditional")
	g.Expect(s.Delete(ctx, first)).To(MatchError(store.ErrConflict))
	g.Expect(s.Get(ctx, "lease", "moves")).To(Equal(second))
	g.Expect(s.Delete(ctx, second)).To(Succeed())
	g.Expect(s.Delete(ctx, second)).To(MatchError(store.ErrNotFound))
}

// Guards against a watch that loses changes made between the list and its start, reports objects of other kinds, or
// continues without an error after the history it needs was dropped.
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

// Guards against a watcher that hangs in an outage or treats it as the regular end of the watch.
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

// Guards against an error that says a write had no effect when it may have had one, and the reverse. The effect is
// unknown when the connection closes without an answer; it is excluded when the API refuses or nothing listens.
func TestErrorsTellWhetherAWriteCanHaveTakenEffect(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a, s := start(t)
	create := func() error { _, err := s.Create(ctx, object("", "a")); return err }
	a.SetFaults(objapi.Faults{Outage: true})
	g.Expect(create()).To(MatchError(store.ErrUnavailable))
	a.SetFaults(objapi.Faults{CloseConnections: true})
	g.Expect(create()).To(MatchError(store.ErrOutcomeUnknown))
	_, err := s.Get(ctx, "lease", "moves")
	g.Expect(err).To(MatchError(store.ErrUnavailable))
	a.SetFaults(objapi.Faults{UnansweredWrites: 1})
	g.Expect(create()).To(MatchError(store.ErrOutcomeUnknown))
	g.Expect(create()).To(MatchError(store.ErrExists))

	srv := httptest.NewServer(http.NotFoundHandler())
	addr := strings.TrimPrefix(srv.URL, "http://")
	srv.Close()
	_, err = store.NewHTTP(addr).Create(ctx, object("", "a"))
	g.Expect(err).To(MatchError(store.ErrUnavailable), "nothing listens")
}

// Guards against status codes such as 500 or 504, after which the write may have taken effect, that are treated as a
// refusal.
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

// Guards against a write that is sent a second time after its answer was lost, instead of reading the object back.
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

// Guards against a write that takes effect twice: its client timed out, and the write arrives afterwards.
func TestSlowWriteTakesEffectOnce(t *testing.T) {
	g, ctx := NewWithT(t), t.Context()
	a := objapi.New()
	srv, other := httptest.NewServer(a), httptest.NewServer(a)
	defer other.Close()
	addr := strings.TrimPrefix(srv.URL, "http://")
	a.SetFaults(objapi.Faults{DelayMillis: 300})
	mine := object("", "mine")
	_, err := store.NewHTTP(addr, store.WithTimeout(50*time.Millisecond)).Create(ctx, mine)
	g.Expect(err).To(MatchError(store.ErrOutcomeUnknown))
	a.SetFaults(objapi.Faults{})
	s := store.NewHTTP(strings.TrimPrefix(other.URL, "http://"))
	got, err := store.ResolveWrite(ctx, s, mine, func(o store.Object) bool { return string(o.Value) == "mine" })
	g.Expect(err).NotTo(HaveOccurred())
	srv.Close() // waits for the delayed write
	g.Expect(s.Get(ctx, "lease", "moves")).To(Equal(got))
	g.Expect(got.Rev).To(Equal(store.Rev("1")))
}

// Guards against a stand-in that does not enforce the rate limits of the platform.
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
