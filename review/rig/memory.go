package main

import (
	"math/rand/v2"
	"os"
	"strconv"
	"time"
)

func init() { cases["memory"] = memoryCase }

const (
	// killTimes and killTime are the disruption: herd_kill, "share (.6) are killed at once", for_s 5; of three fronts two.
	killTimes = 2
	killTime  = 5 * time.Second
	// killEvery leaves the time in which the fronts are in touch again.
	killEvery = 14 * time.Second
	// memoryMB is memory-mb of a front.
	memoryMB = 134
)

// attachment is the size of the bodies of site-assessment and hire-answer; body-bytes allows 4,194,304 bytes.
var attachment = 2_000_000

// memoryCase: requests come with bodies of some MB, and two fronts of three are killed.
func memoryCase(s *site, trouble bool) outcome {
	rnd := rand.New(rand.NewPCG(1, uint64(time.Now().UnixNano())))
	if v, err := strconv.Atoi(os.Getenv("ATTACHMENT")); err == nil {
		attachment = v
	}
	if err := s.begin(); err != nil {
		s.say("%v", err)
		return failed
	}
	if !s.startFronts(memoryMB) {
		return failed
	}
	attach := func(m mixed, q *request) {
		if m.name == "site-assessment" || m.name == "hire-answer" {
			q.body = filler[:attachment]
		}
	}
	s.sendSheet(rnd, 10*time.Second, 1, attach)
	for range killTimes {
		if trouble {
			s.say("%s and %s are killed for %v", s.fronts[1].name, s.fronts[2].name, killTime)
			s.fronts[1].powerOff(killTime)
			s.fronts[2].powerOff(killTime)
		}
		s.sendSheet(rnd, killEvery, 1, attach)
	}
	s.wg.Wait()
	return s.judgeMemory()
}

// judgeMemory checks the rule LOST at the front that nothing was done to.
func (s *site) judgeMemory() outcome {
	for _, f := range s.fronts {
		f.mu.Lock()
		s.say("%s: peak %.1f of %g MB, killed for it at %v", f.name, f.peakMB, f.memoryMB, f.ends)
		f.mu.Unlock()
	}
	return s.judgeEnds(s.fronts[0].name)
}
