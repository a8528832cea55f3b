package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
)

// reset closes a connection with a reset.
func resetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// Guards against a changed path, query, body or header on the way to the target, and against headers that
// concern one connection.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok", "X-Mark", "m") })
	w := startRouter(t, x)
	a := w.request("POST", "/safe/a%2Fb//c/?q=%20x", "body", "X-Other", "kept", "X-Key", "secret", "Connection", "X-Hop", "X-Hop", "gone")
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.code).To(Equal(200))
	w.g.Expect(a.body).To(Equal("ok"))
	w.g.Expect(a.header.Get("X-Mark")).To(Equal("m"))
	r := x.requests()[0]
	w.g.Expect(r.RequestURI).To(Equal("/safe/a%2Fb//c/?q=%20x"))
	w.g.Expect(r.Host).To(Equal("h.example"))
	w.g.Expect(x.bodies[0]).To(Equal("body"))
	w.g.Expect(r.Header.Get("X-Other")).To(Equal("kept"))
	w.g.Expect(r.Header.Get("X-Target")).To(Equal("t1"))
	for _, name := range []string{"X-Key", "X-Hop", "Accept-Encoding"} {
		w.g.Expect(r.Header).NotTo(HaveKey(name))
	}
}

// Guards against a request that runs twice: the connection is lost after the request was sent.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	lose := func(_ int, _ *http.Request, c net.Conn) bool { return resetConn(c) }
	x, y := startTarget(t, "t1", lose), startTarget(t, "t2", lose)
	w := startRouter(t, x, y)
	a := w.request("POST", "/unsafe/", "order")
	w.g.Expect(a.code).To(Equal(502), "nothing is promised about the run")
	w.g.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	w.g.Expect(len(x.requests()) + len(y.requests())).To(Equal(1))
}

// Guards against a failure that reaches the caller although another target can answer, and against more
// targets than the route allows.
func TestSafeRequestIsRetried(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		switch n.Add(1) {
		case 1:
			return resetConn(c)
		case 2:
			return writeAnswer(c, r, 200, "whole")
		}
		return resetConn(c)
	}
	w := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := w.request("GET", "/safe/", "")
	w.g.Expect(a.code).To(Equal(200))
	w.g.Expect(a.body).To(Equal("whole"))
	a = w.request("GET", "/safe/", "")
	w.g.Expect(a.code).To(Equal(502))
	w.g.Expect(n.Load()).To(BeEquivalentTo(4))
}

// Guards against a truncated answer that looks complete.
func TestTruncatedAnswerFails(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("X-Id"))
		return false
	})
	w := startRouter(t, x)
	w.g.Expect(w.request("POST", "/unsafe/", "x").code).To(Equal(502))
}

// Guards against the target's own failure being replaced.
func TestTargetFailureIsForwarded(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken", "X-Mark", "m") })
	w := startRouter(t, x)
	a := w.request("POST", "/unsafe/", "x")
	w.g.Expect(a.code).To(Equal(500))
	w.g.Expect(a.body).To(Equal("broken"))
	w.g.Expect(a.header.Get("X-Mark")).To(Equal("m"))
}

// Guards against a refusal of a target that ends the request, and against a 503 without a time to return.
func TestRefusedRequestIsPlacedElsewhere(t *testing.T) {
	refuse := func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 503, "", "X-Refused", "1") }
	x := startTarget(t, "t1", refuse)
	y := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	w := startRouter(t, x, y)
	for range 6 {
		w.g.Expect(w.request("POST", "/unsafe/", "x").code).To(Equal(200))
	}
	v := startRouter(t, startTarget(t, "t3", refuse))
	a := v.request("POST", "/unsafe/", "x")
	v.g.Expect(a.code).To(Equal(503))
	v.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	v.g.Expect(a.body).To(ContainSubstring(`"not run"`))
}

// Guards against a request at a target that took over an address.
func TestMisdirectedRequestIsPlacedElsewhere(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 421, "") })
	y := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	w := startRouter(t, x, y)
	for range 8 {
		w.g.Expect(w.request("POST", "/unsafe/", "x").code).To(Equal(200))
	}
	w.g.Expect(len(x.requests())).To(BeNumerically("<=", 1), "it rests after the first")
}

// Guards against an answer of an earlier request that is taken for that of the next one.
func TestStrayAnswerIsSkipped(t *testing.T) {
	x := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		if n == 2 {
			other := r.Clone(context.Background())
			other.Header.Set("X-Id", "someone else")
			writeAnswer(c, other, 200, "wrong")
		}
		return writeAnswer(c, r, 200, fmt.Sprint("right ", n))
	})
	w := startRouter(t, x)
	for n := 1; n <= 4; n++ {
		a := w.request("GET", "/safe/", "")
		w.g.Expect(a.body).To(Equal(fmt.Sprint("right ", n)))
	}
}

