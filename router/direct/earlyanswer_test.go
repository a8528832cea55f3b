package direct_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// Guards against a part of an answer that reaches the caller as a whole one: the target answers a long body at once,
// without a length, and resets the connection while the body is written. Only one of the two that use the connection
// gets the error of the reset; the other one sees its end.
func TestEarlyAnswerThatIsResetIsNotWhole(t *testing.T) {
	for name, head := range map[string]string{"plain": "HTTP/1.1 200 OK\r\n\r\n", "stream": "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n" + streamEvent(1)} {
		t.Run(name, func(t *testing.T) {
			for range 10 {
				var sound atomic.Bool
				x := startUnreadTarget(t, &sound, func(c net.Conn) {
					_, _ = io.WriteString(c, head+strings.Repeat(streamEvent(2), 10))
					time.Sleep(50 * time.Millisecond)
					_ = c.(*net.TCPConn).SetLinger(0)
				})
				e := startRouter(t, x)
				path := "/unsafe/"
				if name == "stream" {
					path = "/stream/"
				}
				a := e.request("POST", path, longBody)
				e.g.Expect(a.code == 200 && a.err == nil).To(BeFalse(), "%d bytes were delivered as the whole answer", len(a.body))
			}
		})
	}
}

// Guards against bytes that are no answer and reach the caller as one, or end the process.
func TestStatusThatIsNoneIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		x := startTarget(t, "t1", func(_ int, _ *http.Request, c net.Conn) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
			return true
		})
		e := startRouter(t, x)
		for _, path := range []string{"/unsafe/", "/stream/"} {
			began := time.Now()
			a := e.request("POST", path, "x", "X-Left", "3000")
			e.g.Expect(a.err).NotTo(HaveOccurred())
			e.g.Expect(a.code).To(Equal(502), "status %s on %s", status, path)
			e.g.Expect(time.Since(began)).To(BeNumerically("<", 2*time.Second), "the request is not held")
		}
	}
}
