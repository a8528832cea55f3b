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

// enter registers a target of a version.
func (w *env) registerVersion(x *scriptedTarget, v ident.Version) {
	w.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 4, Boot: 1, Version: v})
}

// recorded returns the state that the store holds for the move of the service.
func (w *env) recordedState() moves.State {
	o, err := w.store.Get(context.Background(), "orders", "s")
	w.g.Expect(err).NotTo(HaveOccurred())
	_, s, err := catalogue{}.DecodeRollout(o)
	w.g.Expect(err).NotTo(HaveOccurred())
	return s
}

// ramp sends requests one after the other until the state is recorded, and returns their number.
func (w *env) requestUntil(s moves.State) (n int) {
	for end := time.Now().Add(8 * time.Second); w.recordedState() != s && time.Now().Before(end); n++ {
		w.request("GET", "/safe/", "")
		time.Sleep(2 * time.Millisecond)
	}
	w.g.Expect(w.recordedState()).To(Equal(s), w.log.String()[max(0, len(w.log.String())-2000):])
	return n
}

func answerOK(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") }

// Guards against a good version that is not taken by the deadline, and against requests at the old targets,
// which stop at once, afterwards.
func TestGoodVersionIsRolledOut(t *testing.T) {
	old := startTarget(t, "t1", answerOK)
	fresh := startTarget(t, "t2", func(n int, r *http.Request, c net.Conn) bool {
		if n == 3 { // a single failure is no reason
			return writeAnswer(c, r, 500, "broken")
		}
		return writeAnswer(c, r, 200, "ok")
	})
	w := startRouter(t)
	w.registerVersion(old, "v1")
	w.g.Eventually(func() int { return w.request("GET", "/safe/", "").code }).Should(Equal(200))
	w.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 2 * time.Second})
	w.registerVersion(fresh, "v2")
	began := time.Now()
	n := w.requestUntil(moves.Done)
	w.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	w.g.Expect(len(fresh.requests())).To(BeNumerically("<=", n/10+50))
	before := len(old.requests())
	for range 50 {
		w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(200))
	}
	w.g.Expect(old.requests()).To(HaveLen(before))
	w.g.Expect(w.log.String()).To(ContainSubstring("state=done reason= "), "a good version has no reason")
}

// Guards against a bad version that is taken, and against requests for it once it was taken back, also when
// news of the order arrives late.
func TestBadVersionIsRolledBack(t *testing.T) {
	old := startTarget(t, "t1", answerOK)
	fresh := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken") })
	w := startRouter(t)
	w.registerVersion(old, "v1")
	w.g.Eventually(func() int { return w.request("GET", "/safe/", "").code }).Should(Equal(200))
	w.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 4 * time.Second})
	w.registerVersion(fresh, "v2")
	w.requestUntil(moves.RolledBack)
	w.g.Expect(len(fresh.requests())).To(BeNumerically("<", 50))
	w.g.Eventually(w.log.String).Should(ContainSubstring("move ended"))
	before := len(fresh.requests())
	for range 50 {
		w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(200))
	}
	w.g.Expect(fresh.requests()).To(HaveLen(before))
	// The next order is for another version, while targets of the bad one are still there.
	next := startTarget(t, "t3", answerOK)
	w.putObject("orders", "s", moves.Request{Service: "s", To: "v3", Duration: 1500 * time.Millisecond})
	w.registerVersion(next, "v3")
	w.requestUntil(moves.Done)
	w.g.Expect(fresh.requests()).To(HaveLen(before))
}

// slowOrders is a store whose lists of orders are as of their beginning. While hold is true, each waits for a
// value of gate.
type slowRolloutStore struct {
	store.StatusStore
	hold      atomic.Bool
	gate      chan struct{}
	listCalls atomic.Int32
}

func (s *slowRolloutStore) List(ctx context.Context, sort string) (all []store.Object, rev store.Rev, err error) {
	all, rev, err = s.StatusStore.List(ctx, sort)
	if sort == "orders" {
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

// Guards against a version that gets its part of the requests by the number of its targets, because they were
// seen before the order, and against one that waits for ever without an order.
func TestUnknownVersionWaitsForRolloutList(t *testing.T) {
	slow := func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return writeAnswer(c, r, 200, "ok")
	}
	old, fresh, late := startTarget(t, "t1", slow), startTarget(t, "t2", slow), startTarget(t, "t3", slow)
	w := newEnv(t)
	orders := &slowRolloutStore{StatusStore: w.store, gate: make(chan struct{})}
	w.runRouter(t, orders)
	press := func() { // more than two targets have slots for
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { w.request("GET", "/safe/", "") })
		}
		all.Wait()
	}
	w.registerVersion(old, "v1")
	w.g.Eventually(func() int { return w.request("GET", "/safe/", "").code }).Should(Equal(200))
	orders.hold.Store(true)
	asked := orders.listCalls.Load()
	w.registerVersion(fresh, "v2")
	w.g.Eventually(orders.listCalls.Load).Should(BeNumerically(">", asked), "an unknown version asks for the orders")
	for range 5 {
		press()
	}
	w.g.Expect(fresh.requests()).To(BeEmpty())
	// A list that began before a version was seen says nothing about that one.
	w.registerVersion(late, "v3")
	w.g.Eventually(w.log.String).Should(ContainSubstring("target=t3 "))
	orders.gate <- struct{}{}
	w.g.Eventually(func() int {
		press()
		return len(fresh.requests())
	}, 3*time.Second).Should(BeNumerically(">", 0))
	w.g.Expect(late.requests()).To(BeEmpty())
	orders.gate <- struct{}{}
	w.g.Eventually(func() int {
		press()
		return len(late.requests())
	}, 3*time.Second).Should(BeNumerically(">", 0))
}

// Guards against two routers that record different ends, and a router that learns of a move from nobody while
// the store does not answer it.
func TestRoutersAgreeOnRolloutResult(t *testing.T) {
	var busy atomic.Bool
	old := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		if busy.Load() {
			time.Sleep(30 * time.Millisecond)
		}
		return writeAnswer(c, r, 200, "ok")
	})
	fresh := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken") })
	w := startRouter(t)
	w.registerVersion(old, "v1")
	w.g.Eventually(func() int { return w.request("GET", "/safe/", "").code }).Should(Equal(200))
	v := startSecondRouter(t, w)
	w.registerRouter(v)
	v.g.Eventually(func() int { return v.request("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	w.putObject("orders", "s", moves.Request{Service: "s", To: "v2", Duration: 5 * time.Second})
	w.registerVersion(fresh, "v2")
	v.g.Eventually(v.log.String, 2*time.Second).Should(ContainSubstring("move ordered"))
	// Only the first router sends enough requests to judge the version.
	w.requestUntil(moves.RolledBack)
	before := len(fresh.requests())
	time.Sleep(300 * time.Millisecond)
	for range 50 {
		v.request("GET", "/safe/", "")
	}
	v.g.Expect(fresh.requests()).To(HaveLen(before))
	v.g.Expect(strings.Count(w.log.String(), "move ended")).To(Equal(1))
	v.g.Expect(v.log.String()).To(ContainSubstring("version judged bad"), "a verdict of another router changes what this one believes")
	// A process that starts now reads the end from another router.
	u := startSecondRouter(t, w)
	w.registerRouter(u)
	u.g.Eventually(func() int { return u.request("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	busy.Store(true)
	var all sync.WaitGroup
	for range 12 { // more than the old target has slots for
		all.Go(func() { u.request("GET", "/safe/", "") })
	}
	all.Wait()
	u.g.Expect(fresh.requests()).To(HaveLen(before))
}
