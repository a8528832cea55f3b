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
func (w *world) enter(x *target, v ident.Version) {
	w.put("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 4, Born: 1, Version: v})
}

// recorded returns the state that the store holds for the move of the service.
func (w *world) recorded() moves.State {
	o, err := w.store.Get(context.Background(), "orders", "s")
	w.g.Expect(err).NotTo(HaveOccurred())
	_, s, err := catalogue{}.Order(o)
	w.g.Expect(err).NotTo(HaveOccurred())
	return s
}

// ramp sends requests one after the other until the state is recorded, and returns their number.
func (w *world) ramp(s moves.State) (n int) {
	for end := time.Now().Add(8 * time.Second); w.recorded() != s && time.Now().Before(end); n++ {
		w.ask("GET", "/safe/", "")
		time.Sleep(2 * time.Millisecond)
	}
	w.g.Expect(w.recorded()).To(Equal(s), w.log.String()[max(0, len(w.log.String())-2000):])
	return n
}

func fine(_ int, r *http.Request, c net.Conn) bool { return say(c, r, 200, "ok") }

// Guards against a good version that is not taken by the deadline, and against requests at the old targets,
// which stop at once, afterwards.
func TestMoveToGoodVersion(t *testing.T) {
	old := serve(t, "t1", fine)
	fresh := serve(t, "t2", func(n int, r *http.Request, c net.Conn) bool {
		if n == 3 { // a single failure is no reason
			return say(c, r, 500, "broken")
		}
		return say(c, r, 200, "ok")
	})
	w := start(t)
	w.enter(old, "v1")
	w.g.Eventually(func() int { return w.ask("GET", "/safe/", "").code }).Should(Equal(200))
	w.put("orders", "s", moves.Order{Service: "s", To: "v2", Length: 2 * time.Second})
	w.enter(fresh, "v2")
	began := time.Now()
	n := w.ramp(moves.Done)
	w.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second))
	w.g.Expect(len(fresh.requests())).To(BeNumerically("<=", n/10+50))
	before := len(old.requests())
	for range 50 {
		w.g.Expect(w.ask("GET", "/safe/", "").code).To(Equal(200))
	}
	w.g.Expect(old.requests()).To(HaveLen(before))
	w.g.Expect(w.log.String()).To(ContainSubstring("state=done reason= "), "a good version has no reason")
}

// Guards against a bad version that is taken, and against requests for it once it was taken back, also when
// news of the order arrives late.
func TestMoveToBadVersion(t *testing.T) {
	old := serve(t, "t1", fine)
	fresh := serve(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return say(c, r, 500, "broken") })
	w := start(t)
	w.enter(old, "v1")
	w.g.Eventually(func() int { return w.ask("GET", "/safe/", "").code }).Should(Equal(200))
	w.put("orders", "s", moves.Order{Service: "s", To: "v2", Length: 4 * time.Second})
	w.enter(fresh, "v2")
	w.ramp(moves.Back)
	w.g.Expect(len(fresh.requests())).To(BeNumerically("<", 50))
	w.g.Eventually(w.log.String).Should(ContainSubstring("move ended"))
	before := len(fresh.requests())
	for range 50 {
		w.g.Expect(w.ask("GET", "/safe/", "").code).To(Equal(200))
	}
	w.g.Expect(fresh.requests()).To(HaveLen(before))
	// The next order is for another version, while targets of the bad one are still there.
	next := serve(t, "t3", fine)
	w.put("orders", "s", moves.Order{Service: "s", To: "v3", Length: 1500 * time.Millisecond})
	w.enter(next, "v3")
	w.ramp(moves.Done)
	w.g.Expect(fresh.requests()).To(HaveLen(before))
}

// slowOrders is a store whose lists of orders are as of their beginning. While hold is true, each waits for a
// value of gate.
type slowOrders struct {
	store.StatusStore
	hold  atomic.Bool
	gate  chan struct{}
	asked atomic.Int32
}

func (s *slowOrders) List(ctx context.Context, sort string) (all []store.Object, rev store.Rev, err error) {
	all, rev, err = s.StatusStore.List(ctx, sort)
	if sort == "orders" {
		s.asked.Add(1)
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
func TestStrangeVersionWaitsForTheOrders(t *testing.T) {
	slow := func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return say(c, r, 200, "ok")
	}
	old, fresh, late := serve(t, "t1", slow), serve(t, "t2", slow), serve(t, "t3", slow)
	w := newWorld(t)
	orders := &slowOrders{StatusStore: w.store, gate: make(chan struct{})}
	w.run(t, orders)
	press := func() { // more than two targets have slots for
		var all sync.WaitGroup
		for range 10 {
			all.Go(func() { w.ask("GET", "/safe/", "") })
		}
		all.Wait()
	}
	w.enter(old, "v1")
	w.g.Eventually(func() int { return w.ask("GET", "/safe/", "").code }).Should(Equal(200))
	orders.hold.Store(true)
	asked := orders.asked.Load()
	w.enter(fresh, "v2")
	w.g.Eventually(orders.asked.Load).Should(BeNumerically(">", asked), "an unknown version asks for the orders")
	for range 5 {
		press()
	}
	w.g.Expect(fresh.requests()).To(BeEmpty())
	// A list that began before a version was seen says nothing about that one.
	w.enter(late, "v3")
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
func TestRoutersAgreeOnTheEndOfAMove(t *testing.T) {
	var busy atomic.Bool
	old := serve(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		if busy.Load() {
			time.Sleep(30 * time.Millisecond)
		}
		return say(c, r, 200, "ok")
	})
	fresh := serve(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return say(c, r, 500, "broken") })
	w := start(t)
	w.enter(old, "v1")
	w.g.Eventually(func() int { return w.ask("GET", "/safe/", "").code }).Should(Equal(200))
	v := second(t, w)
	w.introduce(v)
	v.g.Eventually(func() int { return v.ask("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	w.put("orders", "s", moves.Order{Service: "s", To: "v2", Length: 5 * time.Second})
	w.enter(fresh, "v2")
	v.g.Eventually(v.log.String, 2*time.Second).Should(ContainSubstring("move ordered"))
	// Only the first router sends enough requests to judge the version.
	w.ramp(moves.Back)
	before := len(fresh.requests())
	time.Sleep(300 * time.Millisecond)
	for range 50 {
		v.ask("GET", "/safe/", "")
	}
	v.g.Expect(fresh.requests()).To(HaveLen(before))
	v.g.Expect(strings.Count(w.log.String(), "move ended")).To(Equal(1))
	v.g.Expect(v.log.String()).To(ContainSubstring("version judged bad"), "a verdict of another router changes what this one believes")
	// A process that starts now reads the end from another router.
	u := second(t, w)
	w.introduce(u)
	u.g.Eventually(func() int { return u.ask("GET", "/safe/", "").code }, 3*time.Second).Should(Equal(200))
	busy.Store(true)
	var all sync.WaitGroup
	for range 12 { // more than the old target has slots for
		all.Go(func() { u.ask("GET", "/safe/", "") })
	}
	all.Wait()
	u.g.Expect(fresh.requests()).To(HaveLen(before))
}
