package main

import (
	"fmt"
	"sync"
	"syscall"
	"time"
)

func init() { cases["stop"] = stopCase }

const (
	stopRounds  = 6
	stopClients = 75
	// calmTime is the time of traffic before each SIGTERM, graceTime is grace-s.
	calmTime  = 8 * time.Second
	graceTime = 8 * time.Second
)

// stopCase stops the only router in each round while some streams are preempted at their engines.
func stopCase(r *rig) error {
	r.store.put("config", "main", modelConfig())
	m := &modelEngines{rig: r, other: kvCapacity - 200, otherEvery: 7500 * time.Millisecond}
	if err := m.start(9); err != nil {
		return err
	}
	cut := 0
	for round := range stopRounds {
		n, err := stopRound(r, m, round)
		if err != nil {
			return err
		}
		cut += n
	}
	r.note("%d streams that were sent later than 3 s after the SIGTERM were passed on and cut; one breaks LOST", cut)
	if cut > 0 {
		return fmt.Errorf("%w: LOST, %d streams taken during planned work were cut", errBroken, cut)
	}
	return nil
}

func stopRound(r *rig, m *modelEngines, round int) (cut int, err error) {
	p, err := r.readyRouter(fmt.Sprintf("front-%d", round+1))
	if err != nil {
		return 0, err
	}
	var all sync.WaitGroup
	var mu sync.Mutex
	var calls []streamCall
	done := make(chan struct{})
	for i := range stopClients {
		all.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				path, prompt, mean, most, deadline := "/answer/", draw(628, 1, 3310), 48.6, 490, 12*time.Second
				if i%2 == 0 {
					path, prompt, mean, most, deadline = "/assessment/", draw(6610, 1.4, 54600), 63.7, 640, 15*time.Second
				}
				events, hint := drawEvents(mean, most)
				c := streamOnce(p.listen, path, fmt.Sprintf("s%d-%02d-%d", round, i, n), prompt, events, hint, most, deadline)
				mu.Lock()
				calls = append(calls, c)
				mu.Unlock()
				if !c.complete {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	time.Sleep(calmTime)
	stopped := time.Now()
	if r.trouble {
		r.note("round %d: SIGTERM", round)
		_ = p.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
		select {
		case <-p.done:
			p.done <- nil
			r.note("round %d: the router ended after %.3f s", round, time.Since(stopped).Seconds())
		case <-time.After(graceTime):
			_ = p.cmd.Process.Kill()
		}
	} else {
		time.Sleep(graceTime)
	}
	time.Sleep(time.Second + 200*time.Millisecond)
	close(done)
	_ = p.cmd.Process.Kill() // it may have ended; the streams that still run are not judged
	all.Wait()
	late, complete, failed := 0, 0, 0
	for _, c := range calls {
		m.mu.Lock()
		runs := m.runs[c.id]
		m.mu.Unlock()
		after := c.sent.Sub(stopped)
		if after <= 3*time.Second || len(runs) == 0 {
			continue
		}
		late++
		if c.complete {
			complete++
		}
		if c.whole && !c.complete {
			failed++
			r.note("%s %s: sent %.3f s after the SIGTERM, answered %d", c.path, c.id, after.Seconds(), c.status)
		}
		if !c.whole && !c.left && c.ended.Sub(stopped) <= graceTime+time.Second && c.ended.Before(c.sent.Add(c.deadline)) {
			cut++
			r.note("%s %s: sent %.3f s after the SIGTERM, ran at %s, cut %.3f s after it, %d events, %.1f s before its deadline: %v", c.path, c.id, after.Seconds(), runs[0].engine, c.ended.Sub(stopped).Seconds(), c.events, c.sent.Add(c.deadline).Sub(c.ended).Seconds(), c.err)
		}
	}
	r.note("round %d: %d streams, %d sent later than 3 s after the SIGTERM and run, %d of these complete, %d with a complete failure (not counted), %d cut", round, len(calls), late, complete, failed, cut)
	return cut, nil
}
