package direct_test

import (
	"context"
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

// restartingFleet is a set of targets that end under each deadly request, and start again.
type restartingFleet struct {
	t *testing.T
	e *env
	// silent is true if targets keep their connections and answer nothing until they start again.
	silent bool
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
	// ended is closed when the process ends, hung is true from then on or once it is silent.
	ended chan struct{}
	hung  bool
}

func newRestartingFleet(t *testing.T, e *env, size int) *restartingFleet {
	f := &restartingFleet{t: t, e: e, running: map[int]*restartingTarget{}}
	for range size {
		f.start("127.0.0.1:0")
	}
	return f
}

// start starts a process under a new id.
func (f *restartingFleet) start(addr string) {
	f.mu.Lock()
	f.started++
	p := &restartingTarget{n: f.started, conns: map[net.Conn]bool{}, ended: make(chan struct{})}
	f.running[p.n] = p
	f.mu.Unlock()
	x := startTargetAt(f.t, fmt.Sprint("t", p.n), addr, func(_ int, r *http.Request, c net.Conn) bool { return f.serve(p, r, c) })
	f.mu.Lock()
	p.scriptedTarget = x
	f.mu.Unlock()
	f.e.registerTarget(x, false)
}

func (f *restartingFleet) serve(p *restartingTarget, r *http.Request, c net.Conn) bool {
	f.mu.Lock()
	p.conns[c] = true
	hung := p.hung
	deadly := r.Header.Get("X-Deadly") != ""
	if deadly && !hung {
		f.arrivals = append(f.arrivals, time.Now())
	}
	f.mu.Unlock()
	switch {
	case hung:
		<-p.ended
		return false
	case deadly:
		time.Sleep(deadlyTime)
		f.end(p, true)
		<-p.ended
		return false
	}
	time.Sleep(20 * time.Millisecond)
	select {
	case <-p.ended:
		return false
	default:
		return answerOK(0, r, c)
	}
}

// end ends a process, or makes it silent. Connections close, at once or when the next process starts.
func (f *restartingFleet) end(p *restartingTarget, byRequest bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if p.hung {
		return
	}
	p.hung = true
	delete(f.running, p.n)
	if !f.silent {
		p.close()
	}
	if byRequest {
		f.ends = append(f.ends, time.Now())
	}
	time.AfterFunc(restartTime, func() { f.restart(p) })
}

// restart ends a process for good, removes its registration, and starts the next one at its address.
func (f *restartingFleet) restart(p *restartingTarget) {
	f.mu.Lock()
	if f.silent {
		p.close()
	}
	f.mu.Unlock()
	ctx := context.Background()
	if o, err := f.e.store.Get(ctx, "targets", p.id); err == nil {
		_ = f.e.store.Delete(ctx, o)
	}
	f.start(p.addr)
}

func (p *restartingTarget) close() {
	close(p.ended)
	_ = p.ln.Close()
	for c := range p.conns {
		_ = c.Close()
	}
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
	testDeadlyRequest(t, false)
}

// Guards against a request under which targets fall silent until they start again, and that is never suspected as no
// connection is refused.
func TestRequestThatSilencesAllTargetsIsRefused(t *testing.T) {
	testDeadlyRequest(t, true)
}

func testDeadlyRequest(t *testing.T, silent bool) {
	e := newEnv(t)
	f := newRestartingFleet(t, e, 3)
	f.silent = silent
	routers := twoRouters(t, e)
	var callers sync.WaitGroup
	var mu sync.Mutex
	served, sent := 0, 0
	for end := time.Now().Add(6 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
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
	for _, r := range routers {
		e.g.Expect(r.request("GET", "/safe/sound", "").code).To(Equal(200), "a request that only ran beside the others")
	}
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