// Guards against bytes after a complete answer that reach the next caller.
func TestExtraBytesAreDiscarded(t *testing.T) {
	x := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		ok := writeAnswer(c, r, 200, fmt.Sprint("right ", n))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
		return ok
	})
	w := startRouter(t, x)
	for n := 1; n <= 4; n++ {
		a := w.request("GET", "/safe/", "")
		w.g.Expect(a.body).To(Equal(fmt.Sprint("right ", n)))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a resting connection that the target has closed, for a request that must not run twice.
func TestClosedConnectionIsNotReused(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeAnswer(c, r, 200, "ok")
		return false
	})
	w := startRouter(t, x)
	for range 5 {
		w.g.Expect(w.request("POST", "/unsafe/", "x").code).To(Equal(200))
		time.Sleep(5 * time.Millisecond)
	}
	w.g.Expect(x.requests()).To(HaveLen(5))
}

// Guards against an answer that comes before the body was read: the rest of the body must not be followed
// by another request.
func TestAnswerBeforeEndOfBodyIsForwarded(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "late") })
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g := NewWithT(t)
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			b := make([]byte, 512) // the head, and little of the body
			n, _ := c.Read(b)
			id := ""
			for _, l := range strings.Split(string(b[:n]), "\r\n") {
				if v, ok := strings.CutPrefix(l, "X-Id: "); ok {
					id = v
				}
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 400 X\r\nX-Id: %s\r\nContent-Length: 3\r\n\r\nbad", id)
		}
	}()
	early := &scriptedTarget{id: "t0", addr: ln.Addr().String()}
	w := startRouter(t, early)
	a := w.request("POST", "/unsafe/", strings.Repeat("x", 3<<20))
	w.g.Expect(a.code).To(Equal(400))
	w.g.Expect(a.body).To(Equal("bad"))
	_ = x
}

// Guards against events that are held back, doubled or lost.
func TestStreamIsForwardedEventByEvent(t *testing.T) {
	release := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		<-release
		writeChunk(c, streamEvent(2)+"id: 3\nda")
		writeChunk(c, "ta: piece 3\n\n")
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	})
	w := startRouter(t, x)
	req, _ := http.NewRequest("POST", "http://"+w.cfg.Listen+"/stream/", strings.NewReader("p"))
	req.Host = "h.example"
	req.Header.Set("X-Id", "s1")
	res, err := http.DefaultClient.Do(req)
	w.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	b := make([]byte, len(streamEvent(1)))
	_, err = res.Body.Read(b)
	w.g.Expect(err).NotTo(HaveOccurred())
	w.g.Expect(string(b)).To(Equal(streamEvent(1)), "the first event arrives before the second is made")
	close(release)
	rest := make([]byte, 0, 200)
	buf := make([]byte, 200)
	for {
		n, err := res.Body.Read(buf)
		rest = append(rest, buf[:n]...)
		if err != nil {
			break
		}
	}
	w.g.Expect(string(rest)).To(Equal(streamEvent(2) + streamEvent(3)))
}

// Guards against a cut stream that looks complete, and against one that is begun again.
func TestTruncatedStreamFails(t *testing.T) {
	cut := func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1)+"id: 2\nda")
		time.Sleep(20 * time.Millisecond)
		return resetConn(c)
	}
	x, y := startTarget(t, "t1", cut), startTarget(t, "t2", cut)
	w := startRouter(t, x, y)
	a := w.request("POST", "/stream/", "p")
	w.g.Expect(a.err).To(HaveOccurred())
	w.g.Expect(a.body).To(Equal(streamEvent(1)), "no part of an unfinished event")
	w.g.Expect(len(x.requests()) + len(y.requests())).To(Equal(1))
}

// Guards against a stream that ends although another target can go on, and against joined runs.
func TestStreamResumesAtAnotherTarget(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		if n.Add(1) == 1 {
			writeChunk(c, streamEvent(1)+streamEvent(2)+"id: 3\nda")
			time.Sleep(20 * time.Millisecond)
			return resetConn(c)
		}
		if r.Header.Get("Last-Event-Id") != "2" {
			return false
		}
		writeChunk(c, streamEvent(3)+streamEvent(4))
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	}
	w := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := w.request("POST", "/resume/", "p")
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4)))
}

// Guards against a stream that can be resumed and hangs at a target that went silent.
func TestStalledStreamResumesAtAnotherTarget(t *testing.T) {
	var n atomic.Int32
	hold := make(chan struct{})
	t.Cleanup(func() { close(hold) })
	script := func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		if n.Add(1) == 1 {
			writeChunk(c, streamEvent(1))
			<-hold
			return false
		}
		writeChunk(c, streamEvent(2))
		_, _ = c.Write([]byte("0\r\n\r\n"))
		return true
	}
	w := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := w.request("POST", "/resume/", "p")
	w.g.Expect(a.err).NotTo(HaveOccurred())
	w.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
}

