package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"

	. "github.com/onsi/gomega"
)

// cutAnswers are whole answers, which a target cuts after some bytes; path is that of the request.
func cutAnswers() map[string]struct{ path, answer string } {
	const head, plain = "HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "Content-Type: text/plain\r\n"
	const stream = "Content-Type: text/event-stream\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	type form = struct{ path, answer string }
	return map[string]form{
		"with a length":        {"/unsafe/", head + plain + "Content-Length: 5\r\n\r\nwhole"},
		"empty":                {"/unsafe/", head + plain + "Content-Length: 0\r\n\r\n"},
		"chunked":              {"/unsafe/", head + plain + "Transfer-Encoding: chunked\r\nTrailer: X-T\r\n\r\n" + chunk("wh") + chunk("ole") + "0\r\nX-T: t\r\n\r\n"},
		"after an interim one": {"/unsafe/", "HTTP/1.1 103 Early Hints\r\nLink: <x>\r\n\r\n" + head + plain + "Content-Length: 5\r\n\r\nwhole"},
		"stream":               {"/stream/", head + stream + "Transfer-Encoding: chunked\r\n\r\n" + chunk(streamEvent(1)) + chunk(streamEvent(2)) + "0\r\n\r\n"},
		"stream with a length": {"/stream/", head + stream + fmt.Sprintf("Content-Length: %d\r\n\r\n", 2*len(streamEvent(1))) + streamEvent(1) + streamEvent(2)},
	}
}

// Guards against an answer that a target cuts at any byte of its head or body and closes, and that looks whole to the
// caller; the connection has carried an answer before.
func TestCutAnswerNeverLooksWhole(t *testing.T) {
	for name, form := range cutAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
				whole := strings.Replace(form.answer, "%s", r.Header.Get("X-Id"), 1)
				if n, err := strconv.Atoi(r.Header.Get("X-Cut")); err == nil && n < len(whole) {
					_, _ = io.WriteString(c, whole[:n])
					return false
				}
				_, err := io.WriteString(c, whole)
				return err == nil
			})
			e := startRouter(t, x)
			total := len(form.answer) + len("id1000")
			for n := range total + 1 {
				e.g.Expect(e.request("POST", form.path, "x").code).To(Equal(200))
				a := e.request("POST", form.path, "x", "X-Cut", strconv.Itoa(n), "X-Id", "id1000")
				cut := n < total-len("%s")
				e.g.Expect(a.err == nil && a.code == 200).To(Equal(!cut), "%d bytes: %v", n, a)
			}
			x.mu.Lock()
			defer x.mu.Unlock()
			e.g.Expect(x.usedConns).To(BeNumerically("<", len(x.seen)*3/4), "connections are used again")
		})
	}
}

// Guards against the rest of a stream, cut at any byte of its head or events by the second target, that looks like the
// end of the stream.
func TestCutRestNeverLooksWhole(t *testing.T) {
	const groups = 24 // targets that failed rest for a moment, so the positions are divided among routers
	rest := strings.ReplaceAll(cutAnswers()["stream"].answer, "id: 1\ndata: piece 1", "id: 2\ndata: piece 2")
	for group := range groups {
		t.Run(strconv.Itoa(group), func(t *testing.T) {
			t.Parallel()
			var cut atomic.Int32
			script := func(_ int, r *http.Request, c net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "" {
					writeStreamHead(c, r)
					writeChunk(c, streamEvent(1))
					return resetConn(c)
				}
				whole := strings.Replace(rest, "%s", r.Header.Get("X-Id"), 1)
				_, _ = io.WriteString(c, whole[:min(int(cut.Load()), len(whole))])
				return false
			}
			e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
			for n := group; n < len(rest)-1; n += groups {
				cut.Store(int32(n))
				a := e.request("POST", "/resume/", "p", "X-Id", "id")
				e.g.Expect(a.err).To(HaveOccurred(), "%d bytes: %v", n, a)
				e.g.Expect(a.body).To(HavePrefix(streamEvent(1)))
			}
		})
	}
}
