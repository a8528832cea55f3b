package direct_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"hickoryvane.example/core/ident"
	"hickoryvane.example/core/wire"
)

// Guards against a router that goes on taking callers while it is short of memory, and against one that withdraws, or
// stays withdrawn, although too few others are ready.
func TestRouterShortOfMemoryWithdraws(t *testing.T) {
	x := startTarget(t, "t1", func(_ int, r *http.Request, c net.Conn) bool { return writeAnswer(c, r, 200, "ok") })
	e := newEnv(t)
	e.cfg.MemoryMB = 1
	e.registerTarget(x, false)
	e.runRouter(t, e.store)
	c, err := net.Dial("udp4", e.cfg.Heartbeat)
	e.g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = c.Close() }()
	seq := ident.Seq(0)
	probe := func(ready bool) func() int {
		return func() int {
			seq++
			for i := range 2 {
				b, err := wire.Encode(&wire.Heartbeat{Process: ident.ProcessID(fmt.Sprint("o", i)), Boot: 1, Seq: seq, Region: "a", Centre: "a1", Generation: 1, Ready: ready, StoreReachable: true})
				e.g.Expect(err).NotTo(HaveOccurred())
				_, err = c.Write(b)
				e.g.Expect(err).NotTo(HaveOccurred())
			}
			res, err := http.Get("http://" + e.cfg.Ready + "/")
			e.g.Expect(err).NotTo(HaveOccurred())
			_ = res.Body.Close()
			return res.StatusCode
		}
	}
	e.g.Eventually(probe(true), 20*time.Second, 200*time.Millisecond).Should(Equal(503), e.log.String())
	e.g.Expect(e.log.String()).To(ContainSubstring("resource=memory withdrawn=true near=2"))
	e.g.Expect(e.request("GET", "/safe/", "").code).To(Equal(200), "callers that come are served")
	e.g.Eventually(probe(false), 5*time.Second, 200*time.Millisecond).Should(Equal(200))
}
