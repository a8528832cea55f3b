package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { cases["unread"] = unread }

// received returns the bytes of callers that the kernel holds for the process: received and not yet read.
func (r *router) received() (n int64) {
	_, port, _ := net.SplitHostPort(r.front)
	p, _ := strconv.Atoi(port)
	for _, file := range []string{"/proc/net/tcp", "/proc/net/tcp6"} {
		b, _ := os.ReadFile(file)
		for _, l := range strings.Split(string(b), "\n") {
			f := strings.Fields(l)
			if len(f) < 5 || f[3] != "01" || !strings.HasSuffix(f[1], fmt.Sprintf(":%04X", p)) {
				continue
			}
			_, rx, _ := strings.Cut(f[4], ":")
			x, _ := strconv.ParseInt(rx, 16, 64)
			n += x
		}
	}
	return n
}

// unread: clients that nobody controls send requests of legal size, with many short header lines, and read the answers
// very slowly.
func unread(w *world) (broken []string) {
	const (
		clients = 1400
		lines   = 40
	)
	w.site = kfc
	w.configure()
	w.startEngine("i-00000009", plain, 6, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
		id := req.Header.Get("Request-Id")
		w.note("engine %s runs %s", e.id, id)
		time.Sleep(30 * time.Millisecond)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: 800\r\n\r\n%-800s", id, e.stamp(id), "slot for "+id)
	})
	r := w.startRouter("front-1")
	var short strings.Builder
	for i := range lines {
		fmt.Fprintf(&short, "%c%c:\r\n", 'a'+i/26, 'a'+i%26)
	}
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	end := time.Now().Add(30 * time.Second)
	var all sync.WaitGroup
	hostile := func(i int) {
		c, err := d.DialContext(context.Background(), "tcp", r.front)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(end)
		all.Go(func() {
			for n := 0; ; n++ {
				if _, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %08x%08x\r\n%s\r\n", host, i, n, short.String()); err != nil {
					return
				}
			}
		})
		for b := make([]byte, 1); ; time.Sleep(time.Second) {
			if _, err := c.Read(b); err != nil {
				return
			}
		}
	}
	if w.trouble {
		w.note("%d clients begin to send, and read one byte a second", clients)
		for i := range clients {
			all.Go(func() { hostile(i) })
		}
	}
	answered, unanswered, worst := 0, 0, 0.0
	var lastAnswer time.Time
	var ready int
	for n := 0; time.Now().Before(end.Add(-time.Second)) && !r.ended(); n++ {
		time.Sleep(200 * time.Millisecond)
		id := fmt.Sprintf("%016x", n+1)
		status := 0
		c, err := net.DialTimeout("tcp", r.front, time.Second)
		if err == nil {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.WriteString(c, request("GET", "/cufi504/fi50/2f", id, 5000, 0, 0, "", ""))
			var res *http.Response
			if res, err = http.ReadResponse(bufio.NewReader(c), nil); err == nil {
				status = res.StatusCode
				_, err = io.ReadAll(res.Body)
			}
			_ = c.Close()
		}
		w.note("ordinary client: %s has status %d, end %v", id, status, err)
		now, _ := r.memoryMB()
		held := float64(r.received()) / (1 << 20)
		worst = max(worst, now+held)
		if n%5 == 0 {
			w.note("memory of the process %.1f MB, received and not yet read %.1f MB", now, held)
		}
		if err == nil {
			answered, unanswered, ready, lastAnswer = answered+1, 0, 0, time.Now()
			continue
		}
		unanswered++
		if r.isReady() {
			ready++
		}
	}
	w.note("answered %d, then unanswered %d, of which ready %d; memory and what was received and not read: %.1f MB at most", answered, unanswered, ready, worst)
	if worst > float64(w.site.memory) {
		broken = append(broken, fmt.Sprintf("memory and what was received and not yet read are %.1f MB, more than memory-mb = %d", worst, w.site.memory))
	}
	if unanswered >= 7 && ready == unanswered && time.Since(lastAnswer) > 2*time.Duration(w.site.stable)*time.Millisecond {
		broken = append(broken, fmt.Sprintf("the last %d ordinary clients got no answer, for %.1f s, while the router said that it is ready", unanswered, time.Since(lastAnswer).Seconds()))
	}
	all.Wait()
	return broken
}
