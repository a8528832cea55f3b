package main

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["crowd"] = crowd }

// crowd: clients that nobody controls send small requests one after the other on their connections, and read the answers
// slowly, a byte a second.
func crowd(w *world) (broken []string) {
	const (
		clients = 1400
		length  = 35 * time.Second
	)
	w.site = kfc
	w.configure()
	for i := range 3 {
		w.startEngine(fmt.Sprintf("i-%08x", i+1), plain, 6, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
			id := req.Header.Get("Request-Id")
			w.note("engine %s runs %s", e.id, id)
			time.Sleep(60 * time.Millisecond)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Stamp: %s\r\nContent-Length: 800\r\n\r\n%-800s", id, e.stamp(id), "slot for "+id)
		})
	}
	r := w.startRouter("front-1")
	began := time.Now()
	end := began.Add(length)
	d := net.Dialer{Control: func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) { _ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}}
	var all sync.WaitGroup
	var open atomic.Int64
	visit := func(i int) {
		c, err := d.DialContext(context.Background(), "tcp", r.front)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(end)
		open.Add(1)
		defer open.Add(-1)
		all.Go(func() {
			for n := 0; ; n++ {
				if _, err := fmt.Fprintf(c, "GET /x HTTP/1.1\r\nHost: %s\r\nRequest-Id: %08x%08x\r\n\r\n", host, i, n); err != nil {
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
		w.note("%d clients begin to send, and read a byte a second", clients)
		for i := range clients {
			all.Go(func() { // whose connection is closed comes again
				for time.Now().Before(end) {
					visit(1<<24 + i)
					time.Sleep(time.Second)
				}
			})
		}
	}
	stable := time.Duration(w.site.stable) * time.Millisecond
	var since time.Time // of the clients in a row whose connections were not taken, while the router said that it is ready
	tried, worst, most := 0, time.Duration(0), 0
	for n := 1; time.Now().Before(end.Add(-500*time.Millisecond)) && !r.ended(); n++ {
		time.Sleep(200 * time.Millisecond)
		id, status, at := fmt.Sprintf("%016x", n), 0, time.Now()
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
		notTaken := err != nil && status == 0 && !errors.Is(err, os.ErrDeadlineExceeded) // refused, or closed without an answer
		w.note("ordinary client: %s has status %d, end %v", id, status, err)
		if n%10 == 0 {
			w.note("%d connections of the crowd are open; memory %.1f MB", open.Load(), r.memoryMB())
		}
		switch {
		case !notTaken || !r.isReady() || time.Since(began) < 2*stable: // in touch only stable-window-ms after its start
			since, tried = time.Time{}, 0
		default:
			if since.IsZero() {
				since = at
			}
			if tried++; tried >= 7 && time.Since(since) > worst {
				worst, most = time.Since(since), tried
			}
		}
	}
	w.note("the longest time without a connection taken is %.1f s, of %d clients", worst.Seconds(), most)
	if worst > stable {
		broken = append(broken, fmt.Sprintf("no connection of %d clients in a row was taken for %.1f s, while the router said that it is ready", most, worst.Seconds()))
	}
	all.Wait()
	return broken
}
