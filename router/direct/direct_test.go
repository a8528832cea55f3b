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
	"hickoryvane.example/router/relay"
)

// resetConn makes the close of a connection send a reset.
func resetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// Guards against a path, query, body or header that is changed on the way to the target, and against forwarded
// hop-by-hop headers.
func TestRequestIsForwardedUnchanged(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok", "X-Mark", "m") })
	e := startRouter(t, x)
	a := e.request("POST", "/safe/a%2Fb//c/?q=%20x", "body", "X-Other", "kept", "X-Key", "secret", "Connection", "X-Hop", "X-Hop", "gone")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.code).To(Equal(200))
	e.g.Expect(a.body).To(Equal("ok"))
	e.g.Expect(a.header.Get("X-Mark")).To(Equal("m"))
	r := x.requests()[0]
	e.g.Expect(r.RequestURI).To(Equal("/safe/a%2Fb//c/?q=%20x"))
	e.g.Expect(r.Host).To(Equal("h.example"))
	e.g.Expect(x.bodies[0]).To(Equal("body"))
	e.g.Expect(r.Header.Get("X-Other")).To(Equal("kept"))
	e.g.Expect(r.Header.Get("X-Target")).To(Equal("t1"))
	for _, name := range []string{"X-Key", "X-Hop", "Accept-Encoding"} {
		e.g.Expect(r.Header).NotTo(HaveKey(name))
	}
}

// Guards against a request that runs twice because it is retried after the connection was lost, when the target
// may have run it already.
func TestUnsafeRequestIsSentOnce(t *testing.T) {
	lose := func(_ int, _ *http.Request, c net.Conn) bool { return resetConn(c) }
	x, y := startTarget(t, "t1", lose), startTarget(t, "t2", lose)
	e := startRouter(t, x, y)
	a := e.request("POST", "/unsafe/", "order")
	e.g.Expect(a.code).To(Equal(502), "it is unknown whether the request ran")
	e.g.Expect(a.header.Get("Retry-After")).To(BeEmpty())
	e.g.Expect(len(x.requests()) + len(y.requests())).To(Equal(1))
}

// Guards against a failure that reaches the caller although another target can answer, and against more attempts
// than the route allows.
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
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := e.request("GET", "/safe/", "")
	e.g.Expect(a.code).To(Equal(200))
	e.g.Expect(a.body).To(Equal("whole"))
	a = e.request("GET", "/safe/", "")
	e.g.Expect(a.code).To(Equal(502))
	e.g.Expect(n.Load()).To(BeEquivalentTo(4))
}

// Guards against a truncated answer that looks complete to the caller: the target closes the connection early.
func TestTruncatedAnswerFails(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("X-Id"))
		return false
	})
	e := startRouter(t, x)
	e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(502))
}

// Guards against an answer of the router that replaces the failure answered by the target.
func TestTargetFailureIsForwarded(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 500, "broken", "X-Mark", "m") })
	e := startRouter(t, x)
	a := e.request("POST", "/unsafe/", "x")
	e.g.Expect(a.code).To(Equal(500))
	e.g.Expect(a.body).To(Equal("broken"))
	e.g.Expect(a.header.Get("X-Mark")).To(Equal("m"))
}

// Guards against a request that ends because one target refuses it, and against a 503 without Retry-After.
func TestRefusedRequestIsPlacedElsewhere(t *testing.T) {
	refuse := func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 503, "", "X-Refused", "1") }
	x := startTarget(t, "t1", refuse)
	y := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x, y)
	for range 6 {
		e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(200))
	}
	other := startRouter(t, startTarget(t, "t3", refuse))
	a := other.request("POST", "/unsafe/", "x")
	other.g.Expect(a.code).To(Equal(503))
	other.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	other.g.Expect(a.body).To(ContainSubstring(`"not run"`))
}

// Guards against requests that fail, or keep being sent, to an address that another target has taken over.
func TestMisdirectedRequestIsPlacedElsewhere(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 421, "") })
	y := startTarget(t, "t2", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x, y)
	for range 8 {
		e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(200))
	}
	e.g.Expect(len(x.requests())).To(BeNumerically("<=", 1), "it gets no requests after the first")
}

// Guards against an answer to an earlier request on the connection that is taken for the answer to the next one.
func TestStrayAnswerIsSkipped(t *testing.T) {
	x := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		if n == 2 {
			other := r.Clone(context.Background())
			other.Header.Set("X-Id", "someone else")
			writeAnswer(c, other, 200, "wrong")
		}
		return writeAnswer(c, r, 200, fmt.Sprint("right ", n))
	})
	e := startRouter(t, x)
	for n := 1; n <= 4; n++ {
		a := e.request("GET", "/safe/", "")
		e.g.Expect(a.body).To(Equal(fmt.Sprint("right ", n)))
	}
}

