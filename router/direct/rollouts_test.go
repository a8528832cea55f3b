package direct_test

import (
	"context"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/moves"
	"hickoryvane.example/core/store"
)

// registerVersion registers a target of a version.
func (e *env) registerVersion(x *scriptedTarget, v ident.Version) {
	e.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 4, Boot: 1, Version: v})
}

// recordedState returns the state that the store holds for the rollout of the service.
func (e *env) recordedState() moves.State {
	o, err := e.store.Get(context.Background(), "orders", "s")
	e.g.Expect(err).NotTo(HaveOccurred())
	_, s, err := catalogue{}.DecodeRollout(o)
	e.g.Expect(err).NotTo(HaveOccurred())
	return s
}

// requestUntil sends requests one after the other until the state is recorded, and returns their number.
func (e *env) requestUntil(s moves.State) (n int) {
	for end := time.Now().Add(8 * time.Second); e.recordedState() != s && time.Now().Before(end); n++ {
		e.request("GET", "/safe/", "")
		time.Sleep(2 * time.Millisecond)
	}
	e.g.Expect(e.recordedState()).To(Equal(s), e.log.String()[max(0, len(e.log.String())-2000):])
	return n
}

func answerOK(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") }

// Guards against a good version that is not in use by the deadline, and against requests to the old targets
// afterwards, as these stop at once.
func TestGoodVersionIsRolledOut(t *testing.T) {
	old := startTarget(t, "t1", answerOK)
	fresh := startTarget(t, "t2", func(n int, r *http.Request, c net.Conn) bool {
		if n == 3 { // a single failure must not roll the version back
			return writeAnswer(c, r, 500, "broken")
		}
		return writeAnswer(c, r, 200, "ok")
	})
	e := startRouter(t)
	e.registerVersion(old, "v1")
	e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
	e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 2 * time.Second})
	e.registerVersion(fresh, "v2")
	began := time.Now()
	n := e.requestUntil(moves.Done)
	e.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	e.g.Expect(len(fresh.requests())).To(BeNumerically("<=", n/10+50))
	before := len(old.requests())
	for range 50 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	}
	e.g.Expect(old.requests()).To(HaveLen(before))
	e.g.Expect(e.log.String()).To(ContainSubstring("state=done reason= "), "a good version has no reason")
}

// Guards against a bad version that is put into use, and against requests to its targets once it was rolled back,
// also when the next rollout is to another version while they are still registered.
func TestBadVersionIsRolledBack(t *testing.T) {
	old := startTarget(t, "t1", answerOK)
	fresh := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken") })
	e := startRouter(t)
	e.registerVersion(old, "v1")
	e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
	e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 4 * time.Second})
	e.registerVersion(fresh, "v2")
	e.requestUntil(moves.RolledBack)
	e.g.Expect(len(fresh.requests())).To(BeNumerically("<", 50))
	e.g.Eventually(e.log.String).Should(ContainSubstring("move ended"))
	before := len(fresh.requests())
	for range 50 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	}
	e.g.Expect(fresh.requests()).To(HaveLen(before))
	// The next rollout is to another version, while targets of the bad one are still registered.
	next := startTarget(t, "t3", answerOK)
	e.putObject("orders", "s", moves.Request{Service: "s", To: "v3", Duration: 1500 * time.Millisecond})
	e.registerVersion(next, "v3")
	e.requestUntil(moves.Done)
	e.g.Expect(fresh.requests()).To(HaveLen(before))
}

// slowRolloutStore is a store whose lists of rollout requests show the state at the beginning of the call. While
// hold is true, each call waits for a value on gate.
type slowRolloutStore struct {
	store.StatusStore
	hold      atomic.Bool
	gate      chan struct{}
	listCalls atomic.Int32
}

