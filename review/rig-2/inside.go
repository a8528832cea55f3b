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

func init() { cases["inside"] = inside }

// inside: an engine ends some of its streams inside an event, with the chunk that ends the body.
func inside(w *world) (broken []string) {
	w.configure()
	const events = 12
	var asked atomic.Int64
	for i := range 3 {
		w.startEngine(fmt.Sprintf("i-%08x", i+1), llm, 11, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
			id := req.Header.Get("Request-Id")
			from := 0
			_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &from)
			cut := w.trouble && e.id == "i-00000001" && asked.Add(1)%50 == 0
			w.note("engine %s runs %s after event %d, cut %v", e.id, id, from, cut)
			_, _ = io.WriteString(c, e.head(id))
			for n := from + 1; n <= events; n++ {
				time.Sleep(5 * time.Millisecond)
				if cut && n == 6 {
					_, _ = io.WriteString(c, chunk(event(id, n)[:25]))
					break
				}
				_, _ = io.WriteString(c, chunk(event(id, n)))
			}
			_, _ = io.WriteString(c, lastChunk)
		})
	}
	r := w.startRouter("front-1")
	whole := func(id string) (s string) {
		for n := 1; n <= events; n++ {
			s += event(id, n)
		}
		return s
	}
	var mu sync.Mutex
	send := func(i int) {
		id, path := fmt.Sprintf("%016x", i+1), "/lohu930/2f"
		if i%2 == 1 {
			path = "/pufi791/2f" // resumable
		}
		c, err := net.Dial("tcp", r.front)
		must(err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = io.WriteString(c, request("POST", path, id, 12000, 120, 72, "Length-Hint: 72\r\n", "{}"))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			w.note("client: %s: %v", id, err)
			return
		}
		b, err := io.ReadAll(res.Body)
		w.note("client: %s on %s: status %d, %d bytes, end %v", id, path, res.StatusCode, len(b), err)
		if res.StatusCode == 200 && err == nil && string(b) != whole(id) {
			l := strings.Split(string(b), "\n\n")
			mu.Lock()
			defer mu.Unlock()
			broken = append(broken, fmt.Sprintf("stream %s on %s ends as complete after %d of %d events, with %q", id, path, len(l)-1, events, l[len(l)-1]))
		}
	}
	var all sync.WaitGroup
	for g := range 4 {
		all.Go(func() {
			for i := g; i < 800; i += 4 {
				send(i)
			}
		})
	}
	all.Wait()
	return broken
}
