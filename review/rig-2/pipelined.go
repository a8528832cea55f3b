package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"time"
)

func init() { cases["pipelined"] = pipelined }

// bigEvent is an event of the largest size in the site file, 420 bytes.
func bigEvent(id string, n int) string {
	s := fmt.Sprintf("id: %d\ndata: %s piece %d ", n, id, n)
	return s + strings.Repeat(".", 418-len(s)) + "\n\n"
}

// pipelined: a client reads a stream slowly, for longer than the route allows, and sends its next request on the
// connection before it has read all of the answer.
func pipelined(w *world) (broken []string) {
	w.site = kfc
	w.configure()
	const events = 480 // the largest number in the site file
	for i := range 3 {
		w.startEngine(fmt.Sprintf("i-%08x", i+1), llm, w.site.slots, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
			id := req.Header.Get("Request-Id")
			w.note("engine %s runs %s", e.id, id)
			_, _ = io.WriteString(c, e.head(id))
			for n := 1; n <= events; n++ {
				if _, err := io.WriteString(c, chunk(bigEvent(id, n))); err != nil {
					w.note("engine %s: %s ends at event %d: %v", e.id, id, n, err)
					return
				}
				time.Sleep(22 * time.Millisecond) // 8 tokens an event, 2.77 ms a step
			}
			_, _ = io.WriteString(c, lastChunk)
			w.note("engine %s has ended %s", e.id, id)
		})
	}
	w.startEngine("i-00000009", plain, 6, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
		id := req.Header.Get("Request-Id")
		w.note("engine %s runs %s", e.id, id)
		time.Sleep(60 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: 800\r\n\r\n%-800s", id, e.stamp(id), "stock for "+id)
	})
	r := w.startRouter("front-1")
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 8<<10) })
	}}
	c, err := d.DialContext(context.Background(), "tcp", r.front)
	must(err)
	defer func() { _ = c.Close() }()
	began := time.Now()
	first, second := fmt.Sprintf("%016x", 1), fmt.Sprintf("%016x", 2)
	_, _ = io.WriteString(c, request("POST", "/lohu930/2f", first, 20000, 120, 8*events, fmt.Sprintf("Length-Hint: %d\r\n", 8*events), "{}"))
	w.note("client sends %s and waits 20 s", first)
	sent := false
	var all bytes.Buffer
	buf := make([]byte, 1<<10)
	for time.Since(began) < 18*time.Second {
		if !sent && time.Since(began) > 13500*time.Millisecond {
			sent = true
			_, _ = io.WriteString(c, request("GET", "/cufi504/fi50/2f", second, 5000, 0, 0, "", ""))
			w.note("client sends %s after it has read %d bytes", second, all.Len())
		}
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		n, err := c.Read(buf)
		all.Write(buf[:n])
		if err != nil && !strings.Contains(err.Error(), "timeout") {
			w.note("client: the connection ends after %d bytes: %v", all.Len(), err)
			break
		}
		if w.trouble && !sent {
			time.Sleep(200 * time.Millisecond) // 5 kB/s
		}
	}
	text := all.String()
	end := strings.Index(text, "\r\n"+lastChunk)
	next := strings.Index(text[min(1, len(text)):], "HTTP/1.1 ") + 1
	w.note("client has read %d bytes; the last chunk of the first answer is at %d, another head at %d", all.Len(), end, next)
	switch {
	case !w.trouble && (end < 0 || next != end+2+len(lastChunk)):
		failf("without trouble, the two answers did not come whole")
	case next > 0 && (end < 0 || next < end):
		broken = append(broken, fmt.Sprintf("the answer to %s goes on, after %d bytes and inside a chunk, with the answer to %s: %q", first, next, second, text[max(next-40, 0):min(next+160, len(text))]))
	}
	return broken
}
