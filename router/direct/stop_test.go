package direct_test

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
)

// Guards against requests that run when a shutdown ends, and lose their connection without an answer.
func TestRequestsAtEndOfShutdownAreAnswered(t *testing.T) {
	const slots = 4
	x := startTarget(t, "t1", func(int, *http.Request, net.Conn) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	e := startRouter(t, x)
	answers := make(chan answer, slots+1)
	for range slots + 1 {
		go func() { answers <- e.request("POST", "/unsafe/", "x") }()
	}
	e.g.Eventually(x.requests).Should(HaveLen(slots))
	e.stop()
	codes := map[int]int{}
	for range slots + 1 {
		var a answer
		e.g.Eventually(answers, 3*time.Second).Should(Receive(&a))
		e.g.Expect(a.err).NotTo(HaveOccurred())
		if codes[a.code]++; a.code == http.StatusServiceUnavailable {
			e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
	}
	e.g.Expect(codes).To(Equal(map[int]int{http.StatusBadGateway: slots, http.StatusServiceUnavailable: 1}))
}

// streamScript answers with the number of events that the request names, one every gap.
func streamScript(gap time.Duration) func(int, *http.Request, net.Conn) bool {
	return func(_ int, r *http.Request, c net.Conn) bool {
		n, _ := strconv.Atoi(r.Header.Get("X-Events"))
		writeStreamHead(c, r)
		for i := range n {
			time.Sleep(gap)
			writeChunk(c, streamEvent(i+1))
		}
		_, err := io.WriteString(c, "0\r\n\r\n")
		return err == nil
	}
}

// startSlowStop starts a router whose shutdown lasts for some seconds, with routes of a long timeout and events of one
// token.
func startSlowStop(t *testing.T, targets ...*scriptedTarget) *env {
	e := newEnv(t)
	e.cfg.GraceSeconds = 6
	rs := routes()
	for i := range rs {
		rs[i].Timeout = 12 * time.Second
	}
	e.putObject("config", "main", config{Generation: 2, Routes: rs, Services: []route.Service{{Name: "s", TokensPerEvent: 1}}})
	for _, x := range targets {
		e.registerTarget(x, false)
	}
	e.runRouter(t, e.store)
	return e
}

// sendWhileStopping stops the router, whose balancer knows of no other one, and calls send for d from the time on at
// which new requests are placed with care.
func (e *env) sendWhileStopping(d time.Duration, send func()) {
	e.stop()
	time.Sleep(2600 * time.Millisecond)
	var all sync.WaitGroup
	for began := time.Now(); time.Since(began) < d; time.Sleep(40 * time.Millisecond) {
		all.Go(send)
	}
	all.Wait()
}

// Guards against streams that are taken late in a shutdown because their estimated duration is short, outlast it and are
// cut: each fourth is six times as long as estimated, and targets differ in speed.
func TestStreamsTakenWhileStoppingAreWhole(t *testing.T) {
	t.Parallel()
	e := startSlowStop(t, startTarget(t, "fast", streamScript(10*time.Millisecond)), startTarget(t, "slow", streamScript(40*time.Millisecond)))
	var n atomic.Int32
	send := func() answer {
		events := 10
		if n.Add(1)%4 == 0 {
			events = 60
		}
		return e.request("POST", "/stream/", "p", "X-Left", "12000", "X-Events", strconv.Itoa(events), "X-Length", "10")
	}
	var warm sync.WaitGroup
	for range 24 {
		warm.Go(func() { send() })
		time.Sleep(40 * time.Millisecond)
	}
	warm.Wait()
	var mu sync.Mutex
	codes := map[int]int{}
	e.sendWhileStopping(2*time.Second, func() {
		a := send()
		mu.Lock()
		defer mu.Unlock()
		codes[a.code]++
		e.g.Expect(a.err).NotTo(HaveOccurred())
		if a.code == http.StatusServiceUnavailable {
			e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
	})
	delete(codes, http.StatusOK)
	e.g.Expect(codes).To(HaveKey(http.StatusServiceUnavailable))
	e.g.Expect(codes).To(HaveLen(1))
}

// Guards against plain calls that are taken late in a shutdown as if none lasted longer than a second, run, and are
// answered 502 at its end; calls that surely end are served.
func TestCallsTakenWhileStoppingAreAnswered(t *testing.T) {
	for _, c := range []struct {
		name    string
		lasts   time.Duration
		timeout string
		served  bool
	}{
		{"long", 1500 * time.Millisecond, "6000", false},
		{"short", 20 * time.Millisecond, "6000", true},
		{"long with a short deadline", 1500 * time.Millisecond, "1000", true},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			x := startTarget(t, "t1", func(_ int, r *http.Request, k net.Conn) bool {
				time.Sleep(c.lasts)
				return writeAnswer(k, r, 200, "ok")
			})
			e := startSlowStop(t, x)
			for range 3 {
				e.g.Expect(e.request("POST", "/unsafe/", "x", "X-Left", "6000").code).To(Equal(http.StatusOK))
			}
			before := len(x.requests())
			var mu sync.Mutex
			codes := map[int]int{}
			e.sendWhileStopping(1800*time.Millisecond, func() {
				a := e.request("POST", "/unsafe/", "x", "X-Left", c.timeout)
				mu.Lock()
				defer mu.Unlock()
				codes[a.code]++
				e.g.Expect(a.err).NotTo(HaveOccurred())
			})
			e.g.Expect(codes).NotTo(HaveKey(http.StatusBadGateway))
			e.g.Expect(len(x.requests()) > before).To(Equal(c.served))
		})
	}
}
