package direct_test

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// endlessBytesMax bounds what a target can send before the router closes the connection: the limits of the router
// and the buffers of the sockets.
const endlessBytesMax = 32 << 20

// writeEndlessly writes s until the connection breaks, with a pause after each write, and returns the bytes written.
func writeEndlessly(c net.Conn, s string, pause time.Duration) (n int64) {
	for n < 4*endlessBytesMax {
		k, err := io.WriteString(c, s)
		n += int64(k)
		if err != nil {
			return n
		}
		time.Sleep(pause)
	}
	return n
}

// setRouteTimeout gives all routes a longer time limit.
func (e *env) setRouteTimeout(d time.Duration) {
	rs := routes()
	for i := range rs {
		rs[i].Timeout = d
	}
	e.putObject("config", "main", config{Generation: 2, Routes: rs})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=2"))
}

// Guards against a slow stream that is cut although the route allows no further run.
func TestSlowStreamAtLastTargetIsNotCut(t *testing.T) {
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
		time.Sleep(2500 * time.Millisecond)
		writeChunk(c, streamEvent(3))
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	e.setRouteTimeout(10 * time.Second)
	a := e.request("POST", "/resume/", "p", "X-Left", "10000")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2) + streamEvent(3)))
}

// Guards against a slow stream that is cut although no other target can go on with it.
func TestSlowStreamWithoutOtherTargetIsNotCut(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		time.Sleep(2 * time.Second)
		writeChunk(c, streamEvent(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	})
	e := startRouter(t, x)
	e.setRouteTimeout(10 * time.Second)
	a := e.request("POST", "/resume/", "p", "X-Left", "10000")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
	e.g.Expect(x.requests()).To(HaveLen(1))
}

// Guards against a stalled stream that never ends because its target sends bytes, but no events.
func TestPaddingIsNoProgress(t *testing.T) {
	for name, padding := range map[string]string{"empty lines": "\n", "comments": ": wait\n\n", "part of an event": "d"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var n atomic.Int32
			script := func(_ int, r *http.Request, c net.Conn) bool {
				writeStreamHead(c, r)
				if n.Add(1) > 1 {
					writeChunk(c, streamEvent(2))
					_, _ = io.WriteString(c, "0\r\n\r\n")
					return true
				}
				writeChunk(c, streamEvent(1))
				for range 100 {
					writeChunk(c, padding)
					time.Sleep(100 * time.Millisecond)
				}
				return false
			}
			e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
			e.setRouteTimeout(8 * time.Second)
			began := time.Now()
			a := e.request("POST", "/resume/", "p", "X-Left", "8000")
			e.g.Expect(a.err).NotTo(HaveOccurred())
			e.g.Expect(a.body).To(HavePrefix(streamEvent(1)))
			e.g.Expect(a.body).To(HaveSuffix(streamEvent(2)))
			e.g.Expect(time.Since(began)).To(BeNumerically("<", 4*time.Second))
		})
	}
}

// Guards against a safe call that fails because its target hangs, although another one would answer.
func TestStalledSafeCallIsAnsweredElsewhere(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		if n.Add(1) == 1 {
			_, _ = c.Read(make([]byte, 1))
			return false
		}
		return writeAnswer(c, r, 200, "ok")
	}
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	began := time.Now()
	e.g.Expect(e.request("GET", "/safe/", "").body).To(Equal("ok"))
	e.g.Expect(time.Since(began)).To(BeNumerically("<", 1500*time.Millisecond))
}

