package main

import (
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["trial"] = trial }

const (
	// crashTime is the time for which the two engines are down.
	crashTime = 4 * time.Second
	// pollClients and orderClients are the numbers of clients that read the status of one job, and that place orders.
	pollClients, orderClients = 6, 2
	// thinkTime is the pause of a client after an answer.
	thinkTime = 200 * time.Millisecond
	// workTime is the time that a request takes at an engine.
	workTime = 200 * time.Millisecond
)

// crash ends the process of an engine: its connections are reset, and its port refuses connections.
func (e *engine) crash() {
	_ = e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for c := range e.conns {
		_ = c.(*net.TCPConn).SetLinger(0)
		_ = c.Close()
	}
}

// restart starts the process again, as another incarnation under the same id and at the same address.
func (e *engine) restart() error {
	ln, err := net.Listen("tcp", e.addr)
	if err != nil {
		return err
	}
	e.ln, e.born = ln, time.Now().UnixMilli()
	go e.accept()
	e.register()
	return nil
}

// trial lets two of three engines crash at the same moment while several clients read the status of the same job.
func trial(r *rig) error {
	r.store.put("config", "main", config(7))
	var engines []*engine
	var running, reads [3]atomic.Int32
	for i, zone := range []string{"west-a", "west-b", "east-a"} {
		e, err := r.startEngine(fmt.Sprintf("desk%d", i+1), "desk", zone, 6, func(q request) answer {
			running[i].Add(1)
			defer running[i].Add(-1)
			if q.Method == http.MethodGet {
				reads[i].Add(1)
				defer reads[i].Add(-1)
			}
			time.Sleep(workTime)
			return answer{status: http.StatusOK, body: "ok"}
		})
		if err != nil {
			return err
		}
		engines = append(engines, e)
	}
	p, err := r.readyRouter("front-1")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	total, denied := 0, 0
	counts := map[string]int{}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range pollClients + orderClients {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(time.Duration((0.5 + rand.Float64()) * float64(thinkTime))):
				}
				id, kind := fmt.Sprintf("t%02d-%d", i, n), "status"
				text := plainRequest(http.MethodGet, "/status/job-17", id)
				if i >= pollClients {
					kind, text = "order", plainRequest(http.MethodPost, "/unsafe/order-"+id, id)
				}
				got := send(p.listen, text, 3*time.Second)
				mu.Lock()
				total++
				counts[kind+" "+status(got)]++
				if got.err == nil && got.status >= 300 && got.status < 500 && got.status != 408 && got.status != 421 && got.status != 429 {
					denied++
					r.note("%s request %s: %d %s", kind, id, got.status, got.body)
				}
				mu.Unlock()
			}
		})
	}
	time.Sleep(5 * time.Second)
	if r.trouble {
		// Engines crash at any moment; this is one at which only the two that crash run a read, and few requests at all.
		suits := func() bool {
			return reads[0].Load() > 0 && reads[1].Load() > 0 && reads[2].Load() == 0 && running[0].Load() <= 2 && running[1].Load() <= 2
		}
		for end := time.Now().Add(5 * time.Second); time.Now().Before(end) && !suits(); {
			time.Sleep(time.Millisecond)
		}
		for _, e := range engines[:2] {
			e.crash()
			r.note("engine %s crashes", e.id)
		}
		time.AfterFunc(3*heartbeat, func() {
			for _, e := range engines[:2] {
				r.store.remove("servers", e.id)
			}
		})
		time.Sleep(crashTime)
		for _, e := range engines[:2] {
			if err = e.restart(); err != nil {
				return err
			}
			r.note("engine %s is back", e.id)
		}
	} else {
		time.Sleep(crashTime)
	}
	time.Sleep(6 * time.Second)
	close(stop)
	all.Wait()
	allowed := 5 + float64(total)/500
	r.note("answers: %s", jsonText(counts))
	r.note("%d of %d requests were refused with a 4xx of the router; more than %.1f break DENIED", denied, total, allowed)
	if float64(denied) > allowed {
		return fmt.Errorf("%w: DENIED, %d of %d proper requests were refused with a 4xx", errBroken, denied, total)
	}
	return nil
}
