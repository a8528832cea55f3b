package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// deadlyTime is the time from the arrival of a deadly request to the end of its target, restartTime that from there
	// to the start of the next process at its place.
	deadlyTime  = 94 * time.Millisecond
	restartTime = time.Second
	// stableTime is the time after the third end from which deadly requests are counted, lateMax the number allowed.
	stableTime = 900 * time.Millisecond
	lateMax    = 3
)

// restartingFleet is a set of targets that end under each request with the body "deadly", and start again.
type restartingFleet struct {
	t *testing.T
	e *env
	// mu guards the fields below.
	mu      sync.Mutex
	started int
	// running are the targets that run, by number; ends are the times at which one ended under a deadly request, in order.
	running map[int]*restartingTarget
	ends    []time.Time
	// arrivals are the times at which deadly requests arrived at targets; lost counts the other requests that ended
	// with a target.
	arrivals []time.Time
	lost     int
}

// restartingTarget is one process of a target.
type restartingTarget struct {
	*scriptedTarget
	n     int
	conns map[net.Conn]bool
	ended bool
}

func newRestartingFleet(t *testing.T, e *env, size int) *restartingFleet {
	f := &restartingFleet{t: t, e: e, running: map[int]*restartingTarget{}}
	for range size {
		f.start()
	}
	return f
}

// start starts a process under a new id.
func (f *restartingFleet) start() {
	f.mu.Lock()
	f.started++
	p := &restartingTarget{n: f.started, conns: map[net.Conn]bool{}}
	f.running[p.n] = p
	f.mu.Unlock()
	x := startTarget(f.t, fmt.Sprint("t", p.n), func(_ int, r *http.Request, c net.Conn) bool { return f.serve(p, r, c) })
	f.mu.Lock()
	p.scriptedTarget = x
	f.mu.Unlock()
	f.e.registerTarget(x, false)
}

func (f *restartingFleet) serve(p *restartingTarget, r *http.Request, c net.Conn) bool {
	f.mu.Lock()
	p.conns[c] = true
	ended := p.ended
	deadly := r.Header.Get("X-Deadly") != ""
	if deadly && !ended {
		f.arrivals = append(f.arrivals, time.Now())
	}
	f.mu.Unlock()
	if ended {
		return false
	}
	if deadly {
		time.Sleep(deadlyTime)
		f.end(p, true)
		return false
	}
	time.Sleep(20 * time.Millisecond)
	return answerOK(0, r, c)
}

// end ends a process: connections close, and new ones are refused until the next process is up.
func (f *restartingFleet) end(p *restartingTarget, byRequest bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.ended {
		return
	}
	p.ended = true
	delete(f.running, p.n)
	_ = p.ln.Close()
	for c := range p.conns {
		_ = c.Close()
	}
	if byRequest {
		f.ends = append(f.ends, time.Now())
	}
	time.AfterFunc(restartTime, f.start)
}

// endAll ends all processes at once, for a reason of their own.
func (f *restartingFleet) endAll() {
	f.mu.Lock()
	var all []*restartingTarget
	for _, p := range f.running {
		all = append(all, p)
	}
	f.mu.Unlock()
	for _, p := range all {
		f.end(p, false)
	}
}

// late returns the number of deadly requests that arrived later than stableTime after the third end.
func (f *restartingFleet) late() (n int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.ends) < 3 {
		return 0
	}
	for _, at := range f.arrivals {
		if at.Sub(f.ends[2]) > stableTime {
			n++
		}
	}
	return n
}

// twoRouters starts two routers in front of the targets of e.
func twoRouters(t *testing.T, e *env) []*env {
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	e.runRouter(t, e.store)
	other.awaitReady()
	return []*env{e, other}
}

// Guards against a request that ends all targets of a service together, again and again, as targets that end together
// also come back together.
func TestRequestThatEndsAllTargetsTogetherIsRefused(t *testing.T) {
	e := newEnv(t)
	f := newRestartingFleet(t, e, 3)
	routers := twoRouters(t, e)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for end := time.Now().Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for _, r := range routers {
			callers.Go(func() { r.request("GET", "/safe/x", "", "X-Deadly", "1") })
			callers.Go(func() {
				a := r.request("GET", "/safe/sound", "")
				mu.Lock()
				defer mu.Unlock()
				sent++
				if a.code == 200 {
					served++
				}
			})
		}
	}
	callers.Wait()
	t.Logf("%d targets ended, %d deadly requests arrived, %d late, %d of %d sound requests served", len(f.ends), len(f.arrivals), f.late(), served, sent)
	e.g.Expect(f.late()).To(BeNumerically("<=", lateMax))
}

// Guards against a sound request that is refused because it ran on targets that ended together for another reason.
func TestRequestOnTargetsThatEndedForAnotherReasonIsServed(t *testing.T) {
	e := newEnv(t)
	f := newRestartingFleet(t, e, 3)
	routers := twoRouters(t, e)
	for range 3 {
		var callers sync.WaitGroup
		for range 6 {
			for _, r := range routers {
				callers.Go(func() { r.request("GET", "/safe/sound", "") })
			}
		}
		time.Sleep(10 * time.Millisecond)
		f.endAll()
		callers.Wait()
		time.Sleep(restartTime + 200*time.Millisecond)
		for _, r := range routers {
			a := r.request("GET", "/safe/sound", "")
			e.g.Expect(a.code).To(Equal(200), "%v", a)
		}
	}
}