// Guards against bytes without end that use up memory, hold a request for ever, or reach the caller as an answer.
func TestEndlessBytesAreCut(t *testing.T) {
	line := strings.Repeat("x", 32<<10)
	head := "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		path, begin, repeat string
		// whole is true if the answer is complete before the bytes without end.
		whole bool
	}{
		"status line":     {path: "/unsafe/", begin: "HTTP/1.1 200 ", repeat: line},
		"header line":     {path: "/unsafe/", begin: head + "X-Long: ", repeat: line},
		"header lines":    {path: "/unsafe/", begin: head, repeat: "X-More: " + line[:100] + "\r\n"},
		"interim answers": {path: "/unsafe/", repeat: "HTTP/1.1 100 Continue\r\n\r\n"},
		"other answers":   {path: "/unsafe/", repeat: "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 2\r\n\r\nno"},
		"other's body":    {path: "/unsafe/", begin: "HTTP/1.1 200 OK\r\nX-Id: other\r\n\r\n", repeat: line},
		"body":            {path: "/unsafe/", begin: head + "Connection: close\r\n\r\n", repeat: line},
		"chunk line":      {path: "/unsafe/", begin: head + "Transfer-Encoding: chunked\r\n\r\n1;", repeat: line},
		"trailer":         {path: "/unsafe/", begin: head + "Transfer-Encoding: chunked\r\n\r\n0\r\n", repeat: "X-More: " + line[:100] + "\r\n"},
		"past the length": {path: "/unsafe/", begin: head + "Content-Length: 2\r\n\r\nok", repeat: line, whole: true},
		"event":           {path: "/stream/", begin: head + "\r\nid: 1\n", repeat: "data: " + line[:100] + "\n"},
		"line of event":   {path: "/stream/", begin: head + "\r\nid: 1\ndata: ", repeat: line},
		"empty lines":     {path: "/stream/", begin: head + "\r\n", repeat: strings.Repeat("\n", 4096)},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			sent := make(chan int64, 1)
			x := startTarget(t, "t1", func(n int, r *http.Request, k net.Conn) bool {
				if n > 1 {
					return writeAnswer(k, r, 200, "ok")
				}
				begin := c.begin
				if strings.Contains(begin, "%s") {
					begin = fmt.Sprintf(begin, r.Header.Get("X-Id"))
				}
				_, _ = io.WriteString(k, begin)
				sent <- writeEndlessly(k, c.repeat, 0)
				return false
			})
			e := startRouter(t, x)
			a := e.request("POST", c.path, "x")
			if c.whole {
				e.g.Expect(a.body).To(Equal("ok"))
			} else {
				e.g.Expect(a.err != nil || a.code == 502).To(BeTrue(), "%v", a)
				e.g.Expect(len(a.body)).To(BeNumerically("<", 1<<20))
			}
			var n int64
			e.g.Eventually(sent, 5*time.Second).Should(Receive(&n))
			e.g.Expect(n).To(BeNumerically("<", endlessBytesMax))
			e.g.Eventually(func() string { return e.request("GET", "/safe/", "").body }, 5*time.Second).Should(Equal("ok"))
		})
	}
}

// Guards against buffered answers that together use more memory than the process has.
func TestBufferedAnswersShareOneLimit(t *testing.T) {
	release := make(chan struct{})
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), 8<<20, strings.Repeat("x", 7<<20))
		<-release
		_, err := io.WriteString(c, strings.Repeat("x", 1<<20))
		return err == nil
	})
	e := newEnv(t)
	e.cfg.MemoryMB = 32 // all buffered answers together get the size of the largest one
	e.registerTarget(x, false)
	e.runRouter(t, e.store)
	var codes sync.Map
	var all sync.WaitGroup
	for i := range 4 {
		all.Go(func() { codes.Store(i, e.request("POST", "/unsafe/", "x").code) })
	}
	time.Sleep(time.Second)
	close(release)
	all.Wait()
	failed := 0
	codes.Range(func(_, code any) bool {
		if code == 502 {
			failed++
		}
		return true
	})
	e.g.Expect(failed).To(BeNumerically(">=", 2))
}

// Guards against a head that arrives byte by byte and holds a request beyond its time limit.
func TestTrickledHeadEndsAtTheDeadline(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, _ *http.Request, c net.Conn) bool {
		_, _ = io.WriteString(c, "HTTP/1.1 200 ")
		writeEndlessly(c, "x", 20*time.Millisecond)
		return false
	})
	e := startRouter(t, x)
	began := time.Now()
	e.g.Expect(e.request("POST", "/unsafe/", "x", "X-Left", "700").code).To(Equal(504))
	e.g.Expect(time.Since(began)).To(BeNumerically("<", 1200*time.Millisecond))
}

// Guards against a stream that is delivered as complete although it broke off in the middle of an event.
func TestUnframedStreamThatBreaksOffFails(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n%sid: 2\nda", r.Header.Get("X-Id"), streamEvent(1))
		return false
	})
	e := startRouter(t, x)
	a := e.request("POST", "/stream/", "p")
	e.g.Expect(a.err).To(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1)))
}

// Guards against an empty stream that is delivered as complete when its target crashed before the first event.
func TestUnframedStreamWithoutEventsFails(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nContent-Type: text/event-stream\r\n\r\n", r.Header.Get("X-Id"))
		return false
	})
	e := startRouter(t, x)
	e.g.Expect(e.request("POST", "/stream/", "p").code).To(Equal(502))
}

// Guards against a truncated stream that looks complete to a caller without HTTP/1.1, which reads to the end of the
// connection.
func TestTruncatedStreamIsResetForOldCallers(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		time.Sleep(50 * time.Millisecond)
		return resetConn(c)
	})
	e := startRouter(t, x)
	c, err := net.Dial("tcp", e.cfg.Listen)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	_, _ = io.WriteString(c, "POST /stream/ HTTP/1.0\r\nHost: h.example\r\nX-Id: old\r\nX-Left: 3000\r\nContent-Length: 1\r\n\r\np")
	_, err = io.Copy(io.Discard, c)
	e.g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
}

