package direct_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/fleet"
	"hickoryvane.example/core/ident"
)

// whole answers "ok" after a moment.
func whole(_ int, r *http.Request, c net.Conn) bool {
	time.Sleep(10 * time.Millisecond)
	return writeAnswer(c, r, 200, "ok")
}

// sendTogether sends n requests at the same time, more than one target has slots for; some may be refused.
func (e *env) sendTogether(n int) {
	var all sync.WaitGroup
	for range n {
		all.Go(func() { e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(BeElementOf(200, 503)) })
	}
	all.Wait()
}

// leavingAnswers are answers of a target that leaves, by the path of the request.
func leavingAnswers() map[string]struct {
	path   string
	answer func(r *http.Request, c net.Conn) bool
} {
	type form = struct {
		path   string
		answer func(r *http.Request, c net.Conn) bool
	}
	plain := func(status int, header ...string) func(*http.Request, net.Conn) bool {
		return func(r *http.Request, c net.Conn) bool {
			return writeAnswer(c, r, status, "left", append(header, "X-Leaving", "1")...)
		}
	}
	return map[string]form{
		"success": {"/unsafe/", plain(200)},
		"refusal": {"/unsafe/", plain(503, "X-Refused", "1")},
		"error":   {"/unsafe/", plain(500)},
		"stream": {"/stream/", func(r *http.Request, c net.Conn) bool {
			_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Id: %s\r\nX-Leaving: 1\r\nContent-Type: text/event-stream\r\nContent-Length: %d\r\n\r\n%s", r.Header.Get("X-Id"), len(streamEvent(1)), streamEvent(1))
			return err == nil
		}},
		"answer to another request": {"/unsafe/", func(r *http.Request, c net.Conn) bool {
			if _, err := io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Id: other\r\nX-Leaving: 1\r\nContent-Length: 4\r\n\r\nleft"); err != nil {
				return false
			}
			return writeAnswer(c, r, 200, "ok")
		}},
	}
}

// Guards against requests at a target that says in any of its answers that it leaves, while its registration says that
// it is ready, also after that was written again; another process of the target is used.
func TestTargetThatSaysItLeavesGetsNoRequests(t *testing.T) {
	for name, form := range leavingAnswers() {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var leaves atomic.Bool
			x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
				if leaves.Load() {
					return form.answer(r, c)
				}
				return writeAnswer(c, r, 200, "ok")
			})
			e := startRouter(t, x, startTarget(t, "t2", whole))
			leaves.Store(true)
			e.g.Eventually(func() string {
				e.request("POST", form.path, "x")
				return e.log.String()
			}, 2*time.Second, time.Millisecond).Should(MatchRegexp(`event=504 .*target=t1 .*source=answer`))
			seen := len(x.requests())
			send := func() { e.sendTogether(8) }
			send()
			e.registerTarget(x, false)
			send()
			e.g.Expect(x.requests()).To(HaveLen(seen))
			leaves.Store(false)
			e.putObject("targets", x.id, fleet.Target{ID: ident.TargetID(x.id), Service: "s", Address: x.addr, Centre: "a1", Slots: 4, Boot: 2})
			e.g.Eventually(func() int {
				send()
				return len(x.requests())
			}, 2*time.Second).Should(BeNumerically(">", seen))
		})
	}
}

// Guards against routers that each have to meet the statement of a target that leaves, and against a router that has
// just started and does not know it.
func TestRoutersTellEachOtherOfLeavingTargets(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		return writeAnswer(c, r, 200, "ok", "X-Leaving", "1")
	})
	e := startRouter(t, x)
	other := startSecondRouter(t, e)
	e.registerRouter(other)
	other.awaitReady()
	e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(200))
	e.g.Eventually(other.log.String, 2*time.Second).Should(MatchRegexp(`event=504 .*target=t1 .*source=peer`))
	e.g.Expect(other.request("POST", "/unsafe/", "x").code).To(Equal(503))
	e.g.Expect(x.requests()).To(HaveLen(1))
}

// Guards against callers that wait for targets that have all left, until their time is over.
func TestCallersAreRefusedWhenTheLastTargetsLeave(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		return writeAnswer(c, r, 200, "ok", "X-Leaving", "1")
	})
	e := startRouter(t, x)
	e.g.Expect(e.request("POST", "/unsafe/", "x").code).To(Equal(200))
	began := time.Now()
	a := e.request("POST", "/unsafe/", "x")
	e.g.Expect(a.code).To(Equal(503))
	e.g.Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">=", 1))
	e.g.Expect(time.Since(began)).To(BeNumerically("<", 500*time.Millisecond))
}

// Guards against requests at a target that asked for time, from the answer until the time has passed; and against one
// that is not used afterwards.
func TestTargetThatAsksForTimeGetsNoRequests(t *testing.T) {
	const pause, underway = 800 * time.Millisecond, 200 * time.Millisecond
	var mu sync.Mutex
	var askedAt time.Time
	early, late := 0, 0
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		mu.Lock()
		defer mu.Unlock()
		switch since := time.Since(askedAt); {
		case askedAt.IsZero():
			askedAt = time.Now()
			return writeAnswer(c, r, 503, "", "X-Refused", "1", "X-Pause", fmt.Sprint(pause.Seconds()))
		case since >= pause:
			late++
		case since > underway:
			early++
		}
		return writeAnswer(c, r, 200, "ok")
	})
	e := startRouter(t, x, startTarget(t, "t2", whole))
	for began := time.Now(); time.Since(began) < 3*time.Second; {
		e.sendTogether(8)
	}
	mu.Lock()
	defer mu.Unlock()
	e.g.Expect(askedAt.IsZero()).To(BeFalse())
	e.g.Expect(early).To(BeZero())
	e.g.Expect(late).NotTo(BeZero())
}

// Guards against requests that are sent through targets that all ask for time: they wait for the first that comes back
// if their deadlines allow it, and are refused with that time otherwise.
func TestAllTargetsAskForTime(t *testing.T) {
	for _, c := range []struct {
		pause  float64
		served bool
	}{{0.5, true}, {5, false}} {
		t.Run(fmt.Sprint(c.pause), func(t *testing.T) {
			t.Parallel()
			var asked [2]atomic.Bool
			var targets []*scriptedTarget
			for i := range asked {
				targets = append(targets, startTarget(t, fmt.Sprint("t", i), func(_ int, r *http.Request, k net.Conn) bool {
					if !asked[i].Swap(true) {
						return writeAnswer(k, r, 503, "", "X-Refused", "1", "X-Pause", fmt.Sprint(c.pause))
					}
					return writeAnswer(k, r, 200, "ok")
				}))
			}
			e := startRouter(t, targets...)
			began := time.Now()
			a := e.request("POST", "/unsafe/", "x")
			took := time.Since(began)
			e.g.Expect(len(targets[0].requests()) + len(targets[1].requests())).To(BeNumerically("<=", 3))
			if c.served {
				e.g.Expect(a.code).To(Equal(200))
				e.g.Expect(took).To(BeNumerically(">=", 500*time.Millisecond))
				return
			}
			e.g.Expect(a.code).To(Equal(503))
			e.g.Expect(strconv.ParseFloat(a.header.Get("Retry-After"), 64)).To(BeNumerically(">", 4.5))
			e.g.Expect(took).To(BeNumerically("<", time.Second))
		})
	}
}
