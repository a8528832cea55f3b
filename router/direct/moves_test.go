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
	old, fresh := serve(t, "t1", fine), serve(t, "t2", fine)
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
	w.g.Expect(w.log.String()).To(ContainSubstring("move ended"))
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

// Guards against a version that gets its part of the requests by the number of its targets, because they were
// seen before the order.
func TestStrangeVersionWaitsForTheOrders(t *testing.T) {
	var late atomic.Bool
	slow := func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(50 * time.Millisecond)
		return say(c, r, 200, "ok")
	}
	old := serve(t, "t1", slow)
	fresh := serve(t, "t2", func(n int, r *http.Request, c net.Conn) bool {
		late.Store(true)
		return slow(n, r, c)
	})
	w := start(t)
	w.enter(old, "v1")
	w.g.Eventually(func() int { return w.ask("GET", "/safe/", "").code }).Should(Equal(200))
	w.enter(fresh, "v2") // no order: the version may be used as soon as the orders were read again
	w.g.Eventually(func() bool {
		var all sync.WaitGroup
		for range 6 { // more than one target has slots for
			all.Go(func() { w.ask("GET", "/safe/", "") })
		}
		all.Wait()
		return late.Load()
	}, 3*time.Second).Should(BeTrue())
}

// Guards against two routers that record different ends, and a router that learns of a move from nobody while
// the store does not answer it.
func TestRoutersAgreeOnTheEndOfAMove(t *testing.T) {
	old := serve(t, "t1", fine)
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
}