func (s *slowRolloutStore) List(ctx context.Context, kind string) (all []store.Object, rev store.Rev, err error) {
	all, rev, err = s.StatusStore.List(ctx, kind)
	if kind == "orders" {
		s.listCalls.Add(1)
		if s.hold.Load() {
			select {
			case <-s.gate:
			case <-ctx.Done():
			}
		}
	}
	return all, rev, err
}

// Guards against a version that gets requests in proportion to the number of its targets, because they were seen
// before the rollout request, and against a version that waits for ever because no rollout is requested.
func TestUnknownVersionWaitsForRolloutList(t *testing.T) {
	slow := func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return writeAnswer(c, r, 200, "ok")
	}
	old, fresh, late := startTarget(t, "t1", slow), startTarget(t, "t2", slow), startTarget(t, "t3", slow)
	e := newEnv(t)
	slowStore := &slowRolloutStore{StatusStore: e.store, gate: make(chan struct{})}
	e.runRouter(t, slowStore)
	sendBurst := func() { // more requests than two targets have slots for
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { e.request("GET", "/safe/", "") })
		}
		all.Wait()
	}
	e.registerVersion(old, "v1")
	e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
	slowStore.hold.Store(true)
	listsBefore := slowStore.listCalls.Load()
	e.registerVersion(fresh, "v2")
	e.g.Eventually(slowStore.listCalls.Load).Should(BeNumerically(">", listsBefore), "an unknown version makes the router list the rollout requests")
	for range 5 {
		sendBurst()
	}
	e.g.Expect(fresh.requests()).To(BeEmpty())
	// A list that began before a version was first seen does not verify that version.
	e.registerVersion(late, "v3")
	e.g.Eventually(e.log.String).Should(ContainSubstring("target=t3 "))
	slowStore.gate <- struct{}{}
	e.g.Eventually(func() int {
		sendBurst()
		return len(fresh.requests())
	}, 3*time.Second).Should(BeNumerically(">", 0))
	e.g.Expect(late.requests()).To(BeEmpty())
	slowStore.gate <- struct{}{}
	e.g.Eventually(func() int {
		sendBurst()
		return len(late.requests())
	}, 3*time.Second).Should(BeNumerically(">", 0))
}

// Guards against two routers that record different results, and against a router that does not learn of a rollout
// from others while the store is unreachable for it.
func TestRoutersAgreeOnRolloutResult(t *testing.T) {
	var busy atomic.Bool
	old := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		if busy.Load() {
			time.Sleep(30 * time.Millisecond)
		}
		return writeAnswer(c, r, 200, "ok")
	})
	fresh := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken") })
	e := startRouter(t)
	e.registerVersion(old, "v1")
	e.g.Eventually(func() int { return e.request("GET", "/safe/", "").code }).Should(Equal(200))
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	other.g.Eventually(func() int { return other.request("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	e.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 5 * time.Second})
	e.registerVersion(fresh, "v2")
	other.g.Eventually(other.log.String, 2*time.Second).Should(ContainSubstring("move ordered"))
	// Only the first router sends enough requests to judge the version.
	e.requestUntil(moves.RolledBack)
	before := len(fresh.requests())
	time.Sleep(300 * time.Millisecond)
	for range 50 {
		other.request("GET", "/safe/", "")
	}
	other.g.Expect(fresh.requests()).To(HaveLen(before))
	other.g.Expect(strings.Count(e.log.String(), "move ended")).To(Equal(1))
	other.g.Expect(other.log.String()).To(ContainSubstring("version judged bad"), "this router adopts the verdict of another one")
	// A process that starts now reads the result from another router.
	third := startSecondRouter(t, e)
	e.registerRouter(third)
	third.g.Eventually(func() int { return third.request("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	busy.Store(true)
	var all sync.WaitGroup
	for range 12 { // more requests than the old target has slots for
		all.Go(func() { third.request("GET", "/safe/", "") })
	}
	all.Wait()
	third.g.Expect(fresh.requests()).To(HaveLen(before))
}
