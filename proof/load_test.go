package proof_test

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// callMaker returns the n-th call of a background load. Calls must differ, so that each has its own answer.
type callMaker func(n int) call

// traffic is a background load: workers that each send one call after another.
type traffic struct {
	deployment *deployment
	// skipUnready makes the workers skip a router that is not ready, as the platform's load balancer does.
	skipUnready bool
	stopped     atomic.Bool
	lastCall    atomic.Int64
	wg          sync.WaitGroup

	mu      sync.Mutex
	replies []reply
}

// callPause is the time between two calls of a worker; it limits the load on a busy machine.
const callPause = 20 * time.Millisecond

// startTraffic starts workers that use the routers in turn.
func (s *deployment) startTraffic(workers int, skipUnready bool, build callMaker) *traffic {
	l := &traffic{deployment: s, skipUnready: skipUnready}
	for range workers {
		l.wg.Add(1)
		go l.sendCalls(build)
	}
	return l
}

func (l *traffic) sendCalls(build callMaker) {
	defer l.wg.Done()
	routers := l.deployment.endpointsFor("caller")
	for !l.stopped.Load() {
		n := int(l.lastCall.Add(1))
		at := routers[n%len(routers)]
		if l.skipUnready && !l.deployment.isReady(at.name) {
			at = routers[(n+1)%len(routers)]
		}
		r := l.deployment.send(at.addr, build(n))
		l.mu.Lock()
		l.replies = append(l.replies, r)
		l.mu.Unlock()
		time.Sleep(callPause)
	}
}

// isReady reports whether a process answers that it is ready.
func (s *deployment) isReady(name string) bool {
	res, err := s.client.Get("http://" + s.addr("admin", name) + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// stopAndCollect stops the workers and returns all replies.
func (l *traffic) stopAndCollect() []reply {
	l.stopped.Store(true)
	l.wg.Wait()
	return l.replies
}

// count returns the number of replies so far for which f holds.
func (l *traffic) count(f func(reply) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.replies {
		if f(r) {
			n++
		}
	}
	return n
}

// questionCalls returns a callMaker for short questions with complete or streamed answers.
func questionCalls(account, model string, tokens int, stream bool) callMaker {
	return func(n int) call { return chatCall(account, model, "question "+strconv.Itoa(n), tokens, stream) }
}

// outcome returns the outcome of a call as its caller sees it.
func (r reply) outcome() string {
	var opErr *net.OpError
	switch {
	case r.complete():
		return "whole"
	case errors.As(r.err, &opErr) && opErr.Op == "dial":
		return "no connection"
	case r.err != nil:
		return "broken off"
	}
	p := r.problem()
	if p.Reason == "" { // an error response of the target itself
		return fmt.Sprintf("status %d", r.code)
	}
	return fmt.Sprintf("%s, %s", p.Reason, p.Run)
}

// countOutcomes counts replies by outcome.
func countOutcomes(list []reply) map[string]int {
	m := map[string]int{}
	for _, r := range list {
		m[r.outcome()]++
	}
	return m
}
