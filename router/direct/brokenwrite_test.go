package direct_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// longBody is larger than the buffers of the sockets, so that its write lasts until the target reads or the connection
// is closed.
var longBody = strings.Repeat("x", 4<<20)

// startUnreadTarget starts a target that calls f for each new connection and reads nothing of it before; the connection
// is closed afterwards. It answers while sound is true.
func startUnreadTarget(t *testing.T, sound *atomic.Bool, f func(net.Conn)) *scriptedTarget {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	x := &scriptedTarget{id: "t1", addr: ln.Addr().String(), ln: ln}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			if sound.Load() {
				go x.serveConn(c, func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
				continue
			}
			go func() {
				f(c)
				_ = c.Close()
			}()
		}
	}()
	return x
}

// Guards against the end of the whole process when the exchange with a target fails while the request is written.
func TestFailureDuringWriteEndsOnlyThatRequest(t *testing.T) {
	const requests = 8
	for name, f := range map[string]func(net.Conn){
		"closed at once": func(net.Conn) {},
		"reset at once":  func(c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0) },
		"no answer": func(c net.Conn) {
			_, _ = io.WriteString(c, "no answer\r\n\r\n")
			time.Sleep(100 * time.Millisecond)
		},
		"cut head": func(c net.Conn) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Le")
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond)
		},
		"silent until the deadline": func(net.Conn) {
			time.Sleep(600 * time.Millisecond)
		},
	} {
		t.Run(name, func(t *testing.T) {
			var sound atomic.Bool
			e := startRouter(t, startUnreadTarget(t, &sound, f))
			var wg sync.WaitGroup
			for range requests {
				wg.Go(func() {
					a := e.request("POST", "/unsafe/", longBody, "X-Left", "400")
					e.g.Expect(a.err).NotTo(HaveOccurred())
					e.g.Expect(a.code).To(BeElementOf(http.StatusBadGateway, http.StatusGatewayTimeout, http.StatusServiceUnavailable))
				})
			}
			wg.Wait()
			sound.Store(true)
			e.g.Eventually(func() int { return e.request("POST", "/safe/", "p").code }, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
		})
	}
}

// Guards against the end of the whole process when a caller leaves while its request is written to a target.
func TestCallerMayLeaveDuringWrite(t *testing.T) {
	var sound atomic.Bool
	e := startRouter(t, startUnreadTarget(t, &sound, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)); time.Sleep(300 * time.Millisecond) }))
	for range 4 {
		c, err := net.Dial("tcp", e.cfg.Listen)
		e.g.Expect(err).NotTo(HaveOccurred())
		w := bufio.NewWriter(c)
		_, _ = w.WriteString("POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nX-Id: left\r\nX-Left: 3000\r\nContent-Length: 4194304\r\n\r\n" + longBody)
		e.g.Expect(w.Flush()).To(Succeed())
		time.Sleep(50 * time.Millisecond)
		_ = c.Close()
	}
	sound.Store(true)
	e.g.Eventually(func() int { return e.request("POST", "/safe/", "p").code }, 5*time.Second, 50*time.Millisecond).Should(Equal(http.StatusOK))
}
