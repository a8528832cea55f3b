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

// maker makes the n-th call of a background load. Calls must differ, so that each has its own answer.
type maker func(n int) call

// traffic is a background load: workers that send one call after the other.
type traffic struct {
	site *site
	// balance makes the workers leave out a router that is not ready, as the platform's load balancer does.
	balance bool
	stop    atomic.Bool
	next    atomic.Int64
	wg      sync.WaitGroup

	mu   sync.Mutex
	list []reply
}

// pauseTime is the time between two calls of a worker; it bounds the load on a busy machine.
const pauseTime = 20 * time.Millisecond

// traffic starts workers, which use the routers in turn.
func (s *site) traffic(workers int, balance bool, build maker) *traffic {
	l := &traffic{site: s, balance: balance}
	for range workers {
		l.wg.Add(1)
		go l.work(build)
	}
	return l
}

func (l *traffic) work(build maker) {
	defer l.wg.Done()
	routers := l.site.of("caller")
	for !l.stop.Load() {
		n := int(l.next.Add(1))
		at := routers[n%len(routers)]
		if l.balance && !l.site.ready(at.name) {
			at = routers[(n+1)%len(routers)]
		}
		r := l.site.send(at.addr, build(n))
		l.mu.Lock()
		l.list = append(l.list, r)
		l.mu.Unlock()
		time.Sleep(pauseTime)
	}
}

// ready asks a process whether it is ready.
func (s *site) ready(name string) bool {
	res, err := s.client.Get("http://" + s.addr("admin", name) + "/readyz")
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// end stops the workers and returns all replies.
func (l *traffic) end() []reply {
	l.stop.Store(true)
	l.wg.Wait()
	return l.list
}

// count returns the number of replies so far for which f holds.
func (l *traffic) count(f func(reply) bool) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, r := range l.list {
		if f(r) {
			n++
		}
	}
	return n
}

// question returns a maker of short questions, whole or as streams.
func question(account, model string, tokens int, stream bool) maker {
	return func(n int) call { return ask(account, model, "question "+strconv.Itoa(n), tokens, stream) }
}

// verdict names the end of a reply as its caller sees it.
func (r reply) verdict() string {
	var dial *net.OpError
	switch {
	case r.whole():
		return "whole"
	case errors.As(r.err, &dial) && dial.Op == "dial":
		return "no connection"
	case r.err != nil:
		return "broken off"
	}
	p := r.problem()
	if p.Reason == "" { // the target's own error
		return fmt.Sprintf("status %d", r.code)
	}
	return fmt.Sprintf("%s, %s", p.Reason, p.Run)
}

// tally counts replies by their verdicts.
func tally(list []reply) map[string]int {
	m := map[string]int{}
	for _, r := range list {
		m[r.verdict()]++
	}
	return m
}
