package direct_test

import (
	"io"
	"net"
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
