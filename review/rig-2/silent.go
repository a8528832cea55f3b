package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["silent"] = silent }

// work is the work of one engine on one request.
type work struct {
	engine     string
	from, upTo time.Time
}

// silent: sound engines fall silent for a second or so and go on, one after the other. They are of those that do not drop
// a request when its connection closes.
func silent(w *world) (broken []string) {
	w.configure()
	const (
		silence = 1400 * time.Millisecond
		events  = 60
		gap     = 30 * time.Millisecond
	)
	var mu sync.Mutex
	works := map[string][]*work{}
	var engines []*engine
	silentUntil := map[string]time.Time{}
	for i := range 3 {
		engines = append(engines, w.startEngine(fmt.Sprintf("i-%08x", i+1), llm, 11, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
			id, last := req.Header.Get("Request-Id"), 0
			_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last)
			k := &work{engine: e.id, from: time.Now()}
			mu.Lock()
			works[id] = append(works[id], k)
			mu.Unlock()
			w.note("engine %s runs %s after event %d", e.id, id, last)
			var gone error
			send := func(s string) {
				mu.Lock()
				pause := time.Until(silentUntil[e.id])
				mu.Unlock()
				time.Sleep(pause)
				if gone == nil {
					_, gone = io.WriteString(c, s)
				}
			}
			send(e.head(id))
			time.Sleep(60 * time.Millisecond)
			for n := last + 1; n <= events; n++ {
				send(chunk(event(id, n)))
				time.Sleep(gap)
			}
			send(lastChunk)
			mu.Lock()
			k.upTo = time.Now()
			mu.Unlock()
			w.note("engine %s has ended %s, connection %v", e.id, id, gone)
		}))
	}
	r := w.startRouter("front-1")
	var all sync.WaitGroup
	send := func(n int) {
		defer all.Done()
		id := fmt.Sprintf("%016x", n)
		c, err := net.DialTimeout("tcp", r.front, time.Second)
		must(err)
		defer func() { _ = c.Close() }()
		_ = c.SetDeadline(time.Now().Add(12 * time.Second))
		_, _ = io.WriteString(c, request("POST", "/pufi791/2f", id, 12000, 688, 6*events, fmt.Sprintf("Length-Hint: %d\r\n", 6*events), "{}"))
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		status, size := 0, 0
		if err == nil {
			var b []byte
			status = res.StatusCode
			b, err = io.ReadAll(res.Body)
			size = len(b)
		}
		w.note("client: %s has status %d, %d bytes, end %v", id, status, size, err)
	}
	t := time.NewTicker(200 * time.Millisecond)
	defer t.Stop()
	for n := 1; n <= 120; n++ {
		<-t.C
		if w.trouble && n%25 == 20 { // every 5 s
			e := engines[n/25%3].id
			w.note("engine %s falls silent for %v", e, silence)
			mu.Lock()
			silentUntil[e] = time.Now().Add(silence)
			mu.Unlock()
		}
		all.Add(1)
		go send(n)
	}
	all.Wait()
	time.Sleep(2 * time.Second)
	mu.Lock()
	defer mu.Unlock()
	for id, l := range works {
		for i := 1; i < len(l); i++ {
			before, next := l[i-1], l[i]
			if before.engine != next.engine && (before.upTo.IsZero() || before.upTo.Sub(next.from) > 400*time.Millisecond) {
				broken = append(broken, fmt.Sprintf("%s goes on at %s while %s still works on it %v later", id, next.engine, before.engine, before.upTo.Sub(next.from).Round(time.Millisecond)))
			}
		}
	}
	return broken
}
