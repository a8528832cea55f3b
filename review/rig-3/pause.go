package main

import (
	"fmt"
	"net/http"
	"strconv"
	"sync"
	"time"
)

func init() { cases["pause"] = pause }

const (
	// pauseTime is the time for which the engine wants no requests.
	pauseTime = 25 * time.Second
	// cutAfter is the time from the first statement to the cut, cutTime the length of the cut.
	cutAfter, cutTime = 2 * time.Second, 7 * time.Second
	// pauseClients is the number of clients that send one request after the other.
	pauseClients = 24
)

// pause lets one of two engines ask for time, and cuts that engine off from the store meanwhile, which therefore removes
// its entry after three heartbeats until the engine writes it again.
func pause(r *rig) error {
	r.store.put("config", "main", config(7))
	ok := func(request) answer { return answer{status: http.StatusOK, body: "ok", work: 150 * time.Millisecond} }
	if _, err := r.startEngine("desk1", "desk", "west-a", 6, ok); err != nil {
		return err
	}
	var mu sync.Mutex
	var asked, end time.Time
	asking := false
	late := 0
	e, err := r.startEngine("desk2", "desk", "west-a", 6, func(q request) answer {
		mu.Lock()
		defer mu.Unlock()
		if !asking {
			return ok(q)
		}
		now := time.Now()
		if asked.IsZero() {
			asked, end = now, now.Add(pauseTime)
			r.note("desk2 asks for %s with request %s", pauseTime, q.id)
		}
		left := end.Sub(now)
		if left <= 0 {
			return ok(q)
		}
		if now.Sub(asked) > 500*time.Millisecond {
			late++
			r.note("request %s reaches desk2 %.3f s after it asked for %s", q.id, now.Sub(asked).Seconds(), pauseTime)
		}
		return answer{status: http.StatusServiceUnavailable, header: map[string]string{"Not-Run": "1", "Retry-After": strconv.FormatFloat(left.Seconds(), 'f', 1, 64)}}
	})
	if err != nil {
		return err
	}
	p, err := r.readyRouter("front-1")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var all sync.WaitGroup
	for i := range pauseClients {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				id := fmt.Sprintf("p%02d-%d", i, n)
				got := send(p.listen, plainRequest(http.MethodPost, "/unsafe/x", id), 3*time.Second)
				if got.status != http.StatusOK {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(2 * time.Second)
	mu.Lock()
	asking = true
	mu.Unlock()
	time.Sleep(cutAfter)
	if r.trouble {
		r.note("desk2 is cut off from the store for %s", cutTime)
		time.Sleep(3 * heartbeat)
		r.store.remove("servers", e.id)
		r.note("the store removes the entry of desk2 after three heartbeats of silence")
		time.Sleep(cutTime - 3*heartbeat)
		e.register()
		r.note("the cut ends; desk2 writes its entry again, with the same id and born")
	} else {
		time.Sleep(cutTime)
	}
	time.Sleep(5 * time.Second)
	close(stop)
	all.Wait()
	mu.Lock()
	defer mu.Unlock()
	r.note("%d requests reached desk2 between 0.5 s after it had asked for time and the end of that time; more than 2 break BUDGET", late)
	if asked.IsZero() {
		return fmt.Errorf("desk2 got no request")
	}
	if late > 2 {
		return fmt.Errorf("%w: BUDGET, %d requests reached an engine that had asked for time", errBroken, late)
	}
	return nil
}
