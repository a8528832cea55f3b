package direct_test

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/store"
)

// evacuate requests the evacuation of a data centre, or ends it.
func (e *env) evacuate(centre string, on bool) {
	if on {
		e.putObject("evacuations", centre, struct{}{})
		return
	}
	o, err := e.store.Get(context.Background(), "evacuations", centre)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(e.store.Delete(context.Background(), o)).To(Succeed())
}

// newTwoCentres returns an environment with a target in each of two data centres; that of a1 streams until done ends.
func newTwoCentres(t *testing.T, done chan struct{}) (e *env, a, b *scriptedTarget) {
	a = startTarget(t, "ta", func(_ int, r *http.Request, c net.Conn) bool {
		if r.URL.Path != "/stream/" {
			return writeAnswer(c, r, 200, "ok")
		}
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		<-done
		writeChunk(c, streamEvent(2))
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})
	b = startTarget(t, "tb", answerOK)
	e = newEnv(t)
	e.cfg.Centres = append(e.cfg.Centres, conf.Centre{Name: "b1", Region: "a"})
	e.registerIn(a, "a1")
	e.registerIn(b, "b1")
	return e, a, b
}

// expectNone expects that none of some requests goes to a target.
func (e *env) expectNone(x *scriptedTarget) {
	before := len(x.requests())
	for range 10 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	}
	e.g.Expect(x.requests()).To(HaveLen(before))
}

func (e *env) awaitEvent(pattern string) {
	e.g.Eventually(e.log.String, 3*time.Second).Should(MatchRegexp(pattern))
}

// Guards against requests that go to an evacuated data centre, against running requests that are cut off there, against an
// evacuation that ends with the reach of the store, and against requests that wait while all data centres are evacuated.
func TestEvacuatedDataCentreGetsNoNewRequests(t *testing.T) {
	done := make(chan struct{})
	e, a, b := newTwoCentres(t, done)
	e.runRouter(t, e.store)
	running := make(chan answer)
	go func() { running <- e.request("GET", "/stream/", "") }()
	e.g.Eventually(a.requests).Should(HaveLen(1))
	e.evacuate("a1", true)
	e.evacuate("nowhere", true)
	e.awaitEvent("event=321 centre=a1")
	e.awaitEvent("event=323 .*name=nowhere")
	e.expectNone(a)
	e.store.SetOutage(true)
	e.awaitEvent("event=303 sort=evacuations")
	e.expectNone(a)
	e.store.SetOutage(false)
	close(done)
	e.g.Expect((<-running).body).To(Equal(streamEvent(1)+streamEvent(2)), "the running request ends on its own")
	e.evacuate("b1", true)
	e.awaitEvent("event=321 centre=b1")
	began := len(a.requests()) + len(b.requests())
	refused := e.request("GET", "/safe/", "")
	e.g.Expect(refused.code).To(Equal(503))
	e.g.Expect(refused.header.Get("Retry-After")).NotTo(BeEmpty())
	e.g.Expect(len(a.requests()) + len(b.requests())).To(Equal(began))
	e.evacuate("a1", false)
	e.awaitEvent("event=322 centre=a1")
	e.expectNone(b)
}

// Guards against a router that sends requests to an evacuated data centre because it started meanwhile, or because the
// store was restored from a copy without the evacuation.
func TestEvacuationSurvivesStartAndRestore(t *testing.T) {
	e, a, _ := newTwoCentres(t, nil)
	copied := e.store.Copy()
	e.evacuate("a1", true)
	slow := &lateEvacuations{StatusStore: e.store}
	e.runRouter(t, slow)
	e.expectNone(a)
	other := startSecondRouter(t, e) // its store is away, so only the first router can tell it
	e.registerRouter(other)
	other.awaitReady()
	other.expectNone(a)
	e.restore(func() { e.store.Restore(copied) })
	e.awaitEvent("event=310 sort=evacuations")
	e.expectNone(a)
	other.expectNone(a)
	e.evacuate("a1", true)
	e.expectNone(a)
	e.evacuate("a1", false)
	e.awaitEvent("event=322 centre=a1 source=store")
	other.awaitEvent("event=322 centre=a1 source=r1")
}

// lateEvacuations is a store whose lists of evacuations take longer than those of targets.
type lateEvacuations struct{ store.StatusStore }

func (s *lateEvacuations) List(ctx context.Context, kind string) ([]store.Object, store.Rev, error) {
	if kind == "evacuations" {
		time.Sleep(300 * time.Millisecond)
	}
	return s.StatusStore.List(ctx, kind)
}