// Guards against bytes after a complete answer that are read as the answer to the next request.
func TestExtraBytesAreDiscarded(t *testing.T) {
	x := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		ok := writeAnswer(c, r, 200, fmt.Sprint("right ", n))
		_, _ = c.Write([]byte("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwrong"))
		return ok
	})
	e := startRouter(t, x)
	for n := 1; n <= 4; n++ {
		a := e.request("GET", "/safe/", "")
		e.g.Expect(a.body).To(Equal(fmt.Sprint("right ", n)))
		time.Sleep(5 * time.Millisecond)
	}
}

// Guards against a request that must not run twice and is sent on an idle connection that the target has closed.
func TestClosedConnectionIsNotReused(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeAnswer(c, r, 200, "ok")
		return false
	})
	e := startRouter(t, x)
	for range 5 {
		e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(200))
		time.Sleep(5 * time.Millisecond)
	}
	e.g.Expect(x.requests()).To(HaveLen(5))
}

// Guards against a lost answer, and a reused connection, when the target answers before it has read the body:
// the rest of the body must not be followed by another request.
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
	e := startRouter(t, early)
	a := e.request("POST", "/unsafe/", strings.Repeat("x", 3<<20))
	e.g.Expect(a.code).To(Equal(400))
	e.g.Expect(a.body).To(Equal("bad"))
	_ = x
}

// Guards against events that are delayed, duplicated or lost.
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
	e := startRouter(t, x)
	req, _ := http.NewRequest("POST", "http://"+e.cfg.Listen+"/stream/", strings.NewReader("p"))
	req.Host = "h.example"
	req.Header.Set("X-Id", "s1")
	res, err := http.DefaultClient.Do(req)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = res.Body.Close() }()
	b := make([]byte, len(streamEvent(1)))
	_, err = res.Body.Read(b)
	e.g.Expect(err).NotTo(HaveOccurred())
	e.g.Expect(string(b)).To(Equal(streamEvent(1)), "the first event arrives before the second is made")
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
	e.g.Expect(string(rest)).To(Equal(streamEvent(2) + streamEvent(3)))
}

// Guards against a truncated stream that looks complete, and against a stream without resumption that is started
// again at another target.
func TestTruncatedStreamFails(t *testing.T) {
	truncate := func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1)+"id: 2\nda")
		time.Sleep(20 * time.Millisecond)
		return resetConn(c)
	}
	x, y := startTarget(t, "t1", truncate), startTarget(t, "t2", truncate)
	e := startRouter(t, x, y)
	a := e.request("POST", "/stream/", "p")
	e.g.Expect(a.err).To(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1)), "no part of an unfinished event")
	e.g.Expect(len(x.requests()) + len(y.requests())).To(Equal(1))
}

// Guards against a stream that ends although another target can resume it, and against events that are missing or
// repeated where the two runs meet.
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
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := e.request("POST", "/resume/", "p")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2) + streamEvent(3) + streamEvent(4)))
}

// Guards against a resumable stream that hangs because its target stopped sending events.
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
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := e.request("POST", "/resume/", "p")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
}

// Guards against a request that goes on running at the target after the caller disconnected.
func TestClientDisconnectCancelsRequest(t *testing.T) {
	closed := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		_, _ = c.Read(make([]byte, 1)) // ends when the router closes the connection
		close(closed)
		return false
	})
	e := startRouter(t, x)
	ctx, cancel := context.WithCancel(context.Background())
	req, _ := http.NewRequestWithContext(ctx, "POST", "http://"+e.cfg.Listen+"/stream/", strings.NewReader("p"))
	req.Host = "h.example"
	req.Header.Set("X-Id", "left")
	res, err := http.DefaultClient.Do(req)
	e.g.Expect(err).NotTo(HaveOccurred())
	_, _ = res.Body.Read(make([]byte, 10))
	cancel()
	e.g.Eventually(closed, time.Second).Should(BeClosed())
}

// Guards against a request that runs longer than the time limit of its route.
func TestRouteTimeoutIsAnswered(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = c.Read(make([]byte, 1))
		return false
	})
	e := startRouter(t, x)
	rs := routes()
	rs[1].Timeout = 300 * time.Millisecond
	e.putObject("config", "main", config{Generation: 2, Routes: rs})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=2"))
	began := time.Now()
	a := e.request("POST", "/unsafe/", "x")
	e.g.Expect(a.code).To(Equal(504))
	e.g.Expect(time.Since(began)).To(BeNumerically("<", 800*time.Millisecond))
}

