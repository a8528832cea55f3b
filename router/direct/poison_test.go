package direct_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/gomega"
)

// poisonedFleet is a set of targets that crash under requests with the part "deadly"; each crashed target is replaced
// by another one.
type poisonedFleet struct {
	t *testing.T
	e *env
	// mu guards the fields below.
	mu      sync.Mutex
	started int
	// crashed counts the requests under which a target crashed.
	crashed int
}

func newPoisonedFleet(t *testing.T, e *env, size int) *poisonedFleet {
	f := &poisonedFleet{t: t, e: e}
	for range size {
		f.start()
	}
	return f
}

func (f *poisonedFleet) start() {
	f.mu.Lock()
	f.started++
	id := fmt.Sprint("t", f.started)
	f.mu.Unlock()
	var x *scriptedTarget
	x = startTarget(f.t, id, func(_ int, r *http.Request, c net.Conn) bool {
		if !strings.Contains(r.Header.Get("X-Parts"), "deadly") {
			return answerOK(0, r, c)
		}
		_ = x.ln.Close() // connections are refused from now on
		f.mu.Lock()
		f.crashed++
		f.mu.Unlock()
		return false
	})
	f.e.registerTarget(x, false)
}

func (f *poisonedFleet) crashes() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed
}

// crashesAllowed is the number of targets that may crash under one part before requests with it are refused; the
// platform counts from the fifth on.
const crashesAllowed = 5

// Guards against a part of prompts that crashes one target after another while no two requests are alike, and against
// refusing requests that have only their other parts in common with these.
func TestPartThatCrashesTargetsIsRefused(t *testing.T) {
	e := newEnv(t)
	f := newPoisonedFleet(t, e, 3)
	e.runRouter(t, e.store)
	served := 0
	for i := range 12 {
		body := fmt.Sprint("request ", i)
		a := e.request("POST", "/unsafe/", body, "X-Parts", "shared deadly")
		if a.code == 503 {
			e.g.Expect(a.header.Get("Retry-After")).NotTo(BeEmpty())
		}
		if f.crashes() > i-1 {
			f.start()
		}
		for _, parts := range []string{"shared", "other"} {
			if a := e.request("POST", "/safe/", body, "X-Parts", parts); a.code == 200 {
				served++
			}
		}
		time.Sleep(300 * time.Millisecond) // crashes at the same moment count as one
	}
	e.g.Expect(f.crashes()).To(BeNumerically("<=", crashesAllowed))
	e.g.Expect(served).To(Equal(24), "requests without the part")
}

// Guards against learning by more crashes what was known before all routers stopped.
func TestBlockOutlivesAllRouters(t *testing.T) {
	e := newEnv(t)
	f := newPoisonedFleet(t, e, 5)
	e.runRouter(t, e.store)
	for f.crashes() < crashesAllowed {
		if e.request("POST", "/unsafe/", fmt.Sprint(f.crashes()), "X-Parts", "shared deadly").code == 503 {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	e.g.Eventually(func() error { _, err := e.store.Get(t.Context(), "blocks", blocksOf(e)); return err }, time.Second).Should(Succeed())
	known := f.crashes()
	e.stop()
	next := newEnv(t)
	next.store = e.store
	e.g.Eventually(func() error { _, err := net.Dial("tcp", e.cfg.Listen); return err }, 6*time.Second).ShouldNot(Succeed())
	e = next
	e.runRouter(t, e.store)
	e.g.Eventually(func() int { return e.request("POST", "/unsafe/", "again", "X-Parts", "shared deadly").code }, time.Second).Should(Equal(503))
	e.g.Expect(f.crashes()).To(BeNumerically("<=", known+1), "the block may be read after the router is ready")
	e.g.Expect(e.request("POST", "/safe/", "x", "X-Parts", "shared").code).To(Equal(200))
}

// blocksOf returns the name of the first recorded block.
func blocksOf(e *env) string {
	list, _, err := e.store.List(context.Background(), "blocks")
	if err != nil || len(list) == 0 {
		return ""
	}
	return list[0].Name
}

// Guards against a crash that counts only if another request happens to go to the same target within seconds.
func TestCrashIsNoticedWithoutAnotherRequest(t *testing.T) {
	e := newEnv(t)
	newPoisonedFleet(t, e, 1)
	e.runRouter(t, e.store)
	e.g.Expect(e.request("POST", "/unsafe/", "x", "X-Parts", "deadly").code).To(Equal(502))
	e.g.Eventually(e.log.String, time.Second).Should(ContainSubstring("event=409"))
}
