package direct_test

import (
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	. "github.com/onsi/gomega"

	"hickoryvane.example/core/event"
	"hickoryvane.example/core/meter"
	"hickoryvane.example/router/direct"
)

// crashUnder starts routers in front of n targets. passed requests are answered by the first router; then each target but
// the last one crashes while it runs one more request like them.
func crashUnder(t *testing.T, n, passed int) (routers []*env, last *scriptedTarget) {
	e := newEnv(t)
	running, crash := make(chan *scriptedTarget, n), make(chan struct{})
	targets := map[*scriptedTarget]bool{}
	for i := range n {
		var x *scriptedTarget
		x = startTarget(t, string(rune('a'+i)), func(_ int, r *http.Request, c net.Conn) bool {
			if r.Header.Get("X-Hold") == "" {
				return answerOK(0, r, c)
			}
			running <- x
			<-crash
			return false
		})
		targets[x] = true
		e.registerTarget(x, false)
	}
	routers = twoRouters(t, e)
	for range passed {
		e.g.Expect(e.popular(time.Second).code).To(Equal(200))
	}
	var held []*scriptedTarget
	for range n - 1 {
		go e.request("GET", "/unsafe/popular", "", "X-Hold", "1")
		var x *scriptedTarget
		e.g.Eventually(running).Should(Receive(&x))
		held = append(held, x)
		delete(targets, x)
	}
	e.g.Expect(targets).To(HaveLen(1), "each request on another target")
	for _, x := range held {
		_ = x.ln.Close()
	}
	close(crash)
	for x := range targets {
		last = x
	}
	return routers, last
}

// popular sends a request like those that ran at the crashes.
func (e *env) popular(timeout time.Duration) answer {
	return e.request("GET", "/unsafe/popular", "", "X-Left", timeoutMillis(timeout))
}

// Guards against sound requests that are refused for seconds while the last target has room for them, because others like
// them, which had been answered many times, ran on targets that crashed together.
func TestRequestThatPassedRunsOnTheLastTarget(t *testing.T) {
	for _, n := range []int{3, 4} {
		routers, _ := crashUnder(t, n, 5)
		for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
			for _, r := range routers {
				a := r.popular(2 * time.Second)
				r.g.Expect(a.code).To(Equal(200), "%d targets: %v", n, a)
			}
		}
	}
}

// Guards against a request that ends the last target of a service, when nothing tells it from those that crash targets.
func TestRequestThatNeverPassedSparesTheLastTarget(t *testing.T) {
	routers, last := crashUnder(t, 3, 0)
	time.Sleep(400 * time.Millisecond)
	for range 5 {
		for _, r := range routers {
			a := r.popular(2 * time.Second)
			r.g.Expect(a.code).To(Equal(http.StatusServiceUnavailable), "%v", a)
			r.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
			r.g.Expect(a.body).To(ContainSubstring(`"run":"not run"`))
		}
	}
	routers[0].g.Expect(last.requests()).To(BeEmpty())
}

// Guards against a request on trial that waits for itself until half of its time is over, and is refused, because its
// placement was released: its target left before it was sent.
func TestRequestOnTrialKeepsItsTurn(t *testing.T) {
	e := newEnv(t)
	m, err := meter.New()
	e.g.Expect(err).NotTo(HaveOccurred())
	r := direct.New(e.cfg, e.store, catalogue{}, dialect{}, event.New(e.log, log.InfoLevel), m)
	at := func(ms int) time.Time { return time.Unix(1_800_000_000, 0).Add(time.Duration(ms) * time.Millisecond) }
	e.g.Expect(r.AskForTrial(at(0), at(150), at(170))).To(Equal([]bool{false, true, true}))
}

func timeoutMillis(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) }
