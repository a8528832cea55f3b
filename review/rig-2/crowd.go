package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["crowd"] = crowd }

// crowd: clients that nobody controls send one request each, of legal size and with many short header lines, whose body
// never comes, and leave their connections open.
func crowd(w *world) (broken []string) {
	const (
		clients = 1400
		lines   = 40
		length  = 30 * time.Second
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
	var short strings.Builder
	for i := range lines {
		fmt.Fprintf(&short, "%c%c:\r\n", 'a'+i/26, 'a'+i%26)
	}
	began := time.Now()
	end := began.Add(length)
	var all sync.WaitGroup
	var refused, open atomic.Int64
	hostile := func(i int) {
		c, err := net.Dial("tcp", r.front)
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(end)
		_, _ = fmt.Fprintf(c, "POST /puxa403/2f HTTP/1.1\r\nHost: %s\r\nRequest-Id: %016x\r\nDeadline-Ms: 5000\r\nAuthorization: Token %s\r\n%sContent-Length: 9\r\n\r\n", host, 1<<32+i, key, short.String())
		b := bufio.NewReader(c)
		res, err := http.ReadResponse(b, nil)
		if err != nil {
			return
		}
		_, _ = io.ReadAll(res.Body)
		refused.Add(1)
		open.Add(1)
		_, _ = b.ReadByte() // until the router closes the connection
		open.Add(-1)
	}
	if w.trouble {
		w.note("%d clients send a head and no body", clients)
		for i := range clients {
			all.Go(func() { hostile(i) })
		}
	}
	answered, unanswered, ready := 0, 0, 0
	since := began // the last answer to an ordinary client
	for n := 1; time.Now().Before(end.Add(-500*time.Millisecond)) && !r.ended(); n++ {
		time.Sleep(200 * time.Millisecond)
		id, status := fmt.Sprintf("%016x", n), 0
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
		if n%10 == 0 {
			w.note("%d of the crowd are refused, %d of their connections are open; memory %.1f MB", refused.Load(), open.Load(), r.memoryMB())
		}
		if err == nil {
			answered, unanswered, ready, since = answered+1, 0, 0, time.Now()
			continue
		}
		unanswered++
		if r.isReady() {
			ready++
		}
	}
	w.note("ordinary clients: %d answered; the last %d, for %.1f s, not, %d of them while the router said that it is ready", answered, unanswered, time.Since(since).Seconds(), ready)
	stable := time.Duration(w.site.stable) * time.Millisecond
	if unanswered >= 7 && ready == unanswered && time.Since(since) > 2*stable {
		broken = append(broken, fmt.Sprintf("the last %d ordinary clients got no answer, for %.1f s, while the router said that it is ready", unanswered, time.Since(since).Seconds()))
	}
	all.Wait()
	return broken
}
