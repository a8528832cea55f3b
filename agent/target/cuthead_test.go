package target_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"

	"hickoryvane.example/agent/target"
	"hickoryvane.example/core/ident"
)

// startCuttingServer answers each POST of a path /whole with answer, and each other one with its first cut bytes and a
// close; GET requests, which ask for the rest of a stream, are refused.
func startCuttingServer(t *testing.T, answer string, cut *atomic.Int32) (addr string) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	NewWithT(t).Expect(err).NotTo(HaveOccurred())
	t.Cleanup(func() { _ = ln.Close() })
	serve := func(c net.Conn) {
		defer func() { _ = c.Close() }()
		for r := bufio.NewReader(c); ; {
			req, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.Copy(io.Discard, req.Body)
			switch {
			case req.Method == http.MethodGet:
				_, _ = io.WriteString(c, "HTTP/1.1 404 X\r\nContent-Length: 0\r\n\r\n")
			case req.URL.Path == "/whole":
				_, _ = io.WriteString(c, answer)
			default:
				_, _ = io.WriteString(c, answer[:cut.Load()])
				return
			}
		}
	}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(c)
		}
	}()
	return ln.Addr().String()
}

// Guards against an answer that a target cuts at any byte of its head or body and closes, and that counts as complete;
// the connection has carried an answer before.
func TestCutAnswerIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	event := "data: {}\n\n"
	for name, answer := range map[string]string{
		"with a length":        head + "Content-Length: 5\r\n\r\nwhole",
		"empty":                head + "Content-Length: 0\r\n\r\n",
		"chunked":              head + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + chunk("whole") + "0\r\nX-T: t\r\n\r\n",
		"after an interim one": "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + head + "Content-Length: 5\r\n\r\nwhole",
		"stream":               head + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(event) + chunk("data: [DONE]\n\n") + "0\r\n\r\n",
		"stream with its end":  head + "Content-Type: text/event-stream\r\n\r\n" + event + "data: [DONE]\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			g := NewWithT(t)
			var cut atomic.Int32
			addr := startCuttingServer(t, answer, &cut)
			stream := strings.HasPrefix(name, "stream")
			var x interface {
				Run(ctx context.Context, r target.Request, emit func(target.Part)) target.Outcome
			} = target.NewPlain(addr)
			last := len(answer)
			if stream {
				x = target.NewEngine(addr)
				last = strings.Index(answer, "data: [DONE]") // the end of a stream is its last event
			}
			for n := range last {
				cut.Store(int32(n))
				r := target.Request{ID: ident.RequestID(fmt.Sprint(n)), Method: http.MethodPost, Path: "/whole", Data: []byte("{}"), Idempotent: true}
				g.Expect(x.Run(t.Context(), r, func(target.Part) {}).Complete).To(BeTrue())
				r.Path = "/cut"
				g.Expect(x.Run(t.Context(), r, func(target.Part) {}).Complete).To(BeFalse(), "%d bytes", n)
			}
		})
	}
}
