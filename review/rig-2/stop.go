package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stop }

// stop: the only router gets SIGTERM, five times, and is started again. The engines are sound: each falls silent for 1.4 s
// every 5 s, and goes on.
func stop(w *world) (broken []string) {
	w.configure()
	const (
		silence = 1400 * time.Millisecond
		every   = 5 * time.Second
		gap     = 20 * time.Millisecond
	)
	var atWork sync.Map  // request id -> true while the engine works on it
	var lengths sync.Map // request id -> number of events of its answer
	for i := range 9 {
		offset := rand.N(every)
		await := func() {
			if in := (time.Since(w.began) + offset) % every; in < silence {
				time.Sleep(silence - in)
			}
		}
		w.startEngine(fmt.Sprintf("i-%08x", i+1), llm, w.site.slots, func(e *engine, c net.Conn, req *http.Request, _ []byte) {
			id := req.Header.Get("Request-Id")
			in, out, hint, last := 0, 0, 0, 0
			_, _ = fmt.Sscanf(req.Header.Get("Token-Counts"), "%d,%d", &in, &out)
			_, _ = fmt.Sscan(req.Header.Get("Length-Hint"), &hint)
			_, _ = fmt.Sscan(req.Header.Get("Last-Event-Id"), &last)
			length, _ := lengths.LoadOrStore(id, min(max(int(float64(hint)/6*math.Exp(0.1*rand.NormFloat64())), 1), out/6))
			n := length.(int)
			atWork.Store(id, true)
			w.note("engine %s runs %s after event %d of %d", e.id, id, last, n)
			_, _ = io.WriteString(c, e.head(id))
			time.Sleep(3 * gap)
			for k := last + 1; k <= n; k++ {
				await()
				if _, err := io.WriteString(c, chunk(event(id, k))); err != nil {
					w.note("engine %s: %s ends at event %d of %d: %v", e.id, id, k, n, err)
					return
				}
				time.Sleep(gap)
			}
			_, _ = io.WriteString(c, lastChunk)
			atWork.Delete(id)
			w.note("engine %s has ended %s", e.id, id)
		})
	}
	for round := range 5 {
		broken = append(broken, stopOnce(w, round, &atWork)...)
	}
	return broken
}

// leaveAfter is the gap after which clients leave a stream: the longest of two seconds, four times the objective and eight
// times the pause of the site.
const leaveAfter = 3200 * time.Millisecond

// readStream reads an answer to its end, as long as its client stays.
func readStream(c net.Conn, body io.Reader, deadline time.Time) error {
	for b := make([]byte, 4<<10); ; {
		end := time.Now().Add(leaveAfter)
		if deadline.Before(end) {
			end = deadline
		}
		_ = c.SetReadDeadline(end)
		if _, err := body.Read(b); err == io.EOF {
			return nil
		} else if err != nil {
			return err
		}
	}
}

// stopOnce starts a router, sends it SIGTERM after 8 s of traffic, and waits for its end, and for 9 s without trouble.
func stopOnce(w *world, round int, atWork *sync.Map) (broken []string) {
	r := w.startRouter("front-1")
	var mu sync.Mutex
	var termAt time.Time
	kinds := []struct {
		path              string
		rate              float64
		in, out, deadline int
	}{
		{"/lohu930/2f", 18.8, 6670, 64 * 6, w.site.long},
		{"/pufi791/2f", 26.5, 688, 49 * 6, w.site.resumable},
		{"/tago114/2f", 36.9, 1860, 4 * 6, w.site.short},
	}
	send := func(n, k int) {
		q, id := kinds[k], fmt.Sprintf("%08x%08x", round+1, n)
		deadline := time.Duration(q.deadline) * time.Millisecond
		c, err := net.DialTimeout("tcp", r.front, time.Second)
		if err != nil {
			return // not read
		}
		defer func() { _ = c.Close() }()
		hint := min(max(int(float64(q.out)*math.Exp(0.5*rand.NormFloat64())/2), 6), 10*q.out)
		sent := time.Now()
		_ = c.SetDeadline(sent.Add(deadline))
		_, _ = io.WriteString(c, request("POST", q.path, id, q.deadline, q.in, 10*q.out, fmt.Sprintf("Length-Hint: %d\r\n", hint), "{}"))
		w.note("client sends %s to %s", id, q.path)
		status := 0
		res, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err == nil {
			status = res.StatusCode
			err = readStream(c, res.Body, sent.Add(deadline))
		}
		_, working := atWork.Load(id)
		w.note("client: %s has status %d, end %v, engine at work %v", id, status, err, working)
		mu.Lock()
		defer mu.Unlock()
		switch {
		case err == nil, errors.Is(err, os.ErrDeadlineExceeded), time.Since(sent) >= deadline-50*time.Millisecond, !working, termAt.IsZero():
		case sent.Sub(termAt) <= 3*time.Second: // excused while the engine is at work in the last sixth of grace-s
		case time.Since(termAt) <= 8*time.Second+time.Second:
			broken = append(broken, fmt.Sprintf("%s, sent to %s %.2f s after SIGTERM, ends %.2f s after it without the rest of its answer, while its engine is at work on it: %v", id, q.path, sent.Sub(termAt).Seconds(), time.Since(termAt).Seconds(), err))
		}
	}
	var all sync.WaitGroup
	end := time.Now().Add(17 * time.Second)
	for k := range kinds {
		all.Go(func() {
			t := time.NewTicker(time.Duration(float64(time.Second) / kinds[k].rate))
			defer t.Stop()
			for n := k + 1; !r.ended() && time.Now().Before(end); n += len(kinds) {
				<-t.C
				all.Go(func() { send(n, k) })
			}
		})
	}
	time.Sleep(8 * time.Second)
	if w.trouble {
		mu.Lock()
		termAt = time.Now()
		mu.Unlock()
		w.note("SIGTERM")
		must(r.cmd.Process.Signal(syscall.SIGTERM))
		select {
		case <-r.done:
			w.note("router has ended")
		case <-time.After(8 * time.Second):
			w.note("SIGKILL at the end of grace-s")
			_ = r.cmd.Process.Kill()
		}
	}
	all.Wait()
	if !r.ended() {
		_ = r.cmd.Process.Kill()
	}
	<-r.done
	return broken
}
