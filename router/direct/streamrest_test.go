package direct_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// wrongRests are answers of a target that was asked for the rest of a stream after its first event.
func wrongRests() map[string]string {
	head := func(status, lines string) string { return "HTTP/1.1 " + status + "\r\nX-Id: %s\r\n" + lines + "\r\n" }
	plain := func(status string) string {
		return head(status+" X", "Content-Type: text/plain\r\nContent-Length: 5\r\n") + "error"
	}
	chunked := "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
	events := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(s), s) }
	return map[string]string{
		"400": plain("400"), "404": plain("404"), "410": plain("410"), "500": plain("500"), "503": plain("503"), "302": plain("302"),
		"400 as events": head("400 X", chunked) + events(streamEvent(2)), "201": head("201 X", chunked) + events(streamEvent(2)), "206": plain("206"),
		"not run": head("503 X", "X-Refused: 1\r\nContent-Length: 5\r\n") + "error",
		"text":    plain("200"), "no content type": head("200 OK", "Content-Length: 5\r\n") + "error", "204": head("204 X", ""), "304": head("304 X", ""),
		"empty": head("200 OK", "Content-Type: text/event-stream\r\nContent-Length: 0\r\n"), "no events": head("200 OK", chunked) + "0\r\n\r\n", "unframed, empty": head("200 OK", "Content-Type: text/event-stream\r\n"),
		"encoded": head("200 OK", "Content-Encoding: gzip\r\n"+chunked) + events(streamEvent(2)), "events again": head("200 OK", chunked) + events(streamEvent(1)+streamEvent(2)),
		"text in a stream": head("200 OK", chunked) + events("error"), "unframed error": head("500 X", "") + "error", "no answer": "error\r\n\r\n",
	}
}

// Guards against an error, or any other answer than the rest, in the middle of a stream that a second target goes on
// with, and against such a stream that looks complete.
func TestStreamGoesOnOnlyWithItsRest(t *testing.T) {
	for name, rest := range wrongRests() {
		for _, old := range []bool{false, true} {
			t.Run(fmt.Sprint(name, old), func(t *testing.T) {
				t.Parallel()
				var n atomic.Int32
				script := func(_ int, r *http.Request, c net.Conn) bool {
					if n.Add(1) == 1 {
						writeStreamHead(c, r)
						writeChunk(c, streamEvent(1))
						return resetConn(c)
					}
					_, _ = io.WriteString(c, strings.Replace(rest, "%s", r.Header.Get("X-Id"), 1))
					return false
				}
				e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
				if old {
					c, err := net.Dial("tcp", e.cfg.Listen)
					e.g.Expect(err).NotTo(HaveOccurred())
					defer func() { _ = c.Close() }()
					_, _ = io.WriteString(c, "POST /resume/ HTTP/1.0\r\nHost: h.example\r\nX-Id: old\r\nX-Left: 3000\r\nContent-Length: 1\r\n\r\np")
					b, err := io.ReadAll(c)
					e.g.Expect(errors.Is(err, syscall.ECONNRESET)).To(BeTrue(), "%v", err)
					e.g.Expect(string(b)).NotTo(ContainSubstring("error"))
					return
				}
				a := e.request("POST", "/resume/", "p")
				e.g.Expect(a.err).To(HaveOccurred(), "%v", a)
				e.g.Expect(a.code).To(Equal(200))
				e.g.Expect(a.body).To(Equal(streamEvent(1)))
			})
		}
	}
}

// Guards against a stream that breaks off although another target would have gone on with it after the error.
func TestStreamGoesOnAfterAnErrorOfTheNextTarget(t *testing.T) {
	var n atomic.Int32
	script := func(_ int, r *http.Request, c net.Conn) bool {
		switch n.Add(1) {
		case 1:
			writeStreamHead(c, r)
			writeChunk(c, streamEvent(1))
			return resetConn(c)
		case 2:
			return writeAnswer(c, r, 404, "error")
		}
		if r.Header.Get("Last-Event-Id") != "1" {
			return false
		}
		writeStreamHead(c, r)
		writeChunk(c, streamEvent(2))
		_, _ = io.WriteString(c, "0\r\n\r\n")
		return true
	}
	e := newEnv(t)
	rs := routes()
	for i := range rs {
		rs[i].Attempts = 3
	}
	e.putObject("config", "main", config{Generation: 2, Routes: rs})
	for i := range 3 {
		e.registerTarget(startTarget(t, fmt.Sprint("t", i), script), false)
	}
	e.runRouter(t, e.store)
	a := e.request("POST", "/resume/", "p")
	e.g.Expect(a.err).NotTo(HaveOccurred())
	e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
}

// Guards against events that come twice because the next target cannot be told where a stream without ids broke off.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	for _, stalls := range []bool{false, true} {
		var n atomic.Int32
		script := func(_ int, r *http.Request, c net.Conn) bool {
			n.Add(1)
			writeStreamHead(c, r)
			writeChunk(c, "data: a\n\n")
			if stalls {
				time.Sleep(2 * time.Second)
			}
			return resetConn(c)
		}
		e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
		a := e.request("POST", "/resume/", "p")
		e.g.Expect(a.err).To(HaveOccurred())
		e.g.Expect(a.body).To(Equal("data: a\n\n"))
		e.g.Expect(n.Load()).To(BeEquivalentTo(1))
	}
}
