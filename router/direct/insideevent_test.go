package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	. "github.com/onsi/gomega"
)

// Guards against a stream that its target ends inside an event, with a body that is complete, and that looks complete to
// the caller, or does not go on elsewhere although it may.
func TestStreamThatEndsInsideAnEventIsBrokenOff(t *testing.T) {
	const start, part = "HTTP/1.1 200 OK\r\nX-Id: %s\r\n", "id: 2\ndata: pi"
	const head = start + "Content-Type: text/event-stream\r\n"
	begin := streamEvent(1) + part
	for name, answer := range map[string]string{
		"chunks":                     head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(begin), begin),
		"length":                     head + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(begin), begin),
		"length, no type":            start + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(begin), begin),
		"length, another type":       start + fmt.Sprintf("Content-Type: text/plain\r\nContent-Length: %d\r\n\r\n%s", len(begin), begin),
		"end of the connection":      head + "\r\n" + begin,
		"chunks, in the first event": head + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(part), part),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			script := func(_ int, r *http.Request, c net.Conn) bool {
				if r.Header.Get("Last-Event-Id") == "" && r.Header.Get("X-Sound") == "" {
					_, _ = fmt.Fprintf(c, answer, r.Header.Get("X-Id"))
					return false
				}
				line, _, _ := strings.Cut(answer[len(start):], "\r\n")
				if !strings.HasPrefix(line, "Content-Type") {
					line = "X-Type: none"
				}
				_, _ = fmt.Fprintf(c, start+line+"\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("X-Id"))
				writeChunk(c, streamEvent(2))
				_, _ = io.WriteString(c, "0\r\n\r\n")
				return true
			}
			e := startRouter(t, startTarget(t, "t1", script), startTarget(t, "t2", script))
			if a := e.request("POST", "/stream/", "p"); a.err == nil {
				e.g.Expect(a.code).To(Equal(http.StatusBadGateway), "%v", a)
			}
			if name == "chunks, in the first event" {
				return // no event tells the next target where to go on
			}
			a := e.request("POST", "/resume/", "p")
			e.g.Expect(a.err).NotTo(HaveOccurred())
			e.g.Expect(a.body).To(Equal(streamEvent(1) + streamEvent(2)))
			e.g.Expect(e.request("POST", "/stream/", "p", "X-Sound", "1").body).To(Equal(streamEvent(2)), "targets that broke off an answer are still in use")
		})
	}
}
