package direct_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/route"
)

// Guards against a new connection to a target for each request that comes more than a second after the one before,
// although the target keeps connections for longer, and against idle connections beyond what it accepts from all routers.
func TestConnectionRestsAsLongAsItsTargetAllows(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool {
		return writeAnswer(c, r, 200, "ok", "Keep-Alive", "timeout=60")
	})
	e := startRouter(t, x)
	connsAfter := func(path string) int {
		time.Sleep(1200 * time.Millisecond)
		e.g.Expect(e.request("GET", path, "").code).To(Equal(200))
		x.mu.Lock()
		defer x.mu.Unlock()
		return x.conns
	}
	first := connsAfter("/safe/")
	e.g.Expect(connsAfter("/safe/")).To(Equal(first))
	e.g.Expect(connsAfter("/unsafe/")).To(Equal(first+1), "may run only once")
	e.putObject("config", "main", config{Generation: 2, Routes: routes(), Services: []route.Service{{Name: "s", MaxConns: 1}}})
	e.g.Eventually(e.log.String).Should(ContainSubstring("generation=2"))
	time.Sleep(1200 * time.Millisecond) // the limits are divided once a second
	before := connsAfter("/safe/")
	e.g.Expect(connsAfter("/safe/")).To(Equal(before + 1))
}
