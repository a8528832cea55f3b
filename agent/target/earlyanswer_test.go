package target_test

import (
	"io"
	"net"
	"strings"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
)

// startScriptedServer calls f for each connection, of which nothing was read, and closes it.
func startScriptedServer(t *testing.T, f func(net.Conn)) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				f(c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a part of an answer that counts as complete: the target answers a long body at once, without a length,
// and resets the connection while the body is written.
func TestEarlyAnswerThatIsResetIsNotComplete(t *testing.T) {
	g := NewWithT(t)
	addr := startScriptedServer(t, func(c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n\r\npart")
		time.Sleep(50 * time.Millisecond)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	for range 20 {
		out := target.NewPlain(addr).Run(t.Context(), target.Request{ID: "r", Method: "POST", Path: "/", Data: []byte(strings.Repeat("x", 4<<20))}, func(target.Part) {})
		g.Expect(out.Complete).To(BeFalse())
	}
}

// Guards against bytes that are no answer and are passed on as one.
func TestStatusThatIsNoneIsNotAnAnswer(t *testing.T) {
	for _, status := range []string{"000", "099", "600"} {
		g := NewWithT(t)
		addr := startScriptedServer(t, func(c net.Conn) {
			_, _ = c.Read(make([]byte, 4096))
			_, _ = io.WriteString(c, "HTTP/1.1 "+status+" X\r\nContent-Length: 2\r\n\r\nok")
		})
		var parts []target.Part
		out := target.NewPlain(addr).Run(t.Context(), target.Request{ID: "r", Method: "POST", Path: "/", Data: []byte("x")}, func(p target.Part) { parts = append(parts, p) })
		g.Expect(out.Complete).To(BeFalse(), status)
		g.Expect(parts).To(BeEmpty(), status)
	}
}
