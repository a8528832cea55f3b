package direct_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/conf"
	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/route"
)

const (
	// coldRate is what a cold target of the tests takes a second from all routers together; coldMost is the bound of any
	// second.
	coldRate = 10.0
	coldMost = 1.5*coldRate + 5
)

// arrivalLog records the times at which a target got requests.
type arrivalLog struct {
	mu    sync.Mutex
	times []time.Time
}

func (l *arrivalLog) add() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.times = append(l.times, time.Now())
}

// most returns the largest number of requests that arrived within a second in the time d from begin on.
func (l *arrivalLog) most(begin time.Time, d time.Duration) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.times {
		k := 0
		for _, later := range l.times[i:] {
			if !at.Before(begin) && later.Sub(at) < time.Second && later.Sub(begin) < d {
				k++
			}
		}
		n = max(n, k)
	}
	return n
}

// newColdEnv returns an environment whose service has cold targets, with a warm target.
func newColdEnv(t *testing.T) *env {
	e := newEnv(t)
	e.putObject("config", "main", config{Generation: 2, Routes: routes(), Services: []route.Service{{Name: "s", ColdTime: 3 * time.Second, ColdRate: coldRate}}})
	warm := startTarget(t, "warm", func(_ int, r *http.Request, c net.Conn) bool {
		time.Sleep(5 * time.Millisecond)
		return writeAnswer(c, r, 200, "ok")
	})
	e.cfg.Centres = append(e.cfg.Centres, conf.Centre{Name: "b1", Region: "a"})
	e.registerIn(warm, "b1")
	return e
}

// load sends requests at several places at once for d, and expects that all are served.
func (e *env) load(d time.Duration, routers ...*env) {
	done := make(chan int)
	for i := range 3 * len(routers) {
		go func() {
			failed := 0
			for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				if routers[i%len(routers)].request("GET", "/safe/", "").code != 200 {
					failed++
				}
			}
			done <- failed
		}()
	}
	failed := 0
	for range 3 * len(routers) {
		failed += <-done
	}
	e.g.Expect(failed).To(BeZero(), "requests do not fail for a cold target while another one has room")
}

// Guards against routers that send a target more than it takes while it is cold: one that registers after the first list,
// that states in an answer that it is cold again, and that restarts before its registration tells.
func TestColdTargetGetsFewRequests(t *testing.T) {
	var l arrivalLog
	var cold sync.Once
	script := func(_ int, r *http.Request, c net.Conn) bool {
		l.add()
		header := []string{}
		cold.Do(func() { header = []string{"X-Cold", "4000"} })
		return writeAnswer(c, r, 200, "ok", header...)
	}
	e := newColdEnv(t)
	e.runRouter(t, e.store)
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	other.awaitReady()
	x := startTarget(t, "cold", script)
	began := time.Now()
	e.registerTarget(x, false)
	e.awaitEvent("event=520 target=cold .*source=registration")
	e.load(3800*time.Millisecond, e, other)
	e.g.Expect(l.most(began, 3800*time.Millisecond)).To(BeNumerically("<=", coldMost), "it states that it is cold for longer than the service")
	e.g.Expect(l.most(began, 3800*time.Millisecond)).To(BeNumerically(">", 2))
	time.Sleep(time.Until(began.Add(5 * time.Second)))
	e.load(time.Second, e, other)
	e.g.Expect(l.most(began, time.Minute)).To(BeNumerically(">", coldMost), "it is warm")
	_ = x.ln.Close()
	x.closeConns()
	e.load(300*time.Millisecond, e, other)
	startTargetAt(t, "cold", x.addr, script)
	back := time.Now()
	e.load(1500*time.Millisecond, e, other)
	e.g.Expect(l.most(back, 1500*time.Millisecond)).To(BeNumerically("<=", coldMost), "it restarted without a new registration")
}

// Guards against targets that count as cold because the router has just started, and against lifted evacuations whose
// targets get the full load at once.
func TestTargetsAreColdAfterAnEvacuation(t *testing.T) {
	var l arrivalLog
	e := newColdEnv(t)
	x := startTarget(t, "x", func(_ int, r *http.Request, c net.Conn) bool {
		l.add()
		return writeAnswer(c, r, 200, "ok")
	})
	e.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 40, Boot: 1})
	e.runRouter(t, e.store)
	started := time.Now()
	e.load(time.Second, e)
	e.g.Expect(l.most(started, time.Minute)).To(BeNumerically(">", coldMost), "it is warm at the start of the router")
	e.evacuate("a1", true)
	e.awaitEvent("event=321 centre=a1")
	e.load(300*time.Millisecond, e)
	e.evacuate("a1", false)
	began := time.Now()
	e.awaitEvent("event=322 centre=a1")
	e.load(2*time.Second, e)
	e.g.Expect(l.most(began, 2*time.Second)).To(BeNumerically("<=", coldMost))
}