// Guards against a caller that is told that a request has not run because the last target refused it, when an
// earlier one lost its answer.
func TestRequestThatMayHaveRunIsNotReportedAsNotRun(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		if n.Add(1) == 1 {
			return resetConn(c)
		}
		return writeAnswer(c, r, 503, "", "X-Refused", "1")
	}
	e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
	a := e.request("GET", "/safe/", "")
	e.g.Expect(a.code).To(Equal(502))
	e.g.Expect(a.body).To(ContainSubstring(`"unknown"`))
	e.g.Expect(n.Load()).To(BeNumerically(">=", 2))
}

// Guards against a status that promises that the request has not run, when the target does not state that.
func TestStatusWithoutStatementIsNotForwarded(t *testing.T) {
	for _, code := range []int{408, 429, 503} {
		x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, code, "busy") })
		e := startRouter(t, x)
		a := e.request("POST", "/unsafe/", "x")
		e.g.Expect(a.code).To(Equal(502), "the target answered %d", code)
		e.g.Expect(x.requests()).To(HaveLen(1))
	}
}

// Guards against a second copy of an answer that arrives while the connection is in use for the next request.
func TestLateCopyOfAnAnswerIsSkipped(t *testing.T) {
	var last atomic.Pointer[http.Request]
	x := startTarget(t, "t1", func(n int, r *http.Request, c net.Conn) bool {
		if prev := last.Swap(r); prev != nil {
			writeAnswer(c, prev, 200, fmt.Sprint("answer ", n-1))
			time.Sleep(5 * time.Millisecond)
		}
		return writeAnswer(c, r, 200, fmt.Sprint("answer ", n))
	})
	e := startRouter(t, x)
	for n := 1; n <= 6; n++ {
		e.g.Expect(e.request("POST", "/unsafe/", "x").body).To(Equal(fmt.Sprint("answer ", n)))
	}
}

// Guards against requests that reached a target and are cut without an answer when the router stops under load.
func TestShutdownUnderLoadAnswersWhatWasSent(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(20 * time.Millisecond)
		return writeAnswer(c, r, 200, "ok")
	})
	e := startRouter(t, x)
	var mu sync.Mutex
	unanswered := map[string]bool{}
	var all sync.WaitGroup
	for i := range 6 {
		all.Go(func() {
			c, err := net.Dial("tcp", e.cfg.Listen)
			if err != nil {
				return
			}
			defer func() { _ = c.Close() }()
			r := bufio.NewReader(c)
			for n := 0; ; n++ {
				id := fmt.Sprintf("stop-%d-%d", i, n)
				if _, err = fmt.Fprintf(c, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: %s\r\nX-Left: 3000\r\nContent-Length: 1\r\n\r\nx", id); err != nil {
					return
				}
				res, err := http.ReadResponse(r, nil)
				if err == nil {
					_, err = io.Copy(io.Discard, res.Body)
				}
				if err != nil {
					mu.Lock()
					unanswered[id] = true
					mu.Unlock()
					return
				}
				if res.Close {
					return
				}
			}
		})
	}
	time.Sleep(300 * time.Millisecond)
	e.stop()
	all.Wait()
	seen := x.requests()
	e.g.Expect(len(seen)).To(BeNumerically(">", 20))
	for _, r := range seen {
		e.g.Expect(unanswered).NotTo(HaveKey(r.Header.Get("X-Id")))
	}
}

// Guards against a sound stream that is cut after a pause of its target, because the next target refuses it and the
// retry budget is spent.
func TestPausedStreamIsNotLeftWithoutRetries(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		if n.Add(1) > 1 {
			return writeAnswer(c, r, 503, "", "X-Refused", "1")
		}
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(1))
		time.Sleep(2 * time.Second)
		writeChunk(c, streamEvent(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	e := newEnv(t)
	e.cfg.RetryRatio, e.cfg.ExtraRetries = 0, 0
	for _, id := range []string{"t1", "t2"} {
		e.registerTarget(startTarget(t, id, script), false)
	}
	e.runRouter(t, e.store)
	e.setRouteTimeout(10 * time.Second)
	a := e.request("POST", "/resume/", "p", "X-Left", "10000")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
}

// Guards, under the race detector, against a stall timer that fires before the request that owns it knows it, as on a
// machine that stands still at that moment.
func TestStallTimerMayFireAtAnyTime(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(700 * time.Millisecond)
		return writeAnswer(c, r, 200, "late")
	})
	e := startRouter(t, x)
	a := e.request("GET", "/safe/", "")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal("late"))
}