// Guards against an older configuration that replaces a newer one, and against routes, keys and limits that do not
// follow the configuration in force.
func TestNewestConfigurationApplies(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x)
	e.g.Expect(e.request("GET", "/none/", "").code).To(Equal(404))
	rs := routes()
	rs[0].Public = false
	e.putObject("config", "main", config{Generation: 5, Routes: rs, Accounts: []route.Account{{Name: "acc", Keys: []string{"k"}, Rate: 10, Burst: 100, DefaultTokens: 60}}})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=5"))
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(401))
	e.g.Expect(e.request("GET", "/safe/", "", "X-Key", "k").code).To(Equal(200))
	a := e.request("GET", "/safe/", "", "X-Key", "k")
	e.g.Expect(a.code).To(Equal(429), "60 of 100 tokens were charged")
	e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
	e.g.Expect(e.request("GET", "/safe/", "", "X-Key", "k").code).To(Equal(429), "a refused request refunds nothing")
	e.putObject("config", "main", config{Generation: 4, Routes: routes()})
	time.Sleep(50 * time.Millisecond)
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(401))
}

// Guards against requests to a draining target, also after a later configuration was put in force.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	ok := func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") }
	x, y := startTarget(t, "t1", ok), startTarget(t, "t2", ok)
	e := startRouter(t, x, y)
	e.registerTarget(x, true)
	e.g.Eventually(e.log.String).Should(ContainSubstring("target is leaving"))
	e.putObject("config", "main", config{Generation: 9, Routes: routes()})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=9"))
	before := len(x.requests())
	for range 10 {
		e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	}
	e.g.Expect(x.requests()).To(HaveLen(before))
}

// Guards against a router that stops serving because the store is unreachable.
func TestRequestsAreServedDuringStoreOutage(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x)
	e.store.SetOutage(true)
	e.g.Eventually(e.log.String, 3*time.Second).Should(ContainSubstring("object API is not available"))
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
	e.store.SetOutage(false)
	e.g.Eventually(e.log.String, 3*time.Second).Should(ContainSubstring("object API is available again"))
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200))
}

// Guards against a graceful shutdown that breaks off a running request, and against a probe that reports ready
// during the shutdown.
func TestShutdownLetsRequestsFinish(t *testing.T) {
	begun := make(chan struct{})
	release := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		close(begun)
		<-release
		return writeAnswer(c, r, 200, "whole")
	})
	e := startRouter(t, x)
	got := make(chan answer, 1)
	go func() { got <- e.request("POST", "/unsafe/", "x") }()
	e.g.Eventually(begun, time.Second).Should(BeClosed())
	e.stop()
	e.g.Eventually(func() int {
		res, err := http.Get("http://" + e.cfg.Ready + "/")
		if err != nil {
			return 0
		}
		defer func() { _ = res.Body.Close() }()
		return res.StatusCode
	}, time.Second).Should(Equal(503))
	time.Sleep(300 * time.Millisecond)
	close(release)
	var a answer
	e.g.Eventually(got, 2*time.Second).Should(Receive(&a))
	e.g.Expect(a.code).To(Equal(200))
	e.g.Expect(a.body).To(Equal("whole"))
}

// Guards against a new process that cannot serve while the store is unreachable, although another router knows
// the configuration and the targets.
func TestNewRouterReadsSnapshotOfPeer(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x)
	other := startSecondRouter(t, e)
	other.g.Expect(other.request("GET", "/safe/", "").code).To(Equal(503), "it knows nothing yet")
	e.registerRouter(other)
	other.awaitReady()
	other.g.Expect(other.request("GET", "/safe/", "").code).To(Equal(200))
}

// Guards against a snapshot for a newer configuration that carries all registrations of targets, and against a whole
// one that lacks them.
func TestSnapshotWithoutTargets(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := startRouter(t, x)
	read := func(targets bool) (n int, config string) {
		s, err := relay.NewClient().Fetch(t.Context(), e.cfg.Admin, targets)
		e.g.Expect(err).NotTo(HaveOccurred())
		e.g.Expect(s.Config.Value).NotTo(BeEmpty())
		return len(s.Targets), string(s.Config.Value)
	}
	n, c := read(true)
	e.g.Expect(n).To(Equal(1))
	n, without := read(false)
	e.g.Expect(n).To(BeZero())
	e.g.Expect(without).To(Equal(c))
}
