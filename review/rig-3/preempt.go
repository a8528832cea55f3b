package main

import (
	"fmt"
	"sync"
	"time"
)

func init() { cases["preempt"] = preempt }

const (
	// preemptRouters is the number of routers, preemptClients that of the clients of each.
	preemptRouters, preemptClients = 3, 3
	preemptRunTime                 = 40 * time.Second
	// touchTime is the time after the start of a process from which it is in touch: stable-window-ms, and some more.
	touchTime = 3500 * time.Millisecond
	// overlapMax is the time for which an engine may work on a request that goes on at another one.
	overlapMax = 400 * time.Millisecond
)

// preempt lets another caller take the memory of the engines now and then, so that streams of a resumable route are
// preempted.
func preempt(r *rig) error {
	r.store.put("config", "main", modelConfig())
	m := &modelEngines{rig: r, someKeepOn: true, otherEvery: 10 * time.Second}
	if r.trouble {
		m.other = kvCapacity - 200
	}
	if err := m.start(9); err != nil {
		return err
	}
	var routers []*router
	for i := range preemptRouters {
		p, err := r.readyRouter(fmt.Sprintf("front-%d", i+1))
		if err != nil {
			return err
		}
		routers = append(routers, p)
	}
	time.Sleep(touchTime)
	var all sync.WaitGroup
	var mu sync.Mutex
	calls, whole := 0, 0
	end := time.Now().Add(preemptRunTime)
	for i := range preemptRouters * preemptClients {
		p := routers[i%preemptRouters]
		all.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				events, hint := drawEvents(48.6, 490)
				c := streamOnce(p.listen, "/answer/", fmt.Sprintf("a%02d-%d", i, n), draw(628, 1, 3310), events, hint, 490, 12*time.Second)
				mu.Lock()
				calls++
				if c.complete {
					whole++
				} else {
					r.note("%s: %d events of %d, status %d, client left: %v, %v", c.id, c.events, events, c.status, c.left, c.err)
				}
				mu.Unlock()
			}
		})
	}
	all.Wait()
	time.Sleep(2 * otherTime)
	m.mu.Lock()
	defer m.mu.Unlock()
	twice := 0
	for id, runs := range m.runs {
		for i := 1; i < len(runs); i++ {
			if runs[i-1].first.IsZero() || runs[i-1].first.After(runs[i].began) {
				continue // it had not begun to run there
			}
			if d := runs[i-1].last.Sub(runs[i].began); d > overlapMax {
				twice++
				r.note("%s went on at %s at %.3f s, and %s worked on it until %.3f s, %.0f ms later", id, runs[i].engine, runs[i].began.Sub(r.began).Seconds(), runs[i-1].engine, runs[i-1].last.Sub(r.began).Seconds(), float64(d.Milliseconds()))
			}
		}
	}
	r.note("%d streams, %d complete; %d went on at another engine while the one before still worked on them %s later; one breaks TWICE", calls, whole, twice, overlapMax)
	if twice > 0 {
		return fmt.Errorf("%w: TWICE, %d streams at two engines at once", errBroken, twice)
	}
	return nil
}