// Guards against work for a caller that is gone.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	closed := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		_, _ = c.Read(make([]byte, 1)) // ends when the router closes the connection
		close(closed)
		return false
	})
	w := startRouter(t, x)
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+w.cfg.Listen+"/stream/", strings.NewReader("p"))
	req.Host = "h.example"
	req.Header.Set("X-Id", "left")
	res, err := http.DefaultClient.Do(req)
	w.g.Expect(err).NotTo(HaveOccurred())
	_, _ = res.Body.Read(make([]byte, 10))
	cancel()
	w.g.Eventually(closed, time.Second).Should(BeClosed())
}

// Guards against a request that outlasts the time limit of its route.
func TestRouteTimeoutIsAnswered(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	w := startRouter(t, x)
	rs := routes()
	rs[1].Timeout = 300 * time.Millisecond
	w.putObject("config", "main", config{Generation: 2, Routes: rs})
	w.g.Eventually(w.log.String).Should(ContainSubstring("generation=2"))
	began := time.Now()
	a := w.request("POST", "/unsafe/", "x")
	w.g.Expect(a.code).To(Equal(504))
	w.g.Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
}

// Guards against an older configuration that replaces a newer one, against refusals before any is known,
// and against routes and keys of the wrong generation.
func TestNewestConfigurationApplies(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	w := startRouter(t, x)
	w.g.Expect(w.request("GET", "/none/", "").code).To(Equal(404))
	rs := routes()
	rs[0].Public = false
	w.putObject("config", "main", config{Generation: 5, Routes: rs, Accounts: []route.Account{{Name: "acc", Keys: []string{"k"}, Rate: 10, Burst: 100, DefaultTokens: 60}}})
	w.g.Eventually(w.log.String).Should(ContainSubstring("generation=5"))
	w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(401))
	w.g.Expect(w.request("GET", "/safe/", "", "X-Key", "k").code).To(Equal(200))
	a := w.request("GET", "/safe/", "", "X-Key", "k")
	w.g.Expect(a.code).To(Equal(429), "60 of 100 tokens are taken")
	w.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	w.g.Expect(w.request("GET", "/safe/", "", "X-Key", "k").code).To(Equal(429), "a refusal gives nothing back")
	w.putObject("config", "main", config{Generation: 4, Routes: routes()})
	time.Sleep(50 * time.Millisecond)
	w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(401))
}

// Guards against requests at a leaving target, also after a later configuration was put in force.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	ok := func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") }
	x, y := startTarget(t, "t1", ok), startTarget(t, "t2", ok)
	w := startRouter(t, x, y)
	w.registerTarget(x, true)
	w.g.Eventually(w.log.String).Should(ContainSubstring("target is leaving"))
	w.putObject("config", "main", config{Generation: 9, Routes: routes()})
	w.g.Eventually(w.log.String).Should(ContainSubstring("generation=9"))
	before := len(x.requests())
	for range 10 {
		w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(200))
	}
	w.g.Expect(x.requests()).To(HaveLen(before))
}

// Guards against a router that serves nothing because the store is away.
func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	w := startRouter(t, x)
	w.store.SetOutage(true)
	w.g.Eventually(w.log.String, 3*time.Second).Should(ContainSubstring("object API is not available"))
	w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(200))
	w.store.SetOutage(false)
	w.g.Eventually(w.log.String, 3*time.Second).Should(ContainSubstring("object API is available again"))
	w.g.Expect(w.request("GET", "/safe/", "").code).To(Equal(200))
}

// Guards against a planned stop that cuts a request, and against a probe that says ready meanwhile.
func TestShutdownLetsRequestsFinish(t *testing.T) {
	begun := make(chan struct{})
	release := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		close(begun)
		<-release
		return writeAnswer(c, r, 200, "whole")
	})
	w := startRouter(t, x)
	got := make(chan answer, 1)
	go func() { got <- w.request("POST", "/unsafe/", "x") }()
	w.g.Eventually(begun, time.Second).Should(BeClosed())
	w.stop()
	w.g.Eventually(func() int {
		res, err := http.Get("http://" + w.cfg.Ready + "/")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}, time.Second).Should(Equal(503))
	time.Sleep(300 * time.Millisecond)
	close(release)
	var a answer
	w.g.Eventually(got, 2*time.Second).Should(Receive(&a))
	w.g.Expect(a.code).To(Equal(200))
	w.g.Expect(a.body).To(Equal("whole"))
}

// Guards against a new process that serves nothing while the store is away although another one knows the
// configuration and the targets.
func TestNewRouterReadsSnapshotOfPeer(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	w := startRouter(t, x)
	v := startSecondRouter(t, w)
	v.g.Expect(v.request("GET", "/safe/", "").code).To(Equal(503), "it knows nothing yet")
	w.registerRouter(v)
	v.awaitReady()
	v.g.Expect(v.request("GET", "/safe/", "").code).To(Equal(200))
}
