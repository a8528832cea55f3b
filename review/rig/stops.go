package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

func init() { cases["stops"] = stopsCase }

const (
	grace = 8 * time.Second
	// excusedUntil is the time after a SIGTERM up to which the rule LOST excuses a request that is cut in the last sixth
	// of grace-s.
	excusedUntil = 3 * time.Second
	// farOff is the spread of Length-Hint: "accurate at the median but often far off".
	farOff = 1.0
	// scaledIn is the number of engines that have been emptied before, one by one, as scale_in does.
	scaledIn = 3
	// drainTime is drain-ms and a little longer.
	drainTime = 3500 * time.Millisecond
	// stopGap is the pause between the stops of two fronts.
	stopGap = time.Second
	// stopPause is the pause after all have stopped, in which they are ready again and in touch.
	stopPause = 3 * time.Second
	// stopRounds is the number of times that all fronts are stopped in turn.
	stopRounds = 6
)

// stopsCase: the fronts get SIGTERM in turn, one a second, and start again, while streams arrive.
func stopsCase(s *site, trouble bool) outcome {
	rnd := rand.New(rand.NewPCG(2, uint64(time.Now().UnixNano())))
	if err := s.begin(); err != nil {
		s.say("%v", err)
		return failed
	}
	if !s.startFronts(134) {
		return failed
	}
	for _, e := range s.engines[:scaledIn] {
		s.store.put("servers", e.id, e.registration("draining"))
		time.AfterFunc(drainTime, func() {
			s.store.put("servers", e.id, nil)
			_ = e.srv.Close()
		})
	}
	var mu sync.Mutex
	stopped := map[string]time.Time{}
	var stops sync.WaitGroup
	quit := time.Now().Add(88 * time.Second)
	if trouble {
		stops.Go(func() {
			time.Sleep(6 * time.Second)
			for round := range stopRounds {
				var turn sync.WaitGroup
				for _, f := range s.fronts {
					turn.Go(func() {
						mu.Lock()
						stopped[fmt.Sprint(f.name, " ", round)] = time.Now()
						mu.Unlock()
						f.stop(grace)
					})
					time.Sleep(stopGap)
				}
				turn.Wait()
				time.Sleep(stopPause)
			}
		})
	}
	hintSpread = farOff
	s.sendSheet(rnd, time.Until(quit), 1, nil)
	stops.Wait()
	s.wg.Wait()
	return s.judgeStops(stopped)
}

// judgeStops checks the rule LOST around planned work.
func (s *site) judgeStops(stopped map[string]time.Time) outcome {
	lost, excused := 0, 0
	status := map[int]int{}
	for _, r := range s.results {
		status[r.status]++
		x, e := s.runOf(r.id)
		if e == nil || r.whole || r.excused() {
			continue // not passed on, answered, or at its limit
		}
		for key, at := range stopped {
			since := r.sentAt.Sub(at)
			if key[:len(key)-2] != r.front || since < 0 || r.endedAt.Sub(at) > grace+time.Second {
				continue // not within the planned work: until 1 s after grace-s
			}
			if since <= excusedUntil {
				excused++
				continue
			}
			lost++
			s.rec.add("lost: %s was sent to %s %.2f s after its SIGTERM, ran at %s for %.2f s and was cut after %d events, %.2f s after the SIGTERM: %v",
				r.id, r.front, since.Seconds(), e.id, x.end.Sub(x.at).Seconds(), r.events, r.endedAt.Sub(at).Seconds(), r.err)
		}
	}
	s.say("%d requests; by status (0: none): %v; sent up to 3 s after the SIGTERM and cut (excused): %d; sent later, passed on and cut: %d", len(s.results), status, excused, lost)
	if lost > 0 {
		return broken
	}
	return held
}
