package direct_test

import (
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

const (
	// statedRate is the rate that the target of the test states, per second, for all routers together.
	statedRate = 2.0
	// rateWindow is the time over which the platform counts; it allows rateFactor times the rate, and rateSlack.
	rateWindow = 4 * time.Second
	rateFactor = 1.5
	rateSlack  = 5
	// rateGrace is the time after the first statement from which the rate binds.
	rateGrace = time.Second
)

// Guards against a target that gets far more requests than it states to take from all routers together, and against
// refusing requests for that while another target has room.
func TestTargetGetsNoMoreThanItStates(t *testing.T) {
	var mu sync.Mutex
	var arrivals []time.Time
	limited := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		mu.Lock()
		arrivals = append(arrivals, time.Now())
		mu.Unlock()
		return writeAnswer(c, r, 200, "ok", "X-Rate", "2")
	})
	e := startRouter(t, limited, startTarget(t, "t2", answerOK))
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	other.awaitReady()
	done := make(chan int)
	for i := range 8 {
		x := e
		if i%2 == 1 {
			x = other
		}
		go func() {
			failed := 0
			for end := time.Now().Add(7 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
				if x.request("GET", "/safe/", "").code != 200 {
					failed++
				}
			}
			done <- failed
		}()
	}
	failed := 0
	for range 8 {
		failed += <-done
	}
	e.g.Expect(failed).To(BeZero())
	mu.Lock()
	defer mu.Unlock()
	most := 0
	for i, at := range arrivals {
		if at.Sub(arrivals[0]) < rateGrace {
			continue
		}
		n := 0
		for _, later := range arrivals[i:] {
			if later.Sub(at) < rateWindow {
				n++
			}
		}
		most = max(most, n)
	}
	allowed := rateFactor*statedRate*rateWindow.Seconds() + rateSlack
	e.g.Expect(float64(most)).To(BeNumerically("<=", allowed))
	e.g.Expect(most).To(BeNumerically(">=", int(statedRate*rateWindow.Seconds()/2)), "the target is used")
}
